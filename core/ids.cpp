#include "core/ids.h"

#include <cinttypes>
#include <cstdio>

namespace snipestream
{

auto toHex(const RequestId &id) -> std::string
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, id.high, id.low);
    return std::string(text.data());
}

auto toString(const Endpoint &endpoint) -> std::string
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace snipestream
