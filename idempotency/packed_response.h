#pragma once

#include "idempotency/claim.h"

#include <string>

namespace snipestream
{

/// Serializes the response into one string without spare capacity. An owner keeps responses for the whole retention, and
/// a list of header strings takes several times the memory.
auto packResponse(const RecordedResponse &response) -> std::string;

/// Inverse of packResponse(). A truncated string aborts the process.
auto unpackResponse(const std::string &packed) -> RecordedResponse;

} // namespace snipestream
