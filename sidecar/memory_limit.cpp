#include "sidecar/memory_limit.h"

#include "core/events.h"
#include "sidecar/memory_shares.h"
#include "sidecar/state.h"

#include <string>
#include <utility>

namespace snipestream
{

namespace
{

constexpr Duration kMinLogInterval = milliseconds(500);

} // namespace

auto refusesForMemory(SidecarState &state, RequestSender sender) -> bool
{
    const uint64_t held = state.callerServer->activeRequestBytes() + state.peerServer->activeRequestBytes();
    const double share = sender == RequestSender::Caller ? memory_shares::kRequests : memory_shares::kPeerRequests;
    const bool isSingle = state.callerServer->activeRequests() + state.peerServer->activeRequests() == 1;
    if (held <= memoryShare(state.settings, isSingle ? memory_shares::kSingleRequest : share)) {
        return false;
    }
    auto &log = state.memoryLimitLog;
    ++log.refused;
    const TimePoint now = BootClock::now();
    if (now - log.loggedAt >= kMinLogInterval) {
        log.loggedAt = now;
        logEvent(EventId::MemoryShort,
                 {{"server", sender == RequestSender::Caller ? "caller" : "peer"},
                  {"held", std::to_string(held)},
                  {"refused", std::to_string(std::exchange(log.refused, 0))}});
    }
    return true;
}

} // namespace snipestream
