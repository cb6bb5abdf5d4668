#pragma once

#include "config/fold.h"
#include "config/snapshot.h"
#include "core/result.h"
#include "platform/log_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace snipestream
{

/// Result of catchUpFromLog().
struct CatchUpOutcome {
    std::vector<FoldOutcome> outcomes;
    bool snapshotAdopted = false;
    /// Keys withdrawn by the folded records or by the adopted snapshot.
    std::vector<KeyId> withdrawnKeys;
    /// Offset after the newest record, from the log's last response.
    uint64_t head = 0;
    /// Offset of the oldest record that the log still has, from its last response.
    uint64_t earliest = 0;
};

/// Called after each folded record, to update the RecordHistory and write events. May be empty.
using FoldListener = std::function<void(const LogRecord &record, const FoldOutcome &outcome)>;

/// Folds all records of the configuration stream from the state's offset to the head of the log, read in pages of
/// `pageRecords`. If some of these records have expired, a snapshot from the log is adopted first. Records that were
/// folded before an error stay folded. Errors: those of the log; Unavailable if the records have expired and the log
/// has no complete snapshot to continue from (the caller then asks a peer); ProtocolViolation if the log ends below the
/// state's offset, which means that it has lost records.
auto catchUpFromLog(ConfigFold &fold, const LogClient &log, size_t pageRecords, int64_t nowMs, const FoldListener &listener = {}) -> Result<CatchUpOutcome>;

/// Appends a snapshot of the state to the log, one record per part. Errors: those of the log. Readers ignore a snapshot
/// that is incomplete because an append failed.
auto publishSnapshot(const ConfigFold &fold, const LogClient &log, const std::string &id, int64_t nowMs) -> Result<void>;

} // namespace snipestream
