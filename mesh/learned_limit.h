#pragma once

#include "core/time.h"
#include "mesh/call_pattern.h"

#include <cstddef>
#include <unordered_map>

namespace snipestream
{

/// Speed of the machine that a target runs on, as the target reports it with each response: how long work takes at the moment, where 1
/// is as usual. Machines are shared, so the figure changes many times a second.
struct ReportedPace {
    /// Mean over the latest responses; 0 if the target does not report its pace.
    double mean = 0;
    TimePoint reportedAt;
};

/// Adds the figure of a response. Figures that are not positive are ignored.
void observePace(ReportedPace &pace, double reported, TimePoint now);

/// Returns the pace at `now`: the mean, or 1 if it is old; 0 if the target does not report it.
auto paceAt(const ReportedPace &pace, TimePoint now) -> double;

/// Concurrency that a target takes well, learned by trying a little more and a little less while requests wait. Some targets slow down
/// long before all of their slots are busy; others do not and can use all of them.
struct LearnedLimit {
    /// The range from half of the slots to all of them is divided into levels of a twentieth.
    static constexpr int kLevels = 11;

    /// Usual duration of one kind of work, a mean over several hundred runs, so that a mix of kinds can be compared.
    struct UsualDuration {
        double inSeconds = 0;
        int runs = 0;
    };

    /// Durations of work at one level, relative to the usual ones of its kinds.
    struct Sample {
        double runs = 0;
        double mean = 0;
        /// Sum of the squared differences from the mean.
        double squares = 0;
    };

    int level = kLevels - 2;
    /// Level that is tried, or `level`.
    int tried = kLevels - 2;
    /// Index of the next step to try.
    size_t nextStep = 0;
    std::unordered_map<WorkKind, UsualDuration> usual;
    Sample current;
    Sample trial;
    /// When the concurrency changed last; runs from before say nothing about the new one.
    TimePoint changedAt;
    TimePoint trialEndsAt;
    TimePoint nextTrialAt;
};

/// A run of a target: its kind, how long it took at the usual pace of the machine, and when and as one of how many it started.
struct MeasuredRun {
    WorkKind kind = 0;
    double inSeconds = 0;
    TimePoint startedAt;
    int concurrency = 0;
};

/// Adds a run of a kind that makes no calls, since the duration of others depends on other targets.
void observeRun(LearnedLimit &learned, int slots, const MeasuredRun &run);

/// Ends or starts a trial if it is time, and returns the fraction of the slots that may be used now. `isSaturated` says that requests
/// wait; otherwise a trial would show nothing.
auto learnedFraction(LearnedLimit &learned, bool isSaturated, TimePoint now) -> double;

} // namespace snipestream
