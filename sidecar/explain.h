#pragma once

#include "sidecar/state.h"

#include <string_view>

namespace snipestream
{

/// Explains what would happen now to a request with this authority and path: its route, for each service of the route how much is
/// shed and every target with the terms of the choice, and how old all of it is. `team` may be empty. Changes nothing and shows no
/// keys. Returns a JSON document, with status 404 if there is no route and 503 if the node would refuse every request.
auto explainRequest(const SidecarState &state, std::string_view authority, std::string_view path, std::string_view team) -> ResponseMessage;

/// Explains the request that the query of a target such as "/explain?host=a.example&path=/stock/1&team=studio" describes. Returns an
/// empty value if the target is another one.
auto explainTarget(const SidecarState &state, std::string_view target) -> std::optional<ResponseMessage>;

} // namespace snipestream
