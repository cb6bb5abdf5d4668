#include "config/path.h"

#include "config/text.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto hexValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Returns whether a byte is allowed in a path. `encoded`: the byte was percent-encoded.
auto isAllowed(unsigned char byte, bool encoded) -> bool
{
    if (byte < 0x20U || byte == 0x7FU || byte == '\\') {
        return false;
    }
    return encoded ? byte != '/' && byte != '.' : byte > 0x20U && byte < 0x7FU && byte != '#';
}

/// Returns whether the segment is "." or "..". Path parameters after ';' are ignored, because a target may strip them.
auto isDotSegment(std::string_view segment) -> bool
{
    const std::string_view name = segment.substr(0, segment.find(';'));
    return name == "." || name == "..";
}

auto hasBadSegment(std::string_view path) -> bool
{
    for (size_t begin = 1; begin <= path.size();) {
        const size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (isDotSegment(segment) || (segment.empty() && end != path.size())) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

auto normalizePath(std::string_view target) -> Result<std::string>
{
    const std::string_view path = target.substr(0, target.find('?'));
    const auto invalid = [path](const char *why) {
        return failure(ErrorCode::InvalidInput, "the path " + inQuotes(path) + " " + why);
    };
    if (path.empty() || path.front() != '/') {
        return invalid("does not start with '/'");
    }
    std::string normalized;
    normalized.reserve(path.size());
    for (size_t i = 0; i < path.size(); ++i) {
        auto byte = static_cast<unsigned char>(path[i]);
        const bool encoded = byte == '%';
        if (encoded) {
            const int high = i + 2 < path.size() ? hexValue(path[i + 1]) : -1;
            const int low = i + 2 < path.size() ? hexValue(path[i + 2]) : -1;
            if (high < 0 || low < 0) {
                return invalid("has an incomplete percent-encoding");
            }
            byte = static_cast<unsigned char>(high * 16 + low);
            i += 2;
        }
        if (!isAllowed(byte, encoded)) {
            return invalid("has a control character, a backslash, or an encoded slash or dot");
        }
        normalized.push_back(static_cast<char>(byte));
    }
    if (hasBadSegment(normalized)) {
        return invalid("has empty, '.' or '..' segments");
    }
    while (normalized.size() > 1 && normalized.back() == '/') {
        normalized.pop_back();
    }
    return normalized;
}

} // namespace snipestream
