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

/// What reading the log led to.
struct CatchUpOutcome {
    std::vector<FoldOutcome> outcomes;
    bool snapshotAdopted = false;
    /// Keys that stopped authenticating through records or the snapshot.
    std::vector<KeyId> withdrawnKeys;
    /// From the log's last answer.
    uint64_t head = 0;
    uint64_t earliest = 0;
};

/// Called with every record just folded, for RecordHistory and events; may be empty.
using FoldListener = std::function<void(const LogRecord &record, const FoldOutcome &outcome)>;

/// Reads the configuration stream from the state's offset to its head and folds it. If records in between have expired,
/// first adopts a snapshot from the log. Records folded before an error stay folded. Errors: those of the log;
/// Unavailable if the records have expired and the log holds no complete snapshot that continues (ask a peer then);
/// ProtocolViolation if the log ends below the state's offset, so that it has lost records.
auto catchUpFromLog(ConfigFold &fold, const LogClient &log, size_t pageRecords, int64_t nowMs, const FoldListener &listener = {}) -> Result<CatchUpOutcome>;

/// Appends the state as snapshot records. Errors: those of the log; a snapshot that was cut short is ignored by
/// readers.
auto publishSnapshot(const ConfigFold &fold, const LogClient &log, const std::string &id, int64_t nowMs) -> Result<void>;

} // namespace snipestream
