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

/// Largest record on the configuration stream, in bytes. With its envelope it fits into one frame between nodes
/// (256 KiB), even if every character needs escaping once.
inline constexpr size_t kMaxRecordBytes = 120 * 1024;

/// Longest change id and name of an operator, in bytes.
inline constexpr size_t kMaxChangeIdBytes = 100;
inline constexpr size_t kMaxOperatorNameBytes = 200;

/// A change of the configuration, as operators append it to the log.
struct ChangeRecord {
    /// Random and unique; a second record with the same id is ignored.
    std::string id;
    /// Revision that the change was computed against.
    uint64_t baseRevision = 0;
    /// Who publishes the change.
    std::string by;
    std::vector<Rule> upserts;
    /// Rule ids, such as "key k7".
    std::vector<std::string> removals;
};
auto operator==(const ChangeRecord &a, const ChangeRecord &b) -> bool;

/// Returns the payload of the record on the log (JSON).
auto encodeChange(const ChangeRecord &change) -> std::string;

/// Reads a payload. ErrorCode::InvalidInput names every field that is wrong.
auto decodeChange(std::string_view payload) -> Result<ChangeRecord>;

/// Computes the change from the rules in force to `wanted`: what differs is upserted, what is missing is removed. Id
/// and operator are taken over. ErrorCode::NotFound: there is no difference. ErrorCode::TooLarge: the record would
/// exceed kMaxRecordBytes.
auto planChange(const ConfigState &state, const std::vector<Rule> &wanted, uint64_t baseRevision, const std::string &id, const std::string &by)
    -> Result<ChangeRecord>;

/// Returns a random change id.
auto newChangeId() -> std::string;

} // namespace snipestream
