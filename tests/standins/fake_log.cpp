#include "tests/standins/fake_log.h"

#include <algorithm>
#include <thread>

namespace snipestream::testing
{

FakeLog::FakeLog(size_t retainRecords)
    : retainRecords_(retainRecords)
{
}

auto FakeLog::append(const std::string &stream, const std::string &payload) -> Result<uint64_t>
{
    std::this_thread::sleep_for(faults().delay);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (faults_.down) {
        return failure(ErrorCode::Unavailable, "the log is down");
    }
    Stream &records = streams_[stream];
    records.payloads.push_back(payload);
    const uint64_t offset = records.earliest + records.payloads.size() - 1;
    if (retainRecords_ != 0 && records.payloads.size() > retainRecords_) {
        records.payloads.pop_front();
        ++records.earliest;
    }
    if (faults_.lostResponses > 0) {
        --faults_.lostResponses;
        return failure(ErrorCode::Timeout, "the log's response was lost");
    }
    return offset;
}

auto FakeLog::read(const std::string &stream, uint64_t fromOffset, size_t limit) -> Result<LogPage>
{
    std::this_thread::sleep_for(faults().delay);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (faults_.down) {
        return failure(ErrorCode::Unavailable, "the log is down");
    }
    const Stream &records = streams_[stream];
    LogPage page;
    page.earliest = records.earliest;
    page.head = records.earliest + records.payloads.size();
    if (fromOffset < page.earliest) {
        return expiredError(stream, fromOffset, page.earliest);
    }
    for (uint64_t offset = fromOffset; offset < page.head && page.records.size() < limit; ++offset) {
        page.records.push_back(LogRecord{offset, records.payloads[offset - records.earliest]});
    }
    return page;
}

void FakeLog::setFaults(const LogFaults &faults)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
}

auto FakeLog::faults() const -> LogFaults
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
}

void FakeLog::expireBefore(const std::string &stream, uint64_t offset)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Stream &records = streams_[stream];
    while (records.earliest < offset && !records.payloads.empty()) {
        records.payloads.pop_front();
        ++records.earliest;
    }
}

auto FakeLog::client() -> LogClient
{
    LogClient client;
    client.append = [this](const std::string &stream, const std::string &payload) {
        return append(stream, payload);
    };
    client.read = [this](const std::string &stream, uint64_t fromOffset, size_t limit) {
        return read(stream, fromOffset, limit);
    };
    return client;
}

} // namespace snipestream::testing
