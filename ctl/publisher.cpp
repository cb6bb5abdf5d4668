#include "ctl/publisher.h"

#include "config/catch_up.h"

#include <algorithm>

namespace snipestream
{

namespace
{

constexpr size_t kMaxRecordsPerRead = 500;
constexpr Duration kInitialRetryDelay = milliseconds(200);
constexpr Duration kMaxRetryDelay = seconds(2);

/// Brings the fold up to date and returns the result of the change if its record is on the log.
auto findPublished(const CtlContext &context, ConfigFold &fold, const std::string &changeId) -> Result<std::optional<PublishResult>>
{
    const auto caughtUp = catchUpFromLog(fold, context.log, kMaxRecordsPerRead, context.wallMs());
    if (!caughtUp) {
        return caughtUp.error();
    }
    const AuditEntry *entry = findVerdict(fold.state, changeId);
    if (entry == nullptr) {
        return std::optional<PublishResult>();
    }
    return std::optional<PublishResult>(PublishResult{entry->verdict, entry->offset, entry->revision, entry->detail});
}

/// Returns whether an append that failed with this error may have succeeded or may succeed when it is repeated.
auto isRetryable(ErrorCode code) -> bool
{
    return code == ErrorCode::Unavailable || code == ErrorCode::Timeout || code == ErrorCode::Closed;
}

} // namespace

auto readInForce(const CtlContext &context) -> Result<ConfigFold>
{
    ConfigFold fold;
    const auto caughtUp = catchUpFromLog(fold, context.log, kMaxRecordsPerRead, context.wallMs());
    if (!caughtUp) {
        return caughtUp.error();
    }
    return fold;
}

auto publishChange(const CtlContext &context, ConfigFold &fold, const ChangeRecord &change, Duration timeout) -> Result<PublishResult>
{
    const TimePoint deadline = context.now() + timeout;
    const std::string payload = encodeChange(change);
    Duration retryDelay = kInitialRetryDelay;
    bool appended = false;
    Error last;
    for (;;) {
        if (!appended) {
            const auto offset = context.log.append(kConfigStream, payload);
            appended = offset.has_value();
            if (!offset) {
                last = offset.error();
            }
            if (!offset && !isRetryable(last.code)) {
                return last;
            }
        }
        const auto published = findPublished(context, fold, change.id);
        if (published && published.value()) {
            return *published.value();
        }
        if (!published) {
            last = published.error();
        }
        if (context.now() + retryDelay > deadline) {
            return Error{last.code == ErrorCode::Internal ? ErrorCode::Timeout : last.code,
                         "the change " + change.id + " may or may not be on the log; repeat with --change-id=" + change.id + " (" + last.message + ")"};
        }
        context.progress("the log does not answer as expected (" + last.message + "); repeating change " + change.id);
        context.sleep(retryDelay);
        retryDelay = std::min(retryDelay * 2, kMaxRetryDelay);
    }
}

} // namespace snipestream
