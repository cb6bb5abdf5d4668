#include "config/rule_line.h"

#include "config/text.h"

#include <algorithm>
#include <array>

namespace snipestream
{

namespace
{

constexpr uint32_t kMaxWeight = 1000000;
/// Maximum rate in requests per second and maximum burst in requests. Amounts are counted in micro-tokens and must fit
/// into 64 bits.
constexpr uint64_t kMaxRate = 1000000000;
constexpr size_t kSaltDigits = 32;
constexpr size_t kHmacDigits = 64;
constexpr size_t kMaxPrefixBytes = 256;
constexpr size_t kMaxRequestedByBytes = 500;
constexpr const char *kNameFix = "use 1 to 63 letters, digits, '-', '_' and '.', starting with a letter or digit";
constexpr const char *kRequestedByFix = "end the line with \"# asked by <who>: <why>\"";
constexpr std::array<std::string_view, 7> kMethods = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

auto isPathCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
        || std::string_view("/-._~!$&'()*+,=:@").find(character) != std::string_view::npos;
}

auto hasDotOrEmptySegment(std::string_view path) -> bool
{
    const std::string closed = std::string(path) + "/";
    return closed.find("//") != std::string::npos || closed.find("/./") != std::string::npos || closed.find("/../") != std::string::npos;
}

} // namespace

RuleLineParser::RuleLineParser(std::string_view line, size_t lineNumber, std::vector<RuleError> &errors)
    : line_(line)
    , lineNumber_(lineNumber)
    , errors_(errors)
{
}

void RuleLineParser::addError(size_t column, std::string message, std::string fix)
{
    errors_.push_back(RuleError{lineNumber_, column, std::move(message), std::move(fix)});
}

void RuleLineParser::split()
{
    const size_t hash = line_.find('#');
    const std::string_view rule = line_.substr(0, hash);
    comment_ = hash == std::string_view::npos ? std::string_view() : line_.substr(hash);
    static constexpr std::string_view kBlank = " \t\r";
    for (size_t begin = rule.find_first_not_of(kBlank); begin != std::string_view::npos;) {
        const size_t end = std::min(rule.find_first_of(kBlank, begin), rule.size());
        words_.push_back(RuleToken{rule.substr(begin, end - begin), begin + 1});
        endColumn_ = end + 1;
        begin = rule.find_first_not_of(kBlank, end);
    }
    commentColumn_ = hash == std::string_view::npos ? endColumn_ : hash + 1;
}

auto RuleLineParser::parse() -> std::optional<Rule>
{
    const size_t errorsBefore = errors_.size();
    if (!isPrintableUtf8(trimmed(line_))) {
        addError(1, "the line has control characters or is not UTF-8", "save the file as UTF-8 text");
        return std::nullopt;
    }
    split();
    requestedBy_ = parseRequestedBy();
    std::optional<Rule> rule;
    const std::string_view kind = words_.empty() ? std::string_view() : words_.front().text;
    if (kind == "domain") {
        rule = parseDomain();
    } else if (kind == "team") {
        rule = parseTeam();
    } else if (kind == "key") {
        rule = parseKey();
    } else if (kind == "route") {
        rule = parseRoute();
    } else {
        addError(words_.empty() ? 1 : words_.front().column, inQuotes(kind) + " is not a rule kind", "start the line with domain, team, key or route");
    }
    if (errors_.size() != errorsBefore) {
        return std::nullopt;
    }
    return rule;
}

auto RuleLineParser::parseRequestedBy() -> RequestedBy
{
    static constexpr std::string_view kPrefix = "asked by ";
    if (comment_.empty()) {
        addError(commentColumn_, "the rule does not say who asked for it", kRequestedByFix);
        return {};
    }
    const std::string_view text = trimmed(comment_.substr(1));
    const size_t colon = text.find(':');
    if (text.substr(0, kPrefix.size()) != kPrefix || colon == std::string_view::npos) {
        addError(commentColumn_, "the comment " + inQuotes(comment_) + " does not say who asked for the rule", kRequestedByFix);
        return {};
    }
    RequestedBy requestedBy{std::string(trimmed(text.substr(kPrefix.size(), colon - kPrefix.size()))), std::string(trimmed(text.substr(colon + 1)))};
    if (requestedBy.who.empty()) {
        addError(commentColumn_, "the comment names nobody who asked for the rule", kRequestedByFix);
    }
    if (requestedBy.why.empty()) {
        addError(commentColumn_, "the comment gives no reason for the rule", kRequestedByFix);
    }
    if (text.size() > kMaxRequestedByBytes) {
        addError(commentColumn_, "the comment is longer than 500 bytes", "shorten the reason");
    }
    return requestedBy;
}

