#include "mesh/learned_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace snipestream
{

namespace
{

constexpr double kLowestFraction = 0.5;
constexpr double kLevelWidth = 0.05;
/// Time constant of the mean pace. Other users of the machine come and go within a second.
constexpr double kPaceSeconds = 0.15;
/// Age from which a reported pace says nothing any more.
constexpr Duration kPaceValidity = seconds(1);
/// A single run counts at most this much, so that a few long ones do not decide.
constexpr double kMaxRelativeDuration = 4;
/// Number of runs from which a trial is judged, and the longest time to wait for them.
constexpr double kMinRuns = 100;
constexpr double kUsualWeight = 0.002;
constexpr Duration kMinTrialTime = milliseconds(250);
constexpr Duration kMaxTrialTime = seconds(1);
/// Pause after a trial that has shown no gain. The steps change the concurrency by 15 percent on the mean, for a quarter of a second,
/// so trials concern less than one request in 40.
constexpr Duration kTrialInterval = seconds(4);
/// Steps in levels that are tried in turn. The long ones find a target that slows down far below the level in force, where a short one
/// would show no gain.
constexpr std::array<int, 5> kSteps = {1, -1, -2, -4, -7};
/// Number of runs after which older ones lose weight.
constexpr double kMaxRuns = 2000;
/// A trial must show a gain by this many standard errors.
constexpr double kMinSignificance = 1;

auto fractionOf(int level) -> double
{
    return kLowestFraction + kLevelWidth * level;
}

void add(LearnedLimit::Sample &sample, double duration)
{
    sample.runs += 1;
    const double difference = duration - sample.mean;
    sample.mean += difference / sample.runs;
    sample.squares += difference * (duration - sample.mean);
    if (sample.runs > kMaxRuns) {
        sample.runs /= 2;
        sample.squares /= 2;
    }
}

/// Returns the squared standard error of the mean, relative to the mean.
auto relativeVariance(const LearnedLimit::Sample &sample) -> double
{
    return sample.squares / (sample.runs * sample.runs * sample.mean * sample.mean);
}

/// Returns whether the level that is tried gets more work done than the one in force.
auto showsGain(const LearnedLimit &learned)
{
    if (learned.current.runs < kMinRuns || learned.trial.runs < kMinRuns) {
        return false;
    }
    const double before = fractionOf(learned.level) / learned.current.mean;
    const double tried = fractionOf(learned.tried) / learned.trial.mean;
    const double error = std::sqrt(relativeVariance(learned.current) + relativeVariance(learned.trial));
    return tried > before * (1 + kMinSignificance * error);
}

void endTrial(LearnedLimit &learned, TimePoint now)
{
    const bool isGain = showsGain(learned);
    if (isGain) {
        learned.level = learned.tried;
        learned.current = learned.trial;
    } else {
        learned.nextStep = (learned.nextStep + 1) % kSteps.size();
    }
    learned.tried = learned.level;
    learned.trial = {};
    learned.changedAt = now;
    // A gain is followed at once by the same step.
    learned.nextTrialAt = isGain ? now : now + kTrialInterval;
}

void startTrial(LearnedLimit &learned, TimePoint now)
{
    const auto isPossible = [&learned](int step) {
        return learned.level + step >= 0 && learned.level + step < LearnedLimit::kLevels;
    };
    while (!isPossible(kSteps[learned.nextStep])) {
        learned.nextStep = (learned.nextStep + 1) % kSteps.size();
    }
    learned.tried = learned.level + kSteps[learned.nextStep];
    learned.trial = {};
    learned.changedAt = now;
    learned.trialEndsAt = now + kMaxTrialTime;
    learned.nextTrialAt = now + kMinTrialTime;
}

} // namespace

void observePace(ReportedPace &pace, double reported, TimePoint now)
{
    if (!(reported > 0)) {
        return;
    }
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - pace.reportedAt).count());
    const double weight = pace.mean == 0 ? 1 : 1 - std::exp(-std::max(elapsed, 0.001) / kPaceSeconds);
    pace.mean += (reported - pace.mean) * weight;
    pace.reportedAt = now;
}

auto paceAt(const ReportedPace &pace, TimePoint now) -> double
{
    if (pace.mean == 0) {
        return 0;
    }
    return now - pace.reportedAt < kPaceValidity ? pace.mean : 1;
}

void observeRun(LearnedLimit &learned, int slots, const MeasuredRun &run)
{
    if (!(run.inSeconds > 0)) {
        return;
    }
    auto &usual = learned.usual[run.kind];
    ++usual.runs;
    usual.inSeconds += (run.inSeconds - usual.inSeconds) * std::max(kUsualWeight, 1.0 / usual.runs);
    // Only runs at full concurrency show how the target takes it.
    const double fraction = static_cast<double>(run.concurrency) / std::max(slots, 1);
    if (fraction <= fractionOf(learned.tried) - kLevelWidth || run.startedAt < learned.changedAt) {
        return;
    }
    add(learned.tried == learned.level ? learned.current : learned.trial, std::min(run.inSeconds / usual.inSeconds, kMaxRelativeDuration));
}

auto learnedFraction(LearnedLimit &learned, bool isSaturated, TimePoint now) -> double
{
    const bool isTrial = learned.tried != learned.level;
    const bool isDecided = isTrial && now >= learned.nextTrialAt && learned.trial.runs >= kMinRuns;
    if (isTrial && (isDecided || now >= learned.trialEndsAt)) {
        endTrial(learned, now);
    }
    if (learned.tried == learned.level && isSaturated && now >= learned.nextTrialAt && learned.current.runs >= kMinRuns) {
        startTrial(learned, now);
    }
    return fractionOf(learned.tried);
}

} // namespace snipestream
