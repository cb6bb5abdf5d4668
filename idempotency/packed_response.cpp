#include "idempotency/packed_response.h"

#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr size_t kNumberBytes = 4;

void putNumber(std::string &out, size_t value)
{
    for (size_t i = 0; i < kNumberBytes; ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 255U));
    }
}

void putText(std::string &out, const std::string &text)
{
    putNumber(out, text.size());
    out.append(text);
}

auto takeNumber(const std::string &in, size_t &at) -> size_t
{
    CHECK_LE(at + kNumberBytes, in.size()) << "a packed response ends early";
    size_t value = 0;
    for (size_t i = 0; i < kNumberBytes; ++i) {
        value |= static_cast<size_t>(static_cast<unsigned char>(in[at++])) << (8 * i);
    }
    return value;
}

auto takeText(const std::string &in, size_t &at) -> std::string
{
    const size_t length = takeNumber(in, at);
    CHECK_LE(at + length, in.size()) << "a packed response ends early";
    at += length;
    return in.substr(at - length, length);
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
    putNumber(packed, static_cast<size_t>(response.status));
    putNumber(packed, response.headers.size());
    for (const auto &[name, value] : response.headers) {
        putText(packed, name);
        putText(packed, value);
    }
    putText(packed, response.body);
    return packed;
}

auto unpackResponse(const std::string &packed) -> RecordedResponse
{
    RecordedResponse response;
    size_t at = 0;
    response.status = static_cast<int>(takeNumber(packed, at));
    const size_t count = takeNumber(packed, at);
    for (size_t i = 0; i < count; ++i) {
        std::string name = takeText(packed, at);
        response.headers.emplace_back(std::move(name), takeText(packed, at));
    }
    response.body = takeText(packed, at);
    return response;
}

} // namespace snipestream
