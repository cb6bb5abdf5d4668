#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace snipestream
{

/// Returns the path of a request target for route matching: without the query, percent-decoded and without trailing
/// slashes. ErrorCode::InvalidInput: the path is malformed, or has empty, '.' or '..' segments, backslashes, control
/// characters, or encoded slashes or dots. Targets may resolve such a path differently, so that it would reach another
/// route than the one it matches.
auto normalizePath(std::string_view target) -> Result<std::string>;

} // namespace snipestream
