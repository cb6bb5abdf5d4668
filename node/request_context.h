#pragma once

#include "core/ids.h"
#include "core/priority.h"
#include "core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Team, deadline and budget of a request that runs at a target. The target's nested calls inherit them, so that they
/// cannot run for another team, outlive the deadline or multiply the attempts.
struct RequestContext {
    RequestId id;
    /// Empty if the original request matched an open route.
    TeamName team;
    Priority priority = Priority::Normal;
    TimePoint deadline;
    /// Retries that all nested calls under this context together may still make.
    int attemptsLeft = 0;
    /// Calls between the original request and the nested calls under this context; 1 for those of the first target.
    int depth = 0;
    /// Distinct keys (see upstreamKey()) of the nested calls made under this context so far.
    std::vector<ServiceName> calledKeys;
    /// A nested call under this context was refused for overload, so a server error of the target does not count as a
    /// failure of the target itself.
    bool overloadedUpstream = false;
};

/// Contexts of the requests that run at the targets of this node, indexed by handle.
struct RequestContextTable {
    std::unordered_map<std::string, RequestContext> rows;
};

/// Adds a context and returns its handle: 128 bits from the cryptographic random generator of OpenSSL, as hexadecimal
/// digits.
auto openContext(RequestContextTable &table, const RequestContext &context) -> std::string;

/// Removes a context. Later calls with its handle are refused.
void closeContext(RequestContextTable &table, const std::string &handle);

/// Returns the context with the handle, or null if its request is not running here or its deadline has passed.
auto findContext(RequestContextTable &table, std::string_view handle, TimePoint now) -> RequestContext *;

} // namespace snipestream
