#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipestream
{

/// Importance of a route, set by operators. Lower values are shed last.
enum class Priority : uint8_t {
    Critical = 0,
    High = 1,
    Normal = 2,
    Low = 3,
};

inline constexpr int kPriorityCount = 4;

/// Returns the name used in rules and metrics, such as "critical".
auto priorityName(Priority priority) -> std::string_view;

/// Parses a name such as "critical"; empty if there is no such priority.
auto parsePriority(std::string_view name) -> std::optional<Priority>;

} // namespace snipestream
