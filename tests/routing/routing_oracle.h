#pragma once

#include "routing/directory.h"
#include "routing/endpoint_table.h"
#include "routing/local_targets.h"
#include "routing/selection.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <rapidcheck.h>

namespace snipestream::testing
{

/// The functions under test, so that a test double can replace any of them.
struct RoutingApi {
    std::function<AnnounceEffect(LocalTargetTable &, const TargetAnnouncement &, uint64_t, TimePoint)> announce;
    std::function<void(DirectoryTable &, const AnnounceMessage &, TimePoint)> applyAnnouncement;
    std::function<void(EndpointTable &, const UpdateMessage &, TimePoint)> applyUpdate;
    std::function<bool(EndpointTable &, const ServiceName &, const EndpointId &, CallEvidence, TimePoint)> endCall;
    std::function<std::optional<Selection>(const EndpointTable &, const ServiceName &, const std::vector<EndpointId> &, Random &, TimePoint)> choose;
};

/// Returns the real routing functions.
auto realRouting() -> RoutingApi;

/// One step of a fuzzing run. `kind` selects the action, the other fields its parameters.
struct RoutingCommand {
    int kind = 0;
    int a = 0;
    int b = 0;
};

inline auto operator<<(std::ostream &out, const RoutingCommand &command) -> std::ostream &
{
    return out << "{" << command.kind << " " << command.a << " " << command.b << "}";
}

/// Runs the commands in a fleet of four targets on two nodes, two directory nodes and two callers, whose messages are
/// lost, duplicated and reordered, and returns the first violated rule, or an empty string.
auto runRouting(const RoutingApi &api, const std::vector<RoutingCommand> &commands) -> std::string;

} // namespace snipestream::testing

namespace rc
{

template<>
struct Arbitrary<snipestream::testing::RoutingCommand> {
    static auto arbitrary() -> Gen<snipestream::testing::RoutingCommand>
    {
        return gen::construct<snipestream::testing::RoutingCommand>(gen::inRange(0, 24), gen::inRange(0, 1000), gen::inRange(0, 1000));
    }
};

} // namespace rc
