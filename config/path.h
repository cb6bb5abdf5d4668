#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace snipestream
{

/// Returns the path of a request target without query, percent-decoded and without trailing slashes, for matching.
/// ErrorCode::InvalidInput: the path could reach another route than the one it matches, since targets resolve such
/// paths differently: it has empty, '.' or '..' segments, backslashes, control characters, or encoded slashes or dots.
auto plainPath(std::string_view target) -> Result<std::string>;

} // namespace snipestream
