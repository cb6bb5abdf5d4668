#include "config/audit_json.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

auto auditEntryJson(const AuditEntry &entry) -> nlohmann::json
{
    return nlohmann::json{{"offset", entry.offset},     {"change", entry.changeId}, {"by", entry.by},        {"verdict", verdictName(entry.verdict)},
                          {"revision", entry.revision}, {"touched", entry.touched}, {"detail", entry.detail}};
}

auto auditTrailJson(const ConfigState &state) -> nlohmann::json
{
    nlohmann::json entries = nlohmann::json::array();
    for (const AuditEntry &entry : state.audit) {
        nlohmann::json row = auditEntryJson(entry);
        row["inForceAtMs"] = entry.inForceAtMs;
        entries.push_back(std::move(row));
    }
    return nlohmann::json{{"entries", std::move(entries)}};
}

} // namespace snipestream
