#include "sidecar/store_access.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Timeout of a store call, in addition to the wait that the call requests. The store answers in 4 ms, or in 250 ms
/// when it is slow.
constexpr Duration kStoreTimeout = milliseconds(700);
/// Pause after a failed call. It has jitter, since the calls of all nodes fail together when the store is down.
constexpr Duration kFailurePause = milliseconds(150);
constexpr int kFailurePauseSpreadMs = 200;
/// How often a long wait checks whether the node has ended. A graceful stop takes longer than this.
constexpr Duration kEndCheckInterval = seconds(1);

} // namespace

void pauseAfterFailure(SidecarState &state)
{
    state.runtime.sleepFor(kFailurePause + milliseconds(drawBelow(state.random, kFailurePauseSpreadMs)));
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
