#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Returns the text without leading and trailing spaces, tabs and carriage returns.
auto trimmed(std::string_view text) -> std::string_view;

/// Returns whether the text is well-formed UTF-8 without control characters other than tab.
auto isPrintableUtf8(std::string_view text) -> bool;

/// Parses an unsigned decimal number. Empty if the text contains anything else or the number is above `max`.
auto parseDecimal(std::string_view text, uint64_t max) -> std::optional<uint64_t>;

/// Returns whether the text has exactly `digits` lower-case hexadecimal digits.
auto isLowerHex(std::string_view text, size_t digits) -> bool;

/// Joins the parts with the separator.
auto joined(const std::vector<std::string> &parts, std::string_view separator) -> std::string;

/// Returns the text in quotes for error messages: truncated after about 60 bytes, with control characters and invalid
/// UTF-8 replaced by '?'.
auto inQuotes(std::string_view text) -> std::string;

} // namespace snipestream
