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

/// Exact token bucket.
struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint at;
};

/// Takes a token if more than the reserved part of the burst is left.
auto takeToken(Bucket &bucket, TimePoint now, double reserve = 0) -> bool;

/// A request of a caller over all its attempts.
struct Logical {
    size_t route = 0;
    size_t team = 0;
    TimePoint arrivedAt;
    bool completed = false;
    int attempts = 0;
};

/// One attempt of a caller, with everything that runs for it.
struct Root {
    std::shared_ptr<Logical> logical;
    RequestId id;
    TimePoint deadline;
    /// The attempt began while the trigger lasted.
    bool counts = false;
    bool over = false;
    /// A target has begun to work for it.
    bool hasRun = false;
    bool charged = false;
    /// Runs and waits at targets, for cancellation.
    std::map<std::pair<size_t, AdmissionId>, bool> active;
};

using RootPtr = std::shared_ptr<Root>;
/// Reports the end of a call: success, or the reason of the failure.
using Done = std::function<void(bool ok, std::optional<RefusalReason> reason)>;

/// A target with its node.
struct WorldNode {
    size_t service = 0;
    EndpointId id;
    AdmissionTable admission;
    EndpointTable endpoints;
    RetryRatio ratio;
    std::map<AdmissionId, std::function<void()>> starts;
    std::map<AdmissionId, std::function<void(const Refusal &)>> refusals;
    /// Used by the policies without admission.
    int running = 0;
    std::deque<std::function<void()>> queue;
    std::vector<Bucket> buckets;
};

/// Attempts of one team while the trigger lasted.
struct TeamCount {
    /// Attempts that an exact token bucket allows.
    double allowed = 0;
    double completed = 0;
    /// Completed or timed out, but not refused.
    double accepted = 0;
};

/// Events in virtual time, nodes and callers of one run.
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
        RootPtr root;
        size_t hop = 0;
        std::shared_ptr<AttemptBudget> budget;
        std::vector<EndpointId> tried;
        int number = 1;
        Done done;
    };
    using CallPtr = std::shared_ptr<Call>;

    void after(Duration delay, std::function<void()> action);
    [[nodiscard]] auto inTrigger() const -> bool;
    auto usesSnipestream() const -> bool;
    auto drawServiceTime(size_t service) -> Duration;

    void buildNodes();
    void scheduleArrival(size_t team);
    void arrive(size_t team);
    void attempt(const std::shared_ptr<Logical> &logical);
    void endAttempt(const RootPtr &root, bool ok, bool refused);

    void dispatch(const CallPtr &call);
    void offerTo(size_t node, const CallPtr &call, int share);
    void apply(size_t node, const std::vector<DequeueResult> &decisions);
    void runAt(size_t node, AdmissionId ticket, const CallPtr &call, int share);
    void answer(size_t node, const CallPtr &call, bool ok, std::optional<RefusalReason> reason);
    void tickNodes();

    void dispatchPlain(const CallPtr &call);
    void arrivePlain(size_t node, const CallPtr &call, const Done &done);
    void freePlain(size_t node);

    auto result() const -> PolicyResult;

    const Deployment &deployment_;
    const Scenario &scenario_;
    Policy policy_;
    Random random_;
    TimePoint now_{seconds(1000)};
    TimePoint triggerAt_;
    TimePoint triggerEnd_;
    TimePoint end_;
    uint64_t serial_ = 0;
    std::priority_queue<Event> events_;
    std::vector<WorldNode> nodes_;
    std::vector<Bucket> teamRates_;
    std::vector<Bucket> quota_;
    std::vector<TeamCount> counts_;
    std::vector<std::shared_ptr<Logical>> logicals_;
};

} // namespace snipestream::bench
