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

/// State of another package that is folded from the same stream in the same order. Records whose field "kind" is `name`
/// go to it. All functions must be deterministic: no clock, no randomness.
struct FoldSection {
    std::string name;
    /// Folds a record. An error means that the record is invalid and left the section's state as it was; it is counted
    /// by every node alike.
    std::function<Result<void>(uint64_t offset, const nlohmann::json &record)> apply;
    /// Returns the whole state of the section, for snapshots.
    std::function<nlohmann::json()> dump;
    /// Replaces the state of the section. After an error the fold loads the previous dump again.
    std::function<Result<void>(const nlohmann::json &dumped)> load;
};

/// Everything that is folded from the configuration stream, and the cache that depends on it.
struct ConfigFold {
    ConfigState state;
    KeyCache keyCache;
    std::vector<FoldSection> sections;
};

/// What became of one record.
struct FoldOutcome {
    uint64_t offset = 0;
    /// "change", "snapshot", the name of a section or an unknown kind; empty if the record does not parse.
    std::string kind;
    ChangeVerdict verdict = ChangeVerdict::Unreadable;
    std::string changeId;
    std::string by;
    /// Revision in force after the record.
    uint64_t revision = 0;
    /// Why the record was not applied, with the rule and revision that won against it.
    std::string detail;
    /// Keys that no longer authenticate; requests that wait under them are refused.
    std::vector<KeyId> withdrawnKeys;
};

/// Folds the record at `state.nextOffset`. A record of an unknown kind only moves the offset, so that programs without
/// some sections (the operator tool) and later versions fold the rules alike. A record with any other offset breaks an
/// invariant (CHECK): callers select records with contiguousFrom() first. `nowMs` is the wall-clock time for the audit
/// trail.
auto applyRecord(ConfigFold &fold, const LogRecord &record, int64_t nowMs) -> FoldOutcome;

/// Writes the event that goes with an outcome (SNS2001 to SNS2003); nothing for sections and snapshots that applied.
void logOutcome(const FoldOutcome &outcome);

} // namespace snipestream
