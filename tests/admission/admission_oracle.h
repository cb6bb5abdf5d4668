#pragma once

#include "admission/admission.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

namespace snipestream::testing
{

/// The functions under test, so that a test double can replace any of them.
struct AdmissionApi {
    std::function<void(AdmissionTable &, int slots, TimePoint)> announce;
    std::function<AdmissionResult(AdmissionTable &, const AdmissionRequest &, TimePoint)> offer;
    std::function<std::vector<DequeueResult>(AdmissionTable &, AdmissionId, RunOutcome, TimePoint)> complete;
    std::function<std::vector<DequeueResult>(AdmissionTable &, AdmissionId, TimePoint)> cancel;
    std::function<std::vector<DequeueResult>(AdmissionTable &, TimePoint)> tick;
    std::function<void(AdmissionTable &, TimePoint)> drain;
};

/// Returns the real admission functions, bound to one target.
auto realAdmission() -> AdmissionApi;

/// One step of a fuzzing run. `kind` selects the action, the other fields its parameters.
struct AdmissionCommand {
    int kind = 0;
    int a = 0;
    int b = 0;
    int c = 0;
};

inline auto operator<<(std::ostream &out, const AdmissionCommand &command) -> std::ostream &
{
    return out << "{" << command.kind << " " << command.a << " " << command.b << " " << command.c << "}";
}

/// Runs the commands against the functions and returns the first violated rule, or an empty string. The rules are
/// checked only with sets and counts of admission ids.
auto runAdmission(const AdmissionApi &api, const std::vector<AdmissionCommand> &commands) -> std::string;

} // namespace snipestream::testing

namespace rc
{

template<>
struct Arbitrary<snipestream::testing::AdmissionCommand> {
    static auto arbitrary() -> Gen<snipestream::testing::AdmissionCommand>
    {
        return gen::construct<snipestream::testing::AdmissionCommand>(gen::inRange(0, 20), gen::inRange(0, 1000), gen::inRange(0, 1000), gen::inRange(0, 1000));
    }
};

} // namespace rc
