#pragma once

#include "config/rule.h"
#include "config/rules_parser.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// A word of a rule line and its column, counted from 1.
struct RuleToken {
    std::string_view text;
    size_t column = 0;
};

/// Parses one rule line and collects all its errors.
class RuleLineParser
{
public:
    RuleLineParser(std::string_view line, size_t lineNumber, std::vector<RuleError> &errors);

    /// Returns the rule, or empty after at least one error was added.
    auto parse() -> std::optional<Rule>;

private:
    void addError(size_t column, std::string message, std::string fix);
    void split();
    auto parseRequestedBy() -> RequestedBy;
    /// Returns the word at the position, or adds an error that `what` is missing.
    auto word(size_t position, const char *what) -> std::optional<RuleToken>;
    auto name(size_t position, const char *what) -> std::string;
    /// Parses the words from `position` on as `name=value`. Adds an error for each field that is missing, unexpected or
    /// given twice.
    auto fields(size_t position, const std::vector<std::string> &expected) -> std::map<std::string, RuleToken>;
    auto number(const std::map<std::string, RuleToken> &fields, const std::string &name, uint64_t min, uint64_t max, std::string_view unit) -> uint64_t;
    auto flag(const std::map<std::string, RuleToken> &fields, const std::string &name) -> bool;

    auto parseDomain() -> Rule;
    auto parseTeam() -> Rule;
    auto parseKey() -> Rule;
    auto parseRoute() -> Rule;
    auto parseMethod() -> std::string;
    auto parsePrefix() -> std::string;

    std::string_view line_;
    size_t lineNumber_;
    std::vector<RuleError> &errors_;
    std::vector<RuleToken> words_;
    /// Column after the last word, at which missing words are reported.
    size_t endColumn_ = 1;
    size_t commentColumn_ = 0;
    std::string_view comment_;
    RequestedBy requestedBy_;
};

} // namespace snipestream
