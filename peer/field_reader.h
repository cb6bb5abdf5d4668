#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// One CBOR item of a frame, without its nested items.
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

/// Flattens a CBOR item that passed measureCborItem() into its fields, in order. Returns ProtocolViolation for maps,
/// floats and byte strings. This is much cheaper than a document tree, which allocates memory for each field.
auto flattenCbor(std::string_view item, std::vector<Field> &fields) -> Result<void>;

/// Reads fields in order and records whether every field had the expected type. A decoder checks isComplete() after the
/// last field.
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
    /// Skips the next field if it is null, and returns whether it was null.
    auto skipNull() -> bool;
    /// Reads the start of an array and returns its length.
    auto beginArray() -> size_t;
    /// Reads the start of an array and fails unless it has this length.
    void beginArrayOf(size_t length);

    /// Returns true if every field was valid and all fields have been read.
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
    /// Returns the next field if it is of this kind; otherwise marks the reader as failed and returns null.
    auto expect(Field::Kind kind) -> Field *;

    std::vector<Field> &fields_;
    size_t next_ = 0;
    bool ok_ = true;
};

} // namespace snipestream
