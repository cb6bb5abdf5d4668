#pragma once

#include "core/ids.h"
#include "core/priority.h"

#include <cstdint>
#include <string>
#include <variant>

namespace snipestream
{

/// Who asked for a rule, and why. Every rule has one, so that a later reader can ask back.
struct RequestedBy {
    std::string who;
    std::string why;
};
auto operator==(const RequestedBy &a, const RequestedBy &b) -> bool;

/// `domain <name> weight=<n>`: share of a failure domain in the rate and burst of every team.
struct DomainRule {
    DomainName name;
    uint32_t weight = 1;
    RequestedBy asked;
};
auto operator==(const DomainRule &a, const DomainRule &b) -> bool;

/// `team <name> rate=<n>/s burst=<n>`: what a team may use over all VMs together.
struct TeamRule {
    TeamName name;
    /// Requests per second.
    uint64_t rate = 0;
    /// Requests.
    uint64_t burst = 0;
    RequestedBy asked;
};
auto operator==(const TeamRule &a, const TeamRule &b) -> bool;

/// `key <team> <key id> hash=<salt hex>:<hmac hex>`: a key of a team; the secret itself is not kept.
struct KeyRule {
    KeyId id;
    TeamName team;
    /// Salt, 16 bytes as lower-case hexadecimal digits.
    std::string salt;
    /// HMAC-SHA256 of the secret under the salt's bytes, as lower-case hexadecimal digits.
    std::string hmac;
    RequestedBy asked;
};
auto operator==(const KeyRule &a, const KeyRule &b) -> bool;

/// `route <name> <METHOD> <path prefix> service=<s> priority=<p> idempotent=<yes|no> open=<yes|no>`.
struct RouteRule {
    RouteName name;
    std::string method;
    /// Matches whole path segments: "/stock" matches "/stock" and "/stock/7", not "/stocks". Without a trailing slash,
    /// except for the root "/".
    std::string pathPrefix;
    ServiceName service;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    /// True for public routes, which need no key.
    bool open = false;
    RequestedBy asked;
};
auto operator==(const RouteRule &a, const RouteRule &b) -> bool;

/// A rule of any kind.
using Rule = std::variant<DomainRule, TeamRule, KeyRule, RouteRule>;

/// Returns the id of the rule within all rules: its kind and name, such as "team studio" or "key k7".
auto ruleId(const Rule &rule) -> std::string;

/// Returns the rule as its line in a rules file. parseRuleLine() reads the same rule from it.
auto formatRule(const Rule &rule) -> std::string;

/// Returns whether the text is a valid name: 1 to 63 letters, digits, '-', '_' and '.', starting with a letter or
/// digit.
auto isValidName(std::string_view text) -> bool;

/// Returns whether the text is a valid key id: a name without '.', which separates key id and secret in the header.
auto isValidKeyId(std::string_view text) -> bool;

} // namespace snipestream
