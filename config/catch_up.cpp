#include "config/catch_up.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// If the log drops records while it is scanned for a snapshot, the scan restarts. After this many scans the read fails.
constexpr int kMaxSnapshotScans = 3;

/// Reads the log from `earliest` on until it has a complete snapshot that is ahead of the state's offset and whose
/// subsequent records have not expired.
auto findSnapshot(const ConfigFold &fold, const LogClient &log, uint64_t earliest, size_t pageRecords) -> Result<Snapshot>
{
    SnapshotAssembly assembly;
    for (uint64_t from = earliest;;) {
        const auto page = log.read(kConfigStream, from, pageRecords);
        if (!page) {
            return page.error();
        }
        for (const LogRecord &record : page.value().records) {
            // Most records are not snapshot parts, so a substring search avoids parsing them.
            if (record.payload.find("\"snapshot\"") == std::string::npos) {
                continue;
            }
            auto part = decodeSnapshotPart(record.payload);
            if (!part || part.value().nextOffset > record.offset) {
                continue;
            }
            auto snapshot = addSnapshotPart(assembly, std::move(part.value()));
            if (snapshot && snapshot->nextOffset >= earliest && snapshot->nextOffset > fold.state.nextOffset) {
                return std::move(*snapshot);
            }
        }
        from += page.value().records.size();
        if (page.value().records.empty()) {
            return failure(ErrorCode::Unavailable,
                           "the log keeps records from offset " + std::to_string(earliest) + " on and no snapshot that continues there; offset "
                               + std::to_string(fold.state.nextOffset) + " is needed");
        }
    }
}

void foldPage(ConfigFold &fold, const LogPage &page, int64_t nowMs, const FoldListener &listener, CatchUpOutcome &result)
{
    for (const LogRecord &record : page.records) {
        FoldOutcome outcome = applyRecord(fold, record, nowMs);
        if (listener) {
            listener(record, outcome);
        }
        result.withdrawnKeys.insert(result.withdrawnKeys.end(), outcome.withdrawnKeys.begin(), outcome.withdrawnKeys.end());
        result.outcomes.push_back(std::move(outcome));
    }
    result.head = page.head;
    result.earliest = page.earliest;
}

} // namespace

auto catchUpFromLog(ConfigFold &fold, const LogClient &log, size_t pageRecords, int64_t nowMs, const FoldListener &listener) -> Result<CatchUpOutcome>
{
    CatchUpOutcome result;
    int snapshotScans = 0;
    for (;;) {
        const auto page = log.read(kConfigStream, fold.state.nextOffset, pageRecords);
        if (page && page.value().head < fold.state.nextOffset) {
            return failure(ErrorCode::ProtocolViolation,
                           "the log ends at offset " + std::to_string(page.value().head) + ", below the offset " + std::to_string(fold.state.nextOffset)
                               + " that was read before; it has lost records");
        }
        if (page) {
            foldPage(fold, page.value(), nowMs, listener, result);
            if (page.value().records.empty()) {
                return result;
            }
            continue;
        }
        const auto earliest = earliestOfExpired(page.error());
        if (!earliest || ++snapshotScans > kMaxSnapshotScans) {
            return page.error();
        }
        const auto snapshot = findSnapshot(fold, log, *earliest, pageRecords);
        if (!snapshot && earliestOfExpired(snapshot.error())) {
            continue;
        }
        if (!snapshot) {
            return snapshot.error();
        }
        auto adoption = adoptSnapshot(fold, snapshot.value(), nowMs);
        if (!adoption) {
            return adoption.error();
        }
        result.snapshotAdopted = result.snapshotAdopted || adoption.value().adopted;
        result.withdrawnKeys.insert(result.withdrawnKeys.end(), adoption.value().withdrawnKeys.begin(), adoption.value().withdrawnKeys.end());
    }
}

auto publishSnapshot(const ConfigFold &fold, const LogClient &log, const std::string &id, int64_t nowMs) -> Result<void>
{
    for (const SnapshotPart &part : splitSnapshot(takeSnapshot(fold), id, nowMs)) {
        const auto appended = log.append(kConfigStream, encodeSnapshotPart(part));
        if (!appended) {
            return appended.error();
        }
    }
    return success();
}

} // namespace snipestream
