#include "peer/field_reader.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

/// SAX handler that appends each parser event as a field. A function that returns false stops the parser. The library
/// prescribes the names of the functions.
struct Flattener {
    std::vector<Field> &fields;

    auto add(Field::Kind kind, uint64_t number) -> bool
    {
        fields.push_back({kind, number, {}});
        return true;
    }
    auto null() -> bool
    {
        return add(Field::Kind::Null, 0);
    }
    auto boolean(bool value) -> bool
    {
        return add(Field::Kind::Boolean, value ? 1 : 0);
    }
    auto number_unsigned(uint64_t value) -> bool // NOLINT(readability-identifier-naming)
    {
        return add(Field::Kind::Unsigned, value);
    }
    auto number_integer(int64_t value) -> bool // NOLINT(readability-identifier-naming)
    {
        // The parser reports every negative number here, and one below the range of int64_t as a positive one.
        return value < 0 && add(Field::Kind::Negative, static_cast<uint64_t>(value));
    }
    auto string(std::string &value) -> bool
    {
        fields.push_back({Field::Kind::Text, 0, std::move(value)});
        return true;
    }
    auto start_array(size_t length) -> bool // NOLINT(readability-identifier-naming)
    {
        return add(Field::Kind::Array, length);
    }
    auto end_array() -> bool // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    auto number_float(double, const std::string &) -> bool // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    auto binary(json::binary_t &) -> bool
    {
        return false;
    }
    auto start_object(size_t) -> bool // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    auto key(std::string &) -> bool
    {
        return false;
    }
    auto end_object() -> bool // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    auto parse_error(size_t, const std::string &, const json::exception &) -> bool
    {
        return false;
    }
};

} // namespace

auto flattenCbor(std::string_view item, std::vector<Field> &fields) -> Result<void>
{
    fields.clear();
    Flattener flattener{fields};
    if (!json::sax_parse(item.data(), item.data() + item.size(), &flattener, json::input_format_t::cbor)) {
        return failure(ErrorCode::ProtocolViolation, "CBOR item of a kind that frames do not have");
    }
    return success();
}

auto FieldReader::expect(Field::Kind kind) -> Field *
{
    if (!ok_ || next_ >= fields_.size() || fields_[next_].kind != kind) {
        ok_ = false;
        return nullptr;
    }
    return &fields_[next_++];
}

auto FieldReader::text() -> std::string
{
    Field *const field = expect(Field::Kind::Text);
    return field != nullptr ? std::move(field->text) : std::string();
}

auto FieldReader::flag() -> bool
{
    const Field *const field = expect(Field::Kind::Boolean);
    return field != nullptr && field->number != 0;
}

auto FieldReader::number(uint64_t max) -> uint64_t
{
    const Field *const field = expect(Field::Kind::Unsigned);
    if (field == nullptr || field->number > max) {
        ok_ = false;
        return 0;
    }
    return field->number;
}

auto FieldReader::signedNumber(int64_t min, int64_t max) -> int64_t
{
    const bool isNegative = next_ < fields_.size() && fields_[next_].kind == Field::Kind::Negative;
    const Field *const field = expect(isNegative ? Field::Kind::Negative : Field::Kind::Unsigned);
    const bool fits = field != nullptr && (isNegative || field->number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
    const auto value = fits ? static_cast<int64_t>(field->number) : 0;
    if (!fits || value < min || value > max) {
        ok_ = false;
        return 0;
    }
    return value;
}

auto FieldReader::optionalNumber(uint64_t max) -> std::optional<uint64_t>
{
    if (skipNull()) {
        return std::nullopt;
    }
    return number(max);
}

auto FieldReader::skipNull() -> bool
{
    if (!ok_ || next_ >= fields_.size() || fields_[next_].kind != Field::Kind::Null) {
        return false;
    }
    ++next_;
    return true;
}

auto FieldReader::beginArray() -> size_t
{
    const Field *const field = expect(Field::Kind::Array);
    return field != nullptr ? field->number : 0;
}

void FieldReader::beginArrayOf(size_t length)
{
    if (beginArray() != length) {
        ok_ = false;
    }
}

} // namespace snipestream
