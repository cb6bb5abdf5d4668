#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Number of hash ranges that teams and idempotency keys are divided into.
inline constexpr uint32_t kRangeCount = 32;

/// Returns a stable 64-bit hash (XXH64) of the bytes; the same on every VM and in every version.
auto stableHash(std::string_view bytes, uint64_t seed = 0) -> uint64_t;

/// Returns the range of a team or idempotency key, from 0 to kRangeCount - 1.
auto rangeOf(std::string_view key) -> uint32_t;

/// Returns the indexes of the `count` candidates with the highest rendezvous hash for the key, highest first. Adding or
/// removing a candidate changes the result only for keys for which it is among the highest.
auto rendezvousOrder(std::string_view key, const std::vector<std::string> &candidates, size_t count) -> std::vector<size_t>;

/// Returns HMAC-SHA256 of the message as lower-case hexadecimal digits.
auto hmacSha256Hex(std::string_view key, std::string_view message) -> std::string;

/// Compares two strings in a time that depends only on their lengths, so that the timing does not reveal a hash byte by byte.
auto equalsConstantTime(std::string_view a, std::string_view b) -> bool;

} // namespace snipestream
