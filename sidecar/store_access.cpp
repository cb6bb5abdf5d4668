#include "sidecar/store_access.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Timeout of a store call, in addition to the wait that the call requests. The store answers in 4 ms, or in 250 ms
/// when it is slow.
constexpr Duration kStoreTimeout = milliseconds(700);
/// Pause after the first failed call and the longest one; it doubles in between. It has jitter, since the calls of all nodes
/// fail together when the store is down.
constexpr Duration kFailurePause = milliseconds(150);
constexpr Duration kMaxFailurePause = milliseconds(800);
constexpr int kMaxDoublings = 4;
/// How often a long wait checks whether the node has ended. A graceful stop takes longer than this.
constexpr Duration kEndCheckInterval = seconds(1);

} // namespace

void pauseAfterFailure(SidecarState &state, int failures)
{
    const Duration pause = std::min(kFailurePause * (1 << std::clamp(failures - 1, 0, kMaxDoublings)), kMaxFailurePause);
    state.runtime.sleepFor(pause / 2 + Duration(drawBelow(state.random, static_cast<uint64_t>(pause.count()))));
}

auto waitUnlessEnded(SidecarState &state, Duration span) -> bool
{
    const TimePoint end = BootClock::now() + span;
    while (!state.ended && BootClock::now() < end) {
        state.runtime.sleepFor(std::min(kEndCheckInterval, end - BootClock::now()));
    }
    return !state.ended;
}

auto storeClient(SidecarState &state) -> StoreClient
{
    StoreClient store;
    store.timeout = kStoreTimeout;
    store.transport = [&state](const std::string &method, const std::string &path, const std::string &body, Duration timeout) -> Result<HttpResponse> {
        RequestMessage request;
        request.method = method;
        request.target = path;
        request.headers.emplace_back("Host", toString(state.settings.store));
        request.body = body;
        CancelSignal cancel;
        CallResult result = state.storePool.call(state.settings.store, request, cancel, BootClock::now() + timeout);
        switch (result.status) {
        case CallStatus::Answered:
            return HttpResponse{result.response.status, std::move(result.response.body)};
        case CallStatus::NotSent:
            return failure(ErrorCode::Unavailable, result.detail);
        case CallStatus::TimedOut:
            return failure(ErrorCode::Timeout, "the store did not answer " + path);
        default:
            return failure(ErrorCode::Closed, "the store's connection ended: " + result.detail);
        }
    };
    return store;
}

} // namespace snipestream
