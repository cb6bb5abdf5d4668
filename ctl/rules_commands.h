#pragma once

#include "ctl/context.h"

#include <string>

namespace snipestream
{

/// `check FILE`: parses the rules file and reports every error.
auto checkCommand(const std::string &file) -> CtlReport;

/// `diff FILE`: shows what publishing the file would change, and whether the change would be refused.
auto diffCommand(const CtlContext &context, const CtlOptions &options, const std::string &file) -> CtlReport;

/// `publish FILE`: publishes the difference between the file and the rules in force and reports whether
/// the change was applied.
auto publishCommand(const CtlContext &context, const CtlOptions &options, const std::string &file) -> CtlReport;

/// `withdraw-key KEYID`: removes the key. Withdrawing a key again succeeds.
auto withdrawKeyCommand(const CtlContext &context, const CtlOptions &options, const std::string &keyId) -> CtlReport;

/// `key new TEAM KEYID`: creates a key and prints it once, with the rule line to add to the rules file.
auto newKeyCommand(const CtlOptions &options, const std::string &team, const std::string &keyId) -> CtlReport;

/// `export`: prints the rules in force as a rules file with its base revision.
auto exportCommand(const CtlContext &context) -> CtlReport;

} // namespace snipestream
