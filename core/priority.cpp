#include "core/priority.h"

namespace snipestream
{

namespace
{
constexpr std::array<std::string_view, kPriorityCount> kNames = {"critical", "high", "normal", "low"};
} // namespace

auto priorityName(Priority priority) -> std::string_view
{
    return kNames[static_cast<size_t>(priority)];
}

auto parsePriority(std::string_view name) -> std::optional<Priority>
{
    for (size_t i = 0; i < kNames.size(); ++i) {
        if (kNames[i] == name) {
            return static_cast<Priority>(i);
        }
    }
    return std::nullopt;
}

} // namespace snipestream
