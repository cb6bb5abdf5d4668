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

/// For whom a running request runs. A target's calls to other services inherit it, so that they cannot act for another
/// team, outlive the deadline or multiply the attempts.
struct RequestContext {
    RequestId id;
    /// Empty if the original request came over an open route.
    TeamName team;
    Priority priority = Priority::Normal;
    TimePoint deadline;
    /// Attempts beyond the first that calls under this context may still make together.
    int attemptsLeft = 0;
    /// Hops since the original request.
    int depth = 0;
    /// Keys (upstreamKey) of the calls made under this context so far.
    std::vector<ServiceName> calledKeys;
    /// A call under this context was refused for overload, so a server error of the target says nothing about the
    /// target.
    bool overloadedBelow = false;
};

/// Contexts of the requests that run at the targets of this node, by handle.
struct RequestContextTable {
    std::unordered_map<std::string, RequestContext> rows;
};

/// Adds a context and returns its handle, 128 random bits from OpenSSL as hexadecimal digits.
auto openContext(RequestContextTable &table, const RequestContext &context) -> std::string;

/// Removes a context; calls that show its handle from now on are refused.
void closeContext(RequestContextTable &table, const std::string &handle);

/// Returns the context of a handle; null if the request is not running here or its deadline has passed.
auto findContext(RequestContextTable &table, std::string_view handle, TimePoint now) -> RequestContext *;

} // namespace snipestream
