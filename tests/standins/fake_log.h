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
    /// Every call blocks for this time first.
    Duration delay{};
    /// Number of further appends that take effect but report ErrorCode::Timeout, as if the response were lost.
    int lostResponses = 0;
};

/// An append-only log in memory. It is thread-safe.
class FakeLog
{
public:
    /// Keeps at most `retainRecords` records per stream; 0 keeps all.
    explicit FakeLog(size_t retainRecords = 0);

    auto append(const std::string &stream, const std::string &payload) -> Result<uint64_t>;
    auto read(const std::string &stream, uint64_t fromOffset, size_t limit) -> Result<LogPage>;

    void setFaults(const LogFaults &faults);
    [[nodiscard]] auto faults() const -> LogFaults;
    /// Drops the records below the offset, as if their retention time had passed.
    void expireBefore(const std::string &stream, uint64_t offset);

    /// Returns a client for the code under test. The log must outlive it.
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
