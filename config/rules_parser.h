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

/// An error in a rules file. Line and column count from 1; the column is that of the text that has to change.
struct RuleError {
    size_t line = 0;
    size_t column = 0;
    std::string message;
    /// What to write instead.
    std::string fix;
};

/// Returns "3:14: rate=5 is not ...; write ...".
auto toString(const RuleError &error) -> std::string;

/// What a rules file contains. The rules are complete only if there are no errors.
struct ParsedRules {
    std::vector<Rule> rules;
    /// Every error of the file, in the order of lines and columns.
    std::vector<RuleError> errors;
    /// Revision that the file was exported at, from its line `# base revision: <n>`.
    std::optional<uint64_t> baseRevision;
};

/// Parses a rules file: one rule per line; empty lines and lines that start with '#' are skipped. Also checks what
/// holds between rules: no rule twice, keys name a team of the file, no two routes with the same method and prefix.
auto parseRules(std::string_view text) -> ParsedRules;

/// Parses one rule line, as it stands in change records. ErrorCode::InvalidInput names every error of the line.
auto parseRuleLine(std::string_view line) -> Result<Rule>;

/// Returns the rules as a rules file that parseRules() reads, sorted by kind and name, with its base revision.
auto formatRules(const std::vector<Rule> &rules, uint64_t revision) -> std::string;

} // namespace snipestream
