#include "tests/admission/admission_oracle.h"

#include <algorithm>
#include <set>

namespace snipestream::testing
{

namespace
{

const TargetName kTarget("t");

/// Properties of an offered request that the rules refer to.
struct ObservedRequest {
    Priority priority = Priority::Normal;
    TimePoint deadline;
};

class Oracle
{
public:
    explicit Oracle(const AdmissionApi &api)
        : api_(api)
    {
        api_.announce(table_, slots_, now_);
    }

    auto run(const std::vector<AdmissionCommand> &commands) -> std::string
    {
        for (const auto &command : commands) {
            step(command);
            if (!violation_.empty()) {
                return violation_;
            }
        }
        finish();
        return violation_;
    }

private:
    void step(const AdmissionCommand &command)
    {
        if (command.kind < 10) {
            offerOne(command);
        } else if (command.kind < 14) {
            completeOne(command);
        } else if (command.kind == 14) {
            cancelOne(command);
        } else if (command.kind < 18) {
            // Kind 17 simulates a pause of the process: a long time without a tick.
            advance(command.kind == 17 ? milliseconds(command.a * 3) : milliseconds(command.a % 40));
        } else if (command.kind == 18 && !draining_) {
            slots_ = 1 + command.a % 8;
            api_.announce(table_, slots_, now_);
        } else if (command.kind == 19 && command.a < 100 && !draining_) {
            draining_ = true;
            drainedAt_ = now_;
            api_.drain(table_, now_);
        }
    }

    void offerOne(const AdmissionCommand &command)
    {
        AdmissionRequest request;
        request.id = RequestId{static_cast<uint64_t>(command.a), static_cast<uint64_t>(command.b)};
        request.team = TeamName("team-" + std::to_string(command.b % 3));
        request.priority = static_cast<Priority>(command.a % 4);
        request.route = RouteName("route-" + std::to_string(command.c % 2));
        request.deadline = now_ + milliseconds(command.c) - milliseconds(20);
        AdmissionResult result = api_.offer(table_, request, now_);
        if (result.decision != AdmissionDecision::Refused && requests_.count(result.admissionId) != 0) {
            violate("an admission id was assigned twice");
        }
        if (result.decision != AdmissionDecision::Refused && draining_) {
            violate("a draining target accepted a new request");
        }
        if (result.decision == AdmissionDecision::Refused) {
            if (result.refusal.run != RunState::NotRun) {
                violate("a refused offer is not marked not-run");
            }
            apply(result.dequeueResults);
            return;
        }
        requests_[result.admissionId] = ObservedRequest{request.priority, request.deadline};
        queued_.insert(result.admissionId);
        if (result.decision == AdmissionDecision::Admitted) {
            // The results do not contain the order of starts within one call; all of them happen at the same time.
            result.dequeueResults.push_back({result.admissionId, true, {}});
            std::stable_sort(result.dequeueResults.begin(), result.dequeueResults.end(), [this](const auto &a, const auto &b) {
                return requests_[a.admissionId].priority < requests_[b.admissionId].priority;
            });
        }
        apply(result.dequeueResults);
        if (result.decision == AdmissionDecision::Queued && static_cast<int>(queued_.size()) > std::max(16, 2 * slots_)
            && static_cast<int>(queued_.size()) > lastQueueLength_) {
            violate("the queue exceeds its maximum length");
        }
        lastQueueLength_ = static_cast<int>(queued_.size());
    }

    void completeOne(const AdmissionCommand &command)
    {
        if (running_.empty()) {
            return;
        }
        const AdmissionId admissionId = *std::next(running_.begin(), command.a % static_cast<int>(running_.size()));
        running_.erase(admissionId);
        ended_.insert(admissionId);
        apply(api_.complete(table_, admissionId, static_cast<RunOutcome>(command.b % 4), now_));
    }

