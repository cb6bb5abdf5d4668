#pragma once

#include "config/config_state.h"
#include "core/ids.h"
#include "core/result.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipestream
{

/// A newly created key. The secret is stored nowhere else; the rule has only its HMAC.
struct NewKey {
    /// Token that the team sends after "Bearer ": "<key id>.<secret>".
    std::string bearer;
    KeyRule rule;
};

/// Creates a key with a random secret of 32 bytes and a random salt of 16 bytes.
auto createKey(const TeamName &team, const KeyId &id, const RequestedBy &requestedBy) -> NewKey;

/// Returns the HMAC-SHA256 of a secret under a salt of hexadecimal digits, as lower-case hexadecimal digits.
auto hashSecret(std::string_view saltHex, std::string_view secret) -> std::string;

/// Keys whose secret was verified recently, so that a request with a cached key costs a comparison instead of an HMAC.
struct KeyCache {
    struct Entry {
        std::string secret;
        /// HMAC of the rule that the secret was verified against. The entry is valid only while the rule has this HMAC.
        std::string hmac;
    };
    size_t capacity = 4096;
    std::unordered_map<KeyId, Entry> entries;
    /// Key ids in the order of their insertion. The oldest is evicted first.
    std::deque<KeyId> order;
};

/// Returns the team of an Authorization header "Bearer <key id>.<secret>". The secret is compared in constant time, and
/// an unknown key id costs the same HMAC as a wrong secret, so that response times do not reveal which keys exist.
/// Errors: InvalidInput (header missing or malformed), NotFound (unknown key id or wrong secret), Expired (the key was
/// withdrawn).
auto authenticate(const ConfigState &state, KeyCache &cache, std::string_view authorization) -> Result<TeamName>;

/// Returns the key id of an Authorization header without checking the secret; empty if the header is malformed.
auto keyIdOf(std::string_view authorization) -> KeyId;

/// Removes the entry of a withdrawn or replaced key and overwrites the secret in memory.
void evictKey(KeyCache &cache, const KeyId &id);

/// Removes all entries and overwrites their secrets in memory.
void clearKeyCache(KeyCache &cache);

} // namespace snipestream
