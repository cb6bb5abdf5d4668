#include "config/keys.h"

#include "core/hash.h"
#include "core/random.h"

#include <algorithm>

#include <openssl/crypto.h>

namespace snipestream
{

namespace
{

constexpr size_t kSecretBytes = 32;
constexpr size_t kSaltBytes = 16;
/// Longer secrets are rejected without hashing, so that a long header cannot cause more work.
constexpr size_t kMaxSecretBytes = 256;
constexpr std::string_view kScheme = "bearer ";

struct Credentials {
    KeyId id;
    std::string_view secret;
};

auto startsWithScheme(std::string_view text) -> bool
{
    return text.size() > kScheme.size() && std::equal(kScheme.begin(), kScheme.end(), text.begin(), [](char expected, char actual) {
               return expected == actual || (expected >= 'a' && expected <= 'z' && expected - 'a' + 'A' == actual);
           });
}

/// Splits "Bearer <key id>.<secret>"; the id is empty if the header is malformed.
auto splitAuthorization(std::string_view authorization) -> Credentials
{
    if (!startsWithScheme(authorization)) {
        return {};
    }
    const std::string_view token = authorization.substr(kScheme.size());
    const size_t dot = token.find('.');
    if (dot == std::string_view::npos || !isValidKeyId(token.substr(0, dot))) {
        return {};
    }
    return Credentials{KeyId(std::string(token.substr(0, dot))), token.substr(dot + 1)};
}

void overwrite(std::string &secret)
{
    OPENSSL_cleanse(secret.data(), secret.size());
}

void cacheKey(KeyCache &cache, const KeyRule &rule, std::string_view secret)
{
    evictKey(cache, rule.id);
    if (cache.capacity == 0) {
        return;
    }
    if (cache.entries.size() >= cache.capacity) {
        const KeyId oldest = cache.order.front();
        evictKey(cache, oldest);
    }
    cache.entries.emplace(rule.id, KeyCache::Entry{std::string(secret), rule.hmac});
    cache.order.push_back(rule.id);
}

auto digitValue(char digit) -> int
{
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

} // namespace

auto hashSecret(std::string_view saltHex, std::string_view secret) -> std::string
{
    std::string salt;
    for (size_t i = 0; i + 1 < saltHex.size(); i += 2) {
        salt.push_back(static_cast<char>(digitValue(saltHex[i]) * 16 + digitValue(saltHex[i + 1])));
    }
    return hmacSha256Hex(salt, secret);
}

auto createKey(const TeamName &team, const KeyId &id, const RequestedBy &requestedBy) -> NewKey
{
    const std::string secret = secureRandomHex(kSecretBytes);
    NewKey key;
    key.bearer = id.value + "." + secret;
    key.rule.id = id;
    key.rule.team = team;
    key.rule.salt = secureRandomHex(kSaltBytes);
    key.rule.hmac = hashSecret(key.rule.salt, secret);
    key.rule.requestedBy = requestedBy;
    return key;
}

auto authenticate(const ConfigState &state, KeyCache &cache, std::string_view authorization) -> Result<TeamName>
{
    if (authorization.empty()) {
        return failure(ErrorCode::InvalidInput, "the request has no Authorization header");
    }
    const Credentials credentials = splitAuthorization(authorization);
    if (credentials.id.empty() || credentials.secret.empty() || credentials.secret.size() > kMaxSecretBytes) {
        return failure(ErrorCode::InvalidInput, "the Authorization header is not \"Bearer <key id>.<secret>\"");
    }
    const auto rule = state.index.keys.find(credentials.id);
    if (rule == state.index.keys.end()) {
        // Computes an HMAC as for a wrong secret, so that response times do not reveal which key ids exist.
        static const std::string kDummySalt(kSaltBytes * 2, '0');
        static const std::string kDummyHmac(64, '0');
        (void)equalsConstantTime(hashSecret(kDummySalt, credentials.secret), kDummyHmac);
        if (state.removedKeys.revisions.count("key " + credentials.id.value) != 0) {
            return failure(ErrorCode::Expired, "the key " + credentials.id.value + " was withdrawn");
        }
        return failure(ErrorCode::NotFound, "the key " + credentials.id.value + " is not known");
    }
    const auto cached = cache.entries.find(credentials.id);
    if (cached != cache.entries.end() && cached->second.hmac == rule->second.hmac && equalsConstantTime(cached->second.secret, credentials.secret)) {
        return rule->second.team;
    }
    if (!equalsConstantTime(hashSecret(rule->second.salt, credentials.secret), rule->second.hmac)) {
        return failure(ErrorCode::NotFound, "the key " + credentials.id.value + " is not known");
    }
    cacheKey(cache, rule->second, credentials.secret);
    return rule->second.team;
}

auto keyIdOf(std::string_view authorization) -> KeyId
{
    return splitAuthorization(authorization).id;
}

void evictKey(KeyCache &cache, const KeyId &id)
{
    const auto entry = cache.entries.find(id);
    if (entry == cache.entries.end()) {
        return;
    }
    overwrite(entry->second.secret);
    cache.entries.erase(entry);
    cache.order.erase(std::find(cache.order.begin(), cache.order.end(), id));
}

void clearKeyCache(KeyCache &cache)
{
    for (auto &[id, entry] : cache.entries) {
        overwrite(entry.secret);
    }
    cache.entries.clear();
    cache.order.clear();
}

} // namespace snipestream
