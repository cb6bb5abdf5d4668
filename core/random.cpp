#include "core/random.h"

#include <vector>

#include <glog/logging.h>
#include <openssl/rand.h>

namespace snipestream
{

auto drawBelow(Random &random, uint64_t bound) -> uint64_t
{
    if (bound == 0) {
        return 0;
    }
    return random() % bound;
}

auto drawRequestId(Random &random) -> RequestId
{
    const uint64_t high = random();
    return RequestId{high, random()};
}

auto systemSeed() -> uint64_t
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

auto secureRandomHex(size_t bytes) -> std::string
{
    std::vector<unsigned char> buffer(bytes);
    CHECK_EQ(RAND_bytes(buffer.data(), static_cast<int>(bytes)), 1) << "RAND_bytes of OpenSSL failed";
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes * 2);
    for (const unsigned char byte : buffer) {
        hex.push_back(kDigits[byte >> 4U]);
        hex.push_back(kDigits[byte & 0x0FU]);
    }
    return hex;
}

} // namespace snipestream
