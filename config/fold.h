#pragma once

#include "config/change.h"
#include "config/config_state.h"
#include "config/keys.h"
#include "core/result.h"
#include "platform/log_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// State of another package that is folded from the same stream in the same order. Records whose field "type" equals
/// `name` are folded into it. All functions must be deterministic: they must not use clocks or random numbers.
struct FoldSection {
    std::string name;
    /// Folds a record. An error means that the record is invalid and did not change the section's state; every node
    /// must return the same error.
    std::function<Result<void>(uint64_t offset, const nlohmann::json &record)> apply;
    /// Returns the complete state of the section, for snapshots.
    std::function<nlohmann::json()> dump;
    /// Replaces the state of the section. After an error, the previous state is loaded again.
    std::function<Result<void>(const nlohmann::json &dumped)> load;
};

/// All state that is folded from the configuration stream, and the key cache that depends on it.
struct ConfigFold {
    ConfigState state;
    KeyCache keyCache;
    std::vector<FoldSection> sections;
};

/// Outcome of folding one record.
struct FoldOutcome {
    uint64_t offset = 0;
    /// Value of the field "type": "change", "snapshot", the name of a section or an unknown kind. Empty if the record
    /// cannot be parsed.
    std::string kind;
    ChangeVerdict verdict = ChangeVerdict::Unreadable;
    std::string changeId;
    std::string by;
    /// Revision in force after the record.
    uint64_t revision = 0;
    /// Why the record was not applied. For a conflict: the rule and the revision that won.
    std::string detail;
    /// Keys that the record withdrew. Queued requests with these keys have to be refused.
    std::vector<KeyId> withdrawnKeys;
};

/// Folds the record at `state.nextOffset`. A record of an unknown kind only advances the offset, so that programs that
/// lack some sections (the operator tool) or have a different version fold the rules to the same state. A record with
/// any other offset fails a CHECK; callers select the records with contiguousFrom() first. `nowMs` is the wall-clock
/// time for the audit trail, in milliseconds since the Unix epoch.
auto applyRecord(ConfigFold &fold, const LogRecord &record, int64_t nowMs) -> FoldOutcome;

/// Logs the event of an outcome (SNS2001 to SNS2003). Records of sections and snapshots that were applied have no
/// event.
void logOutcome(const FoldOutcome &outcome);

} // namespace snipestream
