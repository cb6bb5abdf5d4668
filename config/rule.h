#pragma once

#include "core/ids.h"
#include "core/priority.h"

#include <cstdint>
#include <string>
#include <variant>

namespace snipestream
{

/// Who requested a rule, and why. It is mandatory for every rule, so that later readers know whom to ask about it.
struct RequestedBy {
    std::string who;
    std::string why;
};
auto operator==(const RequestedBy &a, const RequestedBy &b) -> bool;

/// `domain <name> weight=<n>`: weight of a failure domain, which determines its share of every team's rate and burst.
struct DomainRule {
    DomainName name;
    uint32_t weight = 1;
    RequestedBy requestedBy;
};
auto operator==(const DomainRule &a, const DomainRule &b) -> bool;

/// `team <name> rate=<n>/s burst=<n>`: rate limit of a team for all VMs together.
struct TeamRule {
    TeamName name;
    /// Requests per second.
    uint64_t rate = 0;
    /// Burst size, in requests.
    uint64_t burst = 0;
    RequestedBy requestedBy;
};
auto operator==(const TeamRule &a, const TeamRule &b) -> bool;

/// `key <team> <key id> hash=<salt hex>:<hmac hex>`: an API key of a team. The secret itself is not stored.
struct KeyRule {
    KeyId id;
    TeamName team;
    /// Salt, 16 bytes as lower-case hexadecimal digits.
    std::string salt;
    /// HMAC-SHA256 of the secret under the salt's bytes, as lower-case hexadecimal digits.
    std::string hmac;
    RequestedBy requestedBy;
};
auto operator==(const KeyRule &a, const KeyRule &b) -> bool;

/// `route <name> <METHOD> <path prefix> service=<s> priority=<p> idempotent=<yes|no> open=<yes|no>`.
struct RouteRule {
    RouteName name;
    std::string method;
    /// Matches whole path segments: "/stock" matches "/stock" and "/stock/7" but not "/stocks". It has no trailing
    /// slash, except for the root "/".
    std::string pathPrefix;
    ServiceName service;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    /// Whether the route is public, so that requests need no key.
    bool open = false;
    RequestedBy requestedBy;
};
auto operator==(const RouteRule &a, const RouteRule &b) -> bool;

/// A rule of any kind.
using Rule = std::variant<DomainRule, TeamRule, KeyRule, RouteRule>;

/// Returns the unique id of the rule, made of its kind and name, such as "team studio" or "key k7".
auto ruleId(const Rule &rule) -> std::string;

/// Returns the line of the rule in a rules file. parseRuleLine() parses it to an equal rule.
auto formatRule(const Rule &rule) -> std::string;

/// Returns whether the text is a valid name: 1 to 63 letters, digits, '-', '_' and '.', starting with a letter or
/// digit.
auto isValidName(std::string_view text) -> bool;

/// Returns whether the text is a valid key id: a valid name without '.', which separates key id and secret in the
/// Authorization header.
auto isValidKeyId(std::string_view text) -> bool;

} // namespace snipestream
