#pragma once

#include "config/rule.h"
#include "core/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// An error in a rules file. Line and column count from 1; the column is the start of the text that has to be changed.
struct RuleError {
    size_t line = 0;
    size_t column = 0;
    std::string message;
    /// How to correct the line.
    std::string fix;
};

/// Returns "<line>:<column>: <message>; <fix>".
auto toString(const RuleError &error) -> std::string;

/// Contents of a rules file. The rules are complete only if there are no errors.
struct ParsedRules {
    std::vector<Rule> rules;
    /// All errors of the file, sorted by line and column.
    std::vector<RuleError> errors;
    /// Revision of the rules at the export of the file, from its line `# base revision: <n>`.
    std::optional<uint64_t> baseRevision;
};

/// Parses a rules file: one rule per line; empty lines and lines that start with '#' are skipped. Also checks that no
/// rule occurs twice, that the team of each key has a rule in the file, and that no two routes have the same method and
/// prefix.
auto parseRules(std::string_view text) -> ParsedRules;

/// Parses one rule line, as change records contain it. ErrorCode::InvalidInput: the message lists all errors of the
/// line.
auto parseRuleLine(std::string_view line) -> Result<Rule>;

/// Returns the text of a rules file with the rules, sorted by kind and name, and their base revision. parseRules()
/// reads it.
auto formatRules(const std::vector<Rule> &rules, uint64_t revision) -> std::string;

} // namespace snipestream
