#pragma once

#include "core/exchange.h"

#include <nlohmann/json.hpp>

namespace snipestream {

/// Returns the head as an array of its fields in a fixed order. Header fields keep their bytes, even where they are not
/// UTF-8.
auto encodeRequestHead(const RequestHead &head) -> nlohmann::json;
auto encodeResponseHead(const ResponseHead &head) -> nlohmann::json;

/// Reads a head back. ProtocolViolation if a field is missing, of the wrong type or out of range. The strings are moved
/// out of `value`.
auto decodeRequestHead(nlohmann::json &value) -> Result<RequestHead>;
auto decodeResponseHead(nlohmann::json &value) -> Result<ResponseHead>;

/// Reads the fields of one array in order and remembers whether each had its type; a decoder checks `ok` at the end.
class FieldReader
{
public:
    explicit FieldReader(nlohmann::json &array)
        : fields_(array.is_array() ? array.get_ptr<nlohmann::json::array_t *>() : nullptr)
        , ok_(fields_ != nullptr)
    {
    }

    auto text() -> std::string;
    auto flag() -> bool;
    auto number(uint64_t max = UINT64_MAX) -> uint64_t;
    auto signedNumber(int64_t min, int64_t max) -> int64_t;
    auto optionalNumber(uint64_t max = UINT64_MAX) -> std::optional<uint64_t>;
    /// Returns the next field as it is, or null if there is none.
    auto any() -> nlohmann::json &;

    /// True if all fields read so far were right and none is left.
    [[nodiscard]] auto isComplete() const -> bool
    {
        return ok_ && next_ == fields_->size();
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
    nlohmann::json::array_t *fields_;
    size_t next_ = 0;
    bool ok_;
};

} // namespace snipestream
