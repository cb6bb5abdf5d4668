#pragma once

#include "core/result.h"
#include "ctl/context.h"

#include <string>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Sends a request to the admin endpoint of a node and returns the JSON object of the response. Errors: those of the
/// transport; InvalidInput if the node refused the request (4xx), with its message; Unavailable for other statuses;
/// ProtocolViolation if the response is not a JSON object.
auto callNode(const CtlContext &context, const Endpoint &node, const std::string &method, const std::string &path, Duration timeout) -> Result<nlohmann::json>;

/// Returns a field of a response as text, or "?" if it is missing or null.
auto fieldText(const nlohmann::json &response, const char *name) -> std::string;

/// Returns an unsigned number field of an response, or 0 if it is missing or of another type.
auto fieldNumber(const nlohmann::json &response, const char *name) -> uint64_t;

} // namespace snipestream
