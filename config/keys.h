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

/// A key just made. The secret exists only here; the rule holds its HMAC.
struct NewKey {
    /// What the team puts after "Bearer ": "<key id>.<secret>".
    std::string bearer;
    KeyRule rule;
};

/// Makes a key with a random secret of 32 bytes and a random salt of 16 bytes.
auto createKey(const TeamName &team, const KeyId &id, const RequestedBy &asked) -> NewKey;

/// Returns the HMAC-SHA256 of a secret under a salt of hexadecimal digits, as lower-case hexadecimal digits.
auto hashSecret(std::string_view saltHex, std::string_view secret) -> std::string;

/// Keys whose secret was checked lately, so that a busy key costs one comparison and not one HMAC per request.
struct KeyCache {
    struct Entry {
        std::string secret;
        /// HMAC of the rule that the secret was checked against; an entry of another rule does not count.
        std::string hmac;
    };
    size_t capacity = 4096;
    std::unordered_map<KeyId, Entry> entries;
    /// Key ids in the order they were added; the oldest leaves first.
    std::deque<KeyId> order;
};

/// Returns the team of an Authorization header "Bearer <key id>.<secret>". The secret is compared in constant time, and
/// an unknown key id costs the same HMAC as a wrong secret. Errors: InvalidInput (header missing or malformed),
/// NotFound (unknown key id or wrong secret), Expired (the key was withdrawn).
auto authenticate(const ConfigState &state, KeyCache &cache, std::string_view authorization) -> Result<TeamName>;

/// Returns the key id of an Authorization header without checking the secret; empty if the header is malformed.
auto keyIdOf(std::string_view authorization) -> KeyId;

/// Overwrites and drops the entry of a withdrawn or replaced key.
void forgetKey(KeyCache &cache, const KeyId &id);

/// Overwrites and drops all entries.
void clearKeys(KeyCache &cache);

} // namespace snipestream
