#include "core/hash.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace snipestream
{

auto stableHash(std::string_view bytes, uint64_t seed) -> uint64_t
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

auto rangeOf(std::string_view key) -> uint32_t
{
    return static_cast<uint32_t>(stableHash(key) % kRangeCount);
}

auto rendezvousOrder(std::string_view key, const std::vector<std::string> &candidates, size_t count) -> std::vector<size_t>
{
    const uint64_t seed = stableHash(key);
    std::vector<std::pair<uint64_t, size_t>> scored;
    scored.reserve(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i) {
        scored.emplace_back(stableHash(candidates[i], seed), i);
    }
    const size_t selected = std::min(count, scored.size());
    const auto isBetter = [&candidates](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : candidates[a.second] < candidates[b.second];
    };
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(selected), scored.end(), isBetter);
    std::vector<size_t> order(selected);
    std::transform(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(selected), order.begin(), [](const auto &s) {
        return s.second;
    });
    return order;
}

auto hmacSha256Hex(std::string_view key, std::string_view message) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(message.data()), message.size(), digest.data(),
         &length);
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(size_t{2} * length);
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(kDigits[digest[i] >> 4U]);
        hex.push_back(kDigits[digest[i] & 0x0FU]);
    }
    return hex;
}

auto equalsConstantTime(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace snipestream
