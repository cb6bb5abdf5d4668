#pragma once

#include "core/result.h"
#include "ctl/context.h"

#include <string>
#include <vector>

namespace snipestream
{

/// Returns the text of --help: commands, flags and exit codes.
auto usageText() -> std::string;

/// Sets the Abseil flags given as "--name=value", "--name value" or, for boolean flags, "--name"; names may be written
/// with '-' or '_'. Returns the other arguments. Errors: InvalidInput for an unknown flag or a value that does not
/// parse. Abseil's own parser is not used, because it exits with code 1, while usage errors have exit code 2.
auto parseFlags(const std::vector<std::string> &arguments) -> Result<std::vector<std::string>>;

/// Parses a list of endpoints separated by commas, such as "127.0.0.1:7002,127.0.0.1:7003".
auto parseEndpoints(const std::string &text) -> Result<std::vector<Endpoint>>;

/// Runs the command given by the arguments that remain after the flags. Unknown commands, wrong numbers of arguments
/// and missing flags return ExitCode::Usage.
auto runCommand(const CtlContext &context, const CtlOptions &options, const std::vector<std::string> &words) -> CtlReport;

} // namespace snipestream
