#pragma once

#include "config/config_state.h"
#include "config/rule.h"
#include "core/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Maximum payload of a record on the configuration stream. With its envelope it fits into one frame between nodes (256
/// KiB), even if JSON escaping doubles every character.
inline constexpr size_t kMaxRecordBytes = 120 * 1024;

/// Maximum length of a change id, and of the operator's name in ChangeRecord::by.
inline constexpr size_t kMaxChangeIdBytes = 100;
inline constexpr size_t kMaxOperatorNameBytes = 200;

/// A change of the configuration that an operator appends to the log.
struct ChangeRecord {
    /// Random and unique. Any later record with the same id is ignored as a duplicate.
    std::string id;
    /// Revision of the rules that the change was computed against.
    uint64_t baseRevision = 0;
    /// Operator who publishes the change.
    std::string by;
    std::vector<Rule> upserts;
    /// Ids of the rules to remove, such as "key k7".
    std::vector<std::string> removals;
};
auto operator==(const ChangeRecord &a, const ChangeRecord &b) -> bool;

/// Returns the change as JSON, the payload of its record on the log.
auto encodeChange(const ChangeRecord &change) -> std::string;

/// Parses the payload of a record. ErrorCode::InvalidInput: the message lists every invalid field.
auto decodeChange(std::string_view payload) -> Result<ChangeRecord>;

/// Computes the change from the rules in force to the `desired` rules: rules that differ or are new are upserted, rules
/// that `desired` lacks are removed. ErrorCode::NotFound: there is no difference. ErrorCode::TooLarge: the record would
/// exceed kMaxRecordBytes.
auto planChange(const ConfigState &state, const std::vector<Rule> &desired, uint64_t baseRevision, const std::string &id, const std::string &by)
    -> Result<ChangeRecord>;

/// Returns a random change id.
auto newChangeId() -> std::string;

} // namespace snipestream
