#pragma once

#include "config/config_state.h"

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// Returns an audit entry as it stands in snapshots: offset, change, by, verdict, revision, touched, detail.
auto auditEntryJson(const AuditEntry &entry) -> nlohmann::json;

/// Returns the audit trail as nodes serve it at GET /snipestream/v1/audit: the entries with `inForceAtMs`, oldest
/// first.
auto auditTrailJson(const ConfigState &state) -> nlohmann::json;

} // namespace snipestream
