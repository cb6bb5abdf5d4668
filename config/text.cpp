#include "config/text.h"

#include <algorithm>
#include <charconv>

namespace snipestream
{

namespace
{

/// Returns the length in bytes of the UTF-8 sequence at `at`, or 0 if it is not well-formed.
auto sequenceLength(std::string_view text, size_t at) -> size_t
{
    const auto byte = [&text](size_t index) {
        return static_cast<unsigned char>(text[index]);
    };
    const unsigned char first = byte(at);
    if (first < 0x80U) {
        return 1;
    }
    const size_t length = first >= 0xF0U ? 4 : first >= 0xE0U ? 3 : 2;
    if (first < 0xC2U || first > 0xF4U || at + length > text.size()) {
        return 0;
    }
    for (size_t i = 1; i < length; ++i) {
        if ((byte(at + i) & 0xC0U) != 0x80U) {
            return 0;
        }
    }
    const unsigned char second = byte(at + 1);
    const bool overlong = (first == 0xE0U && second < 0xA0U) || (first == 0xF0U && second < 0x90U);
    const bool surrogate = first == 0xEDU && second > 0x9FU;
    const bool tooHigh = first == 0xF4U && second > 0x8FU;
    return overlong || surrogate || tooHigh ? 0 : length;
}

} // namespace

auto trimmed(std::string_view text) -> std::string_view
{
    static constexpr std::string_view kBlank = " \t\r";
    const size_t first = text.find_first_not_of(kBlank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

auto isPrintableUtf8(std::string_view text) -> bool
{
    for (size_t at = 0; at < text.size();) {
        const auto byte = static_cast<unsigned char>(text[at]);
        const size_t length = sequenceLength(text, at);
        if (length == 0 || (byte < 0x20U && byte != '\t') || byte == 0x7FU) {
            return false;
        }
        at += length;
    }
    return true;
}

auto parseDecimal(std::string_view text, uint64_t max) -> std::optional<uint64_t>
{
    uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value > max) {
        return std::nullopt;
    }
    return value;
}

auto isLowerHex(std::string_view text, size_t digits) -> bool
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto joined(const std::vector<std::string> &parts, std::string_view separator) -> std::string
{
    std::string text;
    for (const std::string &part : parts) {
        text.append(text.empty() ? std::string_view() : separator).append(part);
    }
    return text;
}

auto inQuotes(std::string_view text) -> std::string
{
    static constexpr size_t kMaxBytes = 60;
    std::string shown;
    for (size_t at = 0; at < text.size() && shown.size() < kMaxBytes;) {
        const size_t length = sequenceLength(text, at);
        const auto byte = static_cast<unsigned char>(text[at]);
        if (length == 0 || byte < 0x20U || byte == 0x7FU) {
            shown.push_back('?');
        } else {
            shown.append(text.substr(at, length));
        }
        at += std::max<size_t>(length, 1);
    }
    return "\"" + shown + (text.size() > kMaxBytes ? "...\"" : "\"");
}

} // namespace snipestream
