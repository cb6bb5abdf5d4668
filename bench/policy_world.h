#pragma once

#include "admission/admission.h"
#include "bench/policy_model.h"
#include "retry/retry.h"
#include "routing/selection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace snipestream::bench
{

/// Exact token bucket of one team.
struct TokenBucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint updatedAt;
};

/// Takes a token if at least one is left beyond the reserve, a fraction 0..1 of the burst.
auto takeToken(TokenBucket &bucket, TimePoint now, double reserve = 0) -> bool;

/// A request of a caller with all its attempts.
struct CallerRequest {
    size_t route = 0;
    size_t team = 0;
    TimePoint arrivedAt;
    bool completed = false;
    int attempts = 0;
};

/// One attempt of a caller's request, with every run and queued request that it causes at targets.
struct CallerAttempt {
    std::shared_ptr<CallerRequest> callerRequest;
    RequestId id;
    TimePoint deadline;
    /// The attempt began during the disturbance.
    bool isCounted = false;
    bool isEnded = false;
    /// A target has started to run it.
    bool hasRun = false;
    bool charged = false;
    /// Admissions to cancel when the attempt ends, by node and id; true if running, false if queued.
    std::map<std::pair<size_t, AdmissionId>, bool> active;
};

using AttemptPtr = std::shared_ptr<CallerAttempt>;
/// Called when a call ends; a failed call has a reason if it was refused.
using DoneCallback = std::function<void(bool ok, std::optional<RefusalReason> reason)>;

/// A target with its node.
struct WorldNode {
    size_t service = 0;
    EndpointId id;
    AdmissionTable admission;
    EndpointTable endpoints;
    RetryRatio ratio;
    std::map<AdmissionId, std::function<void()>> startCallbacks;
    std::map<AdmissionId, std::function<void(const Refusal &)>> refusalCallbacks;
    /// The members below are used only by the policies None and Fixed.
    int running = 0;
    std::deque<std::function<void()>> queue;
    std::vector<TokenBucket> buckets;
};

/// Attempts of one team that began during the disturbance.
struct TeamAttemptCount {
    /// Attempts that an exact token bucket allows.
    double allowed = 0;
    double completed = 0;
    /// Completed or timed out, but not refused.
    double accepted = 0;
};

/// Discrete-event simulation of the nodes, targets and callers of one run in virtual time.
class World
{
public:
    World(const Deployment &deployment, const Scenario &scenario, Policy policy, uint64_t seed);
    auto run() -> PolicyResult;

private:
    struct Event {
        TimePoint at;
        uint64_t serial;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return at != other.at ? at > other.at : serial > other.serial;
        }
    };
    struct Call {
        size_t from = 0;
        AttemptPtr attempt;
        size_t hop = 0;
        std::shared_ptr<AttemptBudget> budget;
        std::vector<EndpointId> tried;
        int attemptNumber = 1;
        DoneCallback done;
    };
    using CallPtr = std::shared_ptr<Call>;

    void after(Duration delay, std::function<void()> action);
    [[nodiscard]] auto isDisturbed() const -> bool;
    auto usesSnipestream() const -> bool;
    auto drawServiceTime(size_t service) -> Duration;

    void buildNodes();
    void scheduleArrival(size_t team);
    void arrive(size_t team);
    void startAttempt(const std::shared_ptr<CallerRequest> &callerRequest);
    void endAttempt(const AttemptPtr &attempt, bool ok, bool refused);

    void dispatch(const CallPtr &call);
    void offerTo(size_t node, const CallPtr &call, int share);
    void applyDequeueResults(size_t node, const std::vector<DequeueResult> &results);
    void runAt(size_t node, AdmissionId admissionId, const CallPtr &call, int share);
    void respond(size_t node, const CallPtr &call, bool ok, std::optional<RefusalReason> reason);
    void tickNodes();

    void dispatchBaseline(const CallPtr &call);
    void arriveBaseline(size_t node, const CallPtr &call, const DoneCallback &done);
    void freeBaselineSlot(size_t node);

    auto result() const -> PolicyResult;

    const Deployment &deployment_;
    const Scenario &scenario_;
    Policy policy_;
    Random random_;
    TimePoint now_{seconds(1000)};
    TimePoint disturbanceStart_;
    TimePoint disturbanceEnd_;
    TimePoint end_;
    uint64_t serial_ = 0;
    std::priority_queue<Event> events_;
    std::vector<WorldNode> nodes_;
    std::vector<TokenBucket> teamRates_;
    std::vector<TokenBucket> quota_;
    std::vector<TeamAttemptCount> teamCounts_;
    std::vector<std::shared_ptr<CallerRequest>> callerRequests_;
};

} // namespace snipestream::bench
