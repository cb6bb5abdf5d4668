#include "sidecar/memory_limit.h"

#include "core/events.h"
#include "sidecar/state.h"

#include <string>
#include <utility>

namespace snipestream
{

namespace
{

/// Maximum fraction of the process's memory limit that the bodies of requests in progress may take when a caller's request
/// arrives. The rest is for bodies that are being received, connections and code.
constexpr double kMaxFractionForCallers = 0.25;
/// The same for a request of another node. It is lower, so that such requests do not use up what this node's own callers
/// need.
constexpr double kMaxFractionForPeers = 0.2;
constexpr Duration kMinLogInterval = milliseconds(500);

} // namespace

auto refusesForMemory(SidecarState &state, RequestSender sender) -> bool
{
    const uint64_t held = state.callerServer->activeRequestBytes() + state.peerServer->activeRequestBytes();
    const double maxFraction = sender == RequestSender::Caller ? kMaxFractionForCallers : kMaxFractionForPeers;
    if (static_cast<double>(held) <= maxFraction * static_cast<double>(state.settings.memoryMb) * 1024 * 1024) {
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