auto RuleLineParser::word(size_t position, const char *what) -> std::optional<RuleToken>
{
    if (position < words_.size() && words_[position].text.find('=') == std::string_view::npos) {
        return words_[position];
    }
    const size_t column = position < words_.size() ? words_[position].column : endColumn_;
    addError(column, std::string(what) + " is missing", std::string("add ") + what + " here");
    return std::nullopt;
}

auto RuleLineParser::name(size_t position, const char *what) -> std::string
{
    const auto token = word(position, what);
    if (!token) {
        return {};
    }
    if (!isValidName(token->text)) {
        addError(token->column, inQuotes(token->text) + " is not valid as " + what, kNameFix);
    }
    return std::string(token->text);
}

auto RuleLineParser::fields(size_t position, const std::vector<std::string> &expected) -> std::map<std::string, RuleToken>
{
    std::map<std::string, RuleToken> found;
    for (size_t i = position; i < words_.size(); ++i) {
        const RuleToken &token = words_[i];
        const size_t equals = token.text.find('=');
        const std::string name(token.text.substr(0, equals));
        if (equals == std::string_view::npos || std::find(expected.begin(), expected.end(), name) == expected.end()) {
            addError(token.column, inQuotes(token.text) + " is not expected here", "use the fields " + joined(expected, ", ") + " as <field>=<value>");
            continue;
        }
        if (!found.emplace(name, RuleToken{token.text.substr(equals + 1), token.column + equals + 1}).second) {
            addError(token.column, "the field " + name + " is given twice", "remove one of them");
        }
    }
    for (const std::string &name : expected) {
        if (found.count(name) == 0) {
            addError(endColumn_, "the field " + name + " is missing", "add " + name + "=<value>");
        }
    }
    return found;
}

