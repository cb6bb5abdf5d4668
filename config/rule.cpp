#include "config/rule.h"

#include "config/text.h"

#include <algorithm>
#include <tuple>

namespace snipestream
{

namespace
{

constexpr size_t kMaxNameBytes = 63;

auto isNameCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-'
        || character == '_' || character == '.';
}

auto formatRequestedBy(const RequestedBy &requestedBy) -> std::string
{
    return " # asked by " + requestedBy.who + ": " + requestedBy.why;
}

auto yesNo(bool value) -> std::string
{
    return value ? "yes" : "no";
}

struct IdOf {
    auto operator()(const DomainRule &rule) const -> std::string
    {
        return "domain " + rule.name.value;
    }
    auto operator()(const TeamRule &rule) const -> std::string
    {
        return "team " + rule.name.value;
    }
    auto operator()(const KeyRule &rule) const -> std::string
    {
        return "key " + rule.id.value;
    }
    auto operator()(const RouteRule &rule) const -> std::string
    {
        return "route " + rule.name.value;
    }
};

struct LineOf {
    auto operator()(const DomainRule &rule) const -> std::string
    {
        return "domain " + rule.name.value + " weight=" + std::to_string(rule.weight) + formatRequestedBy(rule.requestedBy);
    }
    auto operator()(const TeamRule &rule) const -> std::string
    {
        return "team " + rule.name.value + " rate=" + std::to_string(rule.rate) + "/s burst=" + std::to_string(rule.burst)
            + formatRequestedBy(rule.requestedBy);
    }
    auto operator()(const KeyRule &rule) const -> std::string
    {
        return "key " + rule.team.value + " " + rule.id.value + " hash=" + rule.salt + ":" + rule.hmac + formatRequestedBy(rule.requestedBy);
    }
    auto operator()(const RouteRule &rule) const -> std::string
    {
        return "route " + rule.name.value + " " + rule.method + " " + rule.pathPrefix + " service=" + rule.service.value
            + " priority=" + std::string(priorityName(rule.priority)) + " idempotent=" + yesNo(rule.idempotent) + " open=" + yesNo(rule.open)
            + formatRequestedBy(rule.requestedBy);
    }
};

} // namespace

auto operator==(const RequestedBy &a, const RequestedBy &b) -> bool
{
    return std::tie(a.who, a.why) == std::tie(b.who, b.why);
}

auto operator==(const DomainRule &a, const DomainRule &b) -> bool
{
    return std::tie(a.name, a.weight, a.requestedBy) == std::tie(b.name, b.weight, b.requestedBy);
}

auto operator==(const TeamRule &a, const TeamRule &b) -> bool
{
    return std::tie(a.name, a.rate, a.burst, a.requestedBy) == std::tie(b.name, b.rate, b.burst, b.requestedBy);
}

auto operator==(const KeyRule &a, const KeyRule &b) -> bool
{
    return std::tie(a.id, a.team, a.salt, a.hmac, a.requestedBy) == std::tie(b.id, b.team, b.salt, b.hmac, b.requestedBy);
}

auto operator==(const RouteRule &a, const RouteRule &b) -> bool
{
    return std::tie(a.name, a.method, a.pathPrefix, a.service, a.priority, a.idempotent, a.open, a.requestedBy)
        == std::tie(b.name, b.method, b.pathPrefix, b.service, b.priority, b.idempotent, b.open, b.requestedBy);
}

auto ruleId(const Rule &rule) -> std::string
{
    return std::visit(IdOf{}, rule);
}

auto formatRule(const Rule &rule) -> std::string
{
    return std::visit(LineOf{}, rule);
}

auto isValidName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), isNameCharacter) && text.front() != '-' && text.front() != '_'
        && text.front() != '.';
}

auto isValidKeyId(std::string_view text) -> bool
{
    return isValidName(text) && text.find('.') == std::string_view::npos;
}

} // namespace snipestream
