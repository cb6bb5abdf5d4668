#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// One CBOR item of a frame, without the items inside it.
struct Field {
    enum class Kind : uint8_t {
        Null,
        Boolean,
        Unsigned,
        /// A negative integer, stored as the bits of an int64_t.
        Negative,
        Text,
        /// An array; `number` is its length, and its items follow as the next fields.
        Array,
    };

    Kind kind = Kind::Null;
    uint64_t number = 0;
    std::string text;
};

/// Flattens a CBOR item that passed measureCborItem() into its fields, in order. Maps, floats and byte strings are
/// refused. Much cheaper than a document tree, which allocates for each field.
auto flattenCbor(std::string_view item, std::vector<Field> &fields) -> Result<void>;

/// Reads fields in order and remembers whether each was of the right type; a decoder checks isComplete() at the end.
class FieldReader
{
public:
    explicit FieldReader(std::vector<Field> &fields)
        : fields_(fields)
    {
    }

    /// Moves the text out of its field.
    auto text() -> std::string;
    auto flag() -> bool;
    auto number(uint64_t max = UINT64_MAX) -> uint64_t;
    auto signedNumber(int64_t min, int64_t max) -> int64_t;
    auto optionalNumber(uint64_t max = UINT64_MAX) -> std::optional<uint64_t>;
    /// Skips a null if it is next, and returns whether it was.
    auto skipNull() -> bool;
    /// Enters an array of any length and returns the length.
    auto beginArray() -> size_t;
    /// Enters an array that must have this length.
    void beginArrayOf(size_t length);

    /// True if all fields were right and none is left.
    [[nodiscard]] auto isComplete() const -> bool
    {
        return ok_ && next_ == fields_.size();
    }
    [[nodiscard]] auto isOk() const -> bool
    {
        return ok_;
    }
    void fail()
    {
        ok_ = false;
    }

private:
    /// Returns the next field if it is of the kind, and otherwise notes the fault.
    auto take(Field::Kind kind) -> Field *;

    std::vector<Field> &fields_;
    size_t next_ = 0;
    bool ok_ = true;
};

} // namespace snipestream