auto RuleLineParser::number(const std::map<std::string, RuleToken> &fields, const std::string &name, uint64_t min, uint64_t max, std::string_view unit)
    -> uint64_t
{
    const auto field = fields.find(name);
    if (field == fields.end()) {
        return 0;
    }
    std::string_view text = field->second.text;
    const bool hasUnit = text.size() >= unit.size() && text.substr(text.size() - unit.size()) == unit;
    const auto value = hasUnit ? parseDecimal(text.substr(0, text.size() - unit.size()), max) : std::nullopt;
    if (!value || *value < min) {
        addError(field->second.column, name + "=" + inQuotes(text) + " is not valid",
                 "write " + name + "=<n>" + std::string(unit) + " with a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return 0;
    }
    return *value;
}

auto RuleLineParser::flag(const std::map<std::string, RuleToken> &fields, const std::string &name) -> bool
{
    const auto field = fields.find(name);
    if (field == fields.end()) {
        return false;
    }
    if (field->second.text != "yes" && field->second.text != "no") {
        addError(field->second.column, name + "=" + inQuotes(field->second.text) + " is not valid", "write " + name + "=yes or " + name + "=no");
    }
    return field->second.text == "yes";
}

auto RuleLineParser::parseDomain() -> Rule
{
    DomainRule rule;
    rule.name = DomainName(name(1, "the name of the failure domain"));
    const auto fieldValues = fields(2, {"weight"});
    rule.weight = static_cast<uint32_t>(number(fieldValues, "weight", 1, kMaxWeight, ""));
    rule.requestedBy = requestedBy_;
    return rule;
}

auto RuleLineParser::parseTeam() -> Rule
{
    TeamRule rule;
    rule.name = TeamName(name(1, "the name of the team"));
    const auto fieldValues = fields(2, {"rate", "burst"});
    rule.rate = number(fieldValues, "rate", 1, kMaxRate, "/s");
    rule.burst = number(fieldValues, "burst", 1, kMaxRate, "");
    rule.requestedBy = requestedBy_;
    return rule;
}

auto RuleLineParser::parseKey() -> Rule
{
    KeyRule rule;
    rule.team = TeamName(name(1, "the name of the team"));
    if (const auto token = word(2, "the key id")) {
        rule.id = KeyId(std::string(token->text));
        if (!isValidKeyId(token->text)) {
            addError(token->column, inQuotes(token->text) + " is not valid as the key id",
                     "use 1 to 63 letters, digits, '-' and '_', starting with a letter or digit");
        }
    }
    const auto fieldValues = fields(3, {"hash"});
    const auto hash = fieldValues.find("hash");
    if (hash != fieldValues.end()) {
        const std::string_view text = hash->second.text;
        const size_t colon = std::min(text.find(':'), text.size());
        rule.salt = std::string(text.substr(0, colon));
        rule.hmac = std::string(text.substr(std::min(colon + 1, text.size())));
        if (!isLowerHex(rule.salt, kSaltDigits) || !isLowerHex(rule.hmac, kHmacDigits)) {
            addError(hash->second.column, "the hash is not 32 and 64 lower-case hexadecimal digits joined by ':'",
                     "copy the line that \"snipestreamctl key new\" printed");
        }
    }
    rule.requestedBy = requestedBy_;
    return rule;
}

auto RuleLineParser::parseMethod() -> std::string
{
    const auto token = word(2, "the method");
    if (!token) {
        return {};
    }
    if (std::find(kMethods.begin(), kMethods.end(), token->text) == kMethods.end()) {
        addError(token->column, inQuotes(token->text) + " is not a method", "use one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS in capitals");
    }
    return std::string(token->text);
}

auto RuleLineParser::parsePrefix() -> std::string
{
    if (words_.size() <= 3) {
        addError(endColumn_, "the path prefix is missing", "add a path such as /stock here");
        return {};
    }
    const RuleToken &token = words_[3];
    std::string_view path = token.text;
    if (path.front() != '/' || path.size() > kMaxPrefixBytes || !std::all_of(path.begin(), path.end(), isPathCharacter)) {
        addError(token.column, inQuotes(path) + " is not a path prefix",
                 "start it with '/' and use at most 256 letters, digits and -._~!$&'()*+,=:@ without encoding");
        return {};
    }
    while (path.size() > 1 && path.back() == '/') {
        path.remove_suffix(1);
    }
    if (path.size() > 1 && hasDotOrEmptySegment(path)) {
        addError(token.column, inQuotes(path) + " has empty, '.' or '..' segments", "write the path without them");
    }
    return std::string(path);
}

auto RuleLineParser::parseRoute() -> Rule
{
    RouteRule rule;
    rule.name = RouteName(name(1, "the name of the route"));
    rule.method = parseMethod();
    rule.pathPrefix = parsePrefix();
    const auto fieldValues = fields(4, {"service", "priority", "idempotent", "open"});
    const auto service = fieldValues.find("service");
    if (service != fieldValues.end()) {
        rule.service = ServiceName(std::string(service->second.text));
        if (!isValidName(service->second.text)) {
            addError(service->second.column, inQuotes(service->second.text) + " is not valid as a service", kNameFix);
        }
    }
    const auto priority = fieldValues.find("priority");
    if (priority != fieldValues.end()) {
        const auto parsed = parsePriority(priority->second.text);
        if (!parsed) {
            addError(priority->second.column, inQuotes(priority->second.text) + " is not a priority", "use critical, high, normal or low");
        }
        rule.priority = parsed.value_or(Priority::Normal);
    }
    rule.idempotent = flag(fieldValues, "idempotent");
    rule.open = flag(fieldValues, "open");
    rule.requestedBy = requestedBy_;
    return rule;
}

} // namespace snipestream
