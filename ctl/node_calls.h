#pragma once

#include "core/result.h"
#include "ctl/context.h"

#include <string>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Sends a request to the admin endpoint of a node and reads the JSON object it answers. Errors: those of the
/// transport; InvalidInput if the node refused (4xx), with its message; Unavailable for other statuses;
/// ProtocolViolation if the answer is no JSON object.
auto callNode(const CtlContext &context, const Endpoint &node, const std::string &method, const std::string &path, Duration timeout) -> Result<nlohmann::json>;

/// Returns a text or number field of an answer, or "?" if it is missing.
auto fieldText(const nlohmann::json &answer, const char *name) -> std::string;

/// Returns an unsigned number field of an answer, or 0 if it is missing or of another type.
auto fieldNumber(const nlohmann::json &answer, const char *name) -> uint64_t;

} // namespace snipestream
