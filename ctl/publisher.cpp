#include "ctl/publisher.h"

#include "config/catch_up.h"

#include <algorithm>

namespace snipestream
{

namespace
{

constexpr size_t kPageRecords = 500;
constexpr Duration kFirstPause = milliseconds(200);
constexpr Duration kLongestPause = seconds(2);

/// Brings the fold up to date and returns the verdict on the change if its record is there.
auto findPublished(const CtlContext &context, ConfigFold &fold, const std::string &changeId) -> Result<std::optional<Published>>
{
    const auto caughtUp = catchUpFromLog(fold, context.log, kPageRecords, context.wallMs());
    if (!caughtUp) {
        return caughtUp.error();
    }
    const AuditEntry *entry = findVerdict(fold.state, changeId);
    if (entry == nullptr) {
        return std::optional<Published>();
    }
    return std::optional<Published>(Published{entry->verdict, entry->offset, entry->revision, entry->detail});
}

/// Returns whether an append that failed like this may succeed or may have succeeded.
auto isWorthRepeating(ErrorCode code) -> bool
{
    return code == ErrorCode::Unavailable || code == ErrorCode::Timeout || code == ErrorCode::Closed;
}

} // namespace

auto readInForce(const CtlContext &context) -> Result<ConfigFold>
{
    ConfigFold fold;
    const auto caughtUp = catchUpFromLog(fold, context.log, kPageRecords, context.wallMs());
    if (!caughtUp) {
        return caughtUp.error();
    }
    return fold;
}

auto publishChange(const CtlContext &context, ConfigFold &fold, const ChangeRecord &change, Duration timeout) -> Result<Published>
{
    const TimePoint deadline = context.now() + timeout;
    const std::string payload = encodeChange(change);
    Duration pause = kFirstPause;
    bool appended = false;
    Error last;
    for (;;) {
        if (!appended) {
            const auto offset = context.log.append(kConfigStream, payload);
            appended = offset.has_value();
            if (!offset) {
                last = offset.error();
            }
            if (!offset && !isWorthRepeating(last.code)) {
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
        if (context.now() + pause > deadline) {
            return Error{last.code == ErrorCode::Internal ? ErrorCode::Timeout : last.code,
                         "the change " + change.id + " may or may not be on the log; repeat with --change-id=" + change.id + " (" + last.message + ")"};
        }
        context.progress("the log does not answer as expected (" + last.message + "); repeating change " + change.id);
        context.sleep(pause);
        pause = std::min(pause * 2, kLongestPause);
    }
}

} // namespace snipestream