    void cancelOne(const AdmissionCommand &command)
    {
        std::vector<AdmissionId> open(running_.begin(), running_.end());
        open.insert(open.end(), queued_.begin(), queued_.end());
        if (open.empty()) {
            return;
        }
        const AdmissionId admissionId = open[static_cast<size_t>(command.a) % open.size()];
        running_.erase(admissionId);
        queued_.erase(admissionId);
        ended_.insert(admissionId);
        apply(api_.cancel(table_, admissionId, now_));
    }

    void advance(Duration step)
    {
        now_ += step;
        apply(api_.tick(table_, now_));
        if (running_.empty() && !queued_.empty()) {
            violate("requests are queued while nothing runs");
        }
    }

    void apply(const std::vector<DequeueResult> &dequeueResults)
    {
        for (const auto &dequeueResult : dequeueResults) {
            if (dequeueResult.isAdmitted) {
                startOne(dequeueResult.admissionId);
                continue;
            }
            if (queued_.erase(dequeueResult.admissionId) == 0) {
                violate("a request that is not queued was refused");
            }
            if (dequeueResult.refusal.run != RunState::NotRun) {
                violate("a queued request was refused without not-run");
            }
            ended_.insert(dequeueResult.admissionId);
        }
        lastQueueLength_ = std::min(lastQueueLength_, static_cast<int>(queued_.size()));
    }

    void startOne(AdmissionId admissionId)
    {
        if (queued_.erase(admissionId) == 0) {
            violate("a request that is not queued was started");
            return;
        }
        const ObservedRequest &request = requests_[admissionId];
        for (const AdmissionId other : queued_) {
            if (requests_[other].priority < request.priority) {
                violate("a request started while one of higher priority is queued");
            }
        }
        if (request.deadline <= now_) {
            violate("a request started after its deadline");
        }
        if (draining_ && now_ - drainedAt_ >= seconds(3)) {
            violate("a request started more than 3 s after the drain");
        }
        running_.insert(admissionId);
        if (static_cast<int>(running_.size()) > slots_) {
            violate("more requests run than the target has slots");
        }
    }

    void finish()
    {
        for (int i = 0; i < 200 && violation_.empty(); ++i) {
            while (!running_.empty() && violation_.empty()) {
                completeOne({});
            }
            advance(milliseconds(20));
        }
        if (violation_.empty() && ended_.size() != requests_.size()) {
            violate("a request did not end");
        }
        if (violation_.empty() && !isIdle(table_, kTarget)) {
            violate("the table keeps requests that ended");
        }
    }

    void violate(const std::string &rule)
    {
        if (violation_.empty()) {
            violation_ = rule;
        }
    }

    const AdmissionApi &api_;
    AdmissionTable table_;
    int slots_ = 4;
    TimePoint now_{seconds(1000)};
    bool draining_ = false;
    TimePoint drainedAt_;
    int lastQueueLength_ = 0;
    std::map<AdmissionId, ObservedRequest> requests_;
    std::set<AdmissionId> queued_;
    std::set<AdmissionId> running_;
    std::set<AdmissionId> ended_;
    std::string violation_;
};

} // namespace

auto realAdmission() -> AdmissionApi
{
    AdmissionApi api;
    api.announce = [](AdmissionTable &table, int slots, TimePoint now) {
        upsertTarget(table, kTarget, ServiceName("s"), slots, false, now);
    };
    api.offer = [](AdmissionTable &table, const AdmissionRequest &request, TimePoint now) {
        return offer(table, kTarget, request, now);
    };
    api.complete = complete;
    api.cancel = cancel;
    api.tick = tick;
    api.drain = [](AdmissionTable &table, TimePoint now) {
        drainTarget(table, kTarget, now);
    };
    return api;
}

auto runAdmission(const AdmissionApi &api, const std::vector<AdmissionCommand> &commands) -> std::string
{
    return Oracle(api).run(commands);
}

} // namespace snipestream::testing
