#include "core/cbor_item.h"

#include <array>
#include <cstdint>

namespace snipestream
{

namespace
{

constexpr size_t kMaxNestingDepth = 32;

/// Initial byte and argument of an item (RFC 8949, section 3).
struct ItemHead {
    unsigned major = 0;
    unsigned info = 0;
    uint64_t argument = 0;
};

auto invalid(const char *what, size_t position) -> Error
{
    return Error{ErrorCode::ProtocolViolation, std::string(what) + " at byte " + std::to_string(position)};
}

/// Reads the head at `position` and advances `position` past it.
auto readHead(std::string_view bytes, size_t &position) -> Result<ItemHead>
{
    if (position >= bytes.size()) {
        return invalid("CBOR item is cut", position);
    }
    const auto initial = static_cast<uint8_t>(bytes[position]);
    ++position;
    ItemHead head;
    head.major = initial >> 5U;
    head.info = initial & 31U;
    head.argument = head.info;
    if (head.info < 24) {
        return head;
    }
    if (head.info > 27) {
        return invalid("CBOR item has no definite length", position);
    }
    const size_t width = size_t{1} << (head.info - 24);
    if (bytes.size() - position < width) {
        return invalid("CBOR item is cut", position);
    }
    head.argument = 0;
    for (size_t i = 0; i < width; ++i) {
        head.argument = head.argument << 8U | static_cast<uint8_t>(bytes[position + i]);
    }
    position += width;
    return head;
}

} // namespace

auto measureCborItem(std::string_view bytes) -> Result<size_t>
{
    std::array<uint64_t, kMaxNestingDepth> remainingChildren{};
    size_t depth = 0;
    size_t position = 0;
    do {
        BOOST_OUTCOME_TRY(const ItemHead head, readHead(bytes, position));
        if (depth > 0) {
            --remainingChildren[depth - 1];
        }
        const uint64_t remaining = bytes.size() - position;
        uint64_t children = 0;
        switch (head.major) {
        case 2:
        case 3:
            if (head.argument > remaining) {
                return invalid("CBOR string is cut", position);
            }
            position += head.argument;
            break;
        case 4:
        case 5:
            // Each child takes at least one byte, so a count above the remaining bytes is invalid.
            if (head.argument > remaining) {
                return invalid("CBOR container is cut", position);
            }
            children = head.argument * (head.major - 3);
            break;
        case 6:
            return invalid("CBOR tag", position);
        default:
            break;
        }
        if (children > 0) {
            if (depth == kMaxNestingDepth) {
                return invalid("CBOR nesting is too deep", position);
            }
            remainingChildren[depth] = children;
            ++depth;
        }
        while (depth > 0 && remainingChildren[depth - 1] == 0) {
            --depth;
        }
    } while (depth > 0);
    return position;
}

auto parseCborItem(std::string_view bytes) -> nlohmann::json
{
    const auto length = measureCborItem(bytes);
    if (!length || length.value() != bytes.size()) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

} // namespace snipestream
