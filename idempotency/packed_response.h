#pragma once

#include "idempotency/claim.h"

#include <string>

namespace snipestream
{

/// Returns the response as one string without spare capacity: headers as pairs of strings take several times the
/// memory, and an owner keeps responses for the whole retention.
auto packResponse(const RecordedResponse &response) -> std::string;

/// Returns the response that packResponse() was given.
auto unpackResponse(const std::string &packed) -> RecordedResponse;

} // namespace snipestream
