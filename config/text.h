#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Returns the text without spaces, tabs and carriage returns at both ends.
auto trimmed(std::string_view text) -> std::string_view;

/// Returns whether the text is well-formed UTF-8 without control characters other than tab.
auto isPrintableUtf8(std::string_view text) -> bool;

/// Parses a decimal number without sign; empty if there is anything else in the text or it is above `max`.
auto parseDecimal(std::string_view text, uint64_t max) -> std::optional<uint64_t>;

/// Returns whether the text has exactly `digits` lower-case hexadecimal digits.
auto isLowerHex(std::string_view text, size_t digits) -> bool;

/// Joins the parts with the separator.
auto joined(const std::vector<std::string> &parts, std::string_view separator) -> std::string;

/// Returns the text in quotes, cut to 60 bytes, for error messages.
auto inQuotes(std::string_view text) -> std::string;

} // namespace snipestream
