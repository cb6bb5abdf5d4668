#include "idempotency/packed_response.h"

#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr size_t kNumberBytes = 4;

void appendNumber(std::string &out, size_t value)
{
    for (size_t i = 0; i < kNumberBytes; ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 255U));
    }
}

void appendText(std::string &out, const std::string &text)
{
    appendNumber(out, text.size());
    out.append(text);
}

auto readNumber(const std::string &in, size_t &offset) -> size_t
{
    CHECK_LE(offset + kNumberBytes, in.size()) << "a packed response is truncated";
    size_t value = 0;
    for (size_t i = 0; i < kNumberBytes; ++i) {
        value |= static_cast<size_t>(static_cast<unsigned char>(in[offset++])) << (8 * i);
    }
    return value;
}

auto readText(const std::string &in, size_t &offset) -> std::string
{
    const size_t length = readNumber(in, offset);
    CHECK_LE(offset + length, in.size()) << "a packed response is truncated";
    offset += length;
    return in.substr(offset - length, length);
}

} // namespace

auto packResponse(const RecordedResponse &response) -> std::string
{
    size_t bytes = 3 * kNumberBytes + response.body.size();
    for (const auto &[name, value] : response.headers) {
        bytes += 2 * kNumberBytes + name.size() + value.size();
    }
    std::string packed;
    packed.reserve(bytes);
    appendNumber(packed, static_cast<size_t>(response.status));
    appendNumber(packed, response.headers.size());
    for (const auto &[name, value] : response.headers) {
        appendText(packed, name);
        appendText(packed, value);
    }
    appendText(packed, response.body);
    return packed;
}

auto unpackResponse(const std::string &packed) -> RecordedResponse
{
    RecordedResponse response;
    size_t offset = 0;
    response.status = static_cast<int>(readNumber(packed, offset));
    const size_t count = readNumber(packed, offset);
    for (size_t i = 0; i < count; ++i) {
        std::string name = readText(packed, offset);
        response.headers.emplace_back(std::move(name), readText(packed, offset));
    }
    response.body = readText(packed, offset);
    return response;
}

} // namespace snipestream
