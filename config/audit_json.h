#pragma once

#include "config/config_state.h"

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// Returns an audit entry in the form that snapshots store: offset, change, by, verdict, revision, touched, detail.
auto auditEntryJson(const AuditEntry &entry) -> nlohmann::json;

/// Returns the response to GET /snipestream/v1/audit: the entries of the audit trail, oldest first, each with
/// `inForceAtMs`.
auto auditTrailJson(const ConfigState &state) -> nlohmann::json;

} // namespace snipestream
