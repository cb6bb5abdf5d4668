#pragma once

#include "core/time.h"
#include "platform/log_client.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace snipestream::testing
{

/// Faults of the fake log.
struct LogFaults {
    /// Every call fails with ErrorCode::Unavailable and has no effect.
    bool down = false;
    /// Every call takes this long.
    Duration delay{};
    /// So many of the next appends take effect and then report ErrorCode::Timeout.
    int loseAnswers = 0;
};

/// An append-only log in memory. May be used from several threads.
class FakeLog
{
public:
    /// Keeps at most `retainRecords` records per stream; 0 keeps all.
    explicit FakeLog(size_t retainRecords = 0);

    auto append(const std::string &stream, const std::string &payload) -> Result<uint64_t>;
    auto read(const std::string &stream, uint64_t fromOffset, size_t limit) -> Result<LogPage>;

    void setFaults(const LogFaults &faults);
    [[nodiscard]] auto faults() const -> LogFaults;
    /// Drops the records below the offset, as the retention time would.
    void expireBefore(const std::string &stream, uint64_t offset);

    /// Returns the client that tests hand to the code under test. The log must outlive it.
    auto client() -> LogClient;

private:
    struct Stream {
        std::deque<std::string> payloads;
        uint64_t earliest = 0;
    };

    mutable std::mutex mutex_;
    LogFaults faults_;
    size_t retainRecords_;
    std::map<std::string, Stream> streams_;
};

} // namespace snipestream::testing
