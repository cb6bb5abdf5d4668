#include "tests/admission/admission_oracle.h"

#include <algorithm>
#include <set>

namespace snipestream::testing
{

namespace
{

const TargetName kTarget("t");

/// What the oracle knows of a request.
struct Seen {
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
            // Kind 17 is a pause of the process: no tick for a long time.
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
        Offer result = api_.offer(table_, request, now_);
        if (result.verdict != AdmissionVerdict::Refused && seen_.count(result.ticket) != 0) {
            violate("a ticket was given twice");
        }
        if (result.verdict != AdmissionVerdict::Refused && draining_) {
            violate("a draining target took a new request");
        }
        if (result.verdict == AdmissionVerdict::Refused) {
            if (result.refusal.run != RunState::NotRun) {
                violate("a refused offer does not say not-run");
            }
            apply(result.decisions);
            return;
        }
        seen_[result.ticket] = Seen{request.priority, request.deadline};
        waiting_.insert(result.ticket);
        if (result.verdict == AdmissionVerdict::Run) {
            // The order of starts within one call is not reported; all happen at the same moment.
            result.decisions.push_back({result.ticket, true, {}});
            std::stable_sort(result.decisions.begin(), result.decisions.end(), [this](const auto &a, const auto &b) {
                return seen_[a.ticket].priority < seen_[b.ticket].priority;
            });
        }
        apply(result.decisions);
        if (result.verdict == AdmissionVerdict::Queued && static_cast<int>(waiting_.size()) > std::max(16, 2 * slots_)
            && static_cast<int>(waiting_.size()) > mostWaiting_) {
            violate("the queue exceeds its bound");
        }
        mostWaiting_ = static_cast<int>(waiting_.size());
    }

    void completeOne(const AdmissionCommand &command)
    {
        if (running_.empty()) {
            return;
        }
        const Ticket ticket = *std::next(running_.begin(), command.a % static_cast<int>(running_.size()));
        running_.erase(ticket);
        ended_.insert(ticket);
        apply(api_.complete(table_, ticket, static_cast<RunOutcome>(command.b % 4), now_));
    }

    void cancelOne(const AdmissionCommand &command)
    {
        std::vector<Ticket> open(running_.begin(), running_.end());
        open.insert(open.end(), waiting_.begin(), waiting_.end());
        if (open.empty()) {
            return;
        }
        const Ticket ticket = open[static_cast<size_t>(command.a) % open.size()];
        running_.erase(ticket);
        waiting_.erase(ticket);
        ended_.insert(ticket);
        apply(api_.cancel(table_, ticket, now_));
    }

    void advance(Duration step)
    {
        now_ += step;
        apply(api_.tick(table_, now_));
        if (running_.empty() && !waiting_.empty()) {
            violate("requests wait while nothing runs");
        }
    }

    void apply(const std::vector<Decision> &decisions)
    {
        for (const auto &decision : decisions) {
            if (decision.start) {
                startOne(decision.ticket);
                continue;
            }
            if (waiting_.erase(decision.ticket) == 0) {
                violate("a request that does not wait was refused");
            }
            if (decision.refusal.run != RunState::NotRun) {
                violate("a waiting request was refused without not-run");
            }
            ended_.insert(decision.ticket);
        }
        mostWaiting_ = std::min(mostWaiting_, static_cast<int>(waiting_.size()));
    }

    void startOne(Ticket ticket)
    {
        if (waiting_.erase(ticket) == 0) {
            violate("a request that does not wait was started");
            return;
        }
        const Seen &request = seen_[ticket];
        for (const Ticket other : waiting_) {
            if (seen_[other].priority < request.priority) {
                violate("a request started while one of higher priority waits");
            }
        }
        if (request.deadline <= now_) {
            violate("a request started after its deadline");
        }
        if (draining_ && now_ - drainedAt_ >= seconds(3)) {
            violate("a request started more than 3 s after the drain");
        }
        running_.insert(ticket);
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
        if (violation_.empty() && ended_.size() != seen_.size()) {
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
    int mostWaiting_ = 0;
    std::map<Ticket, Seen> seen_;
    std::set<Ticket> waiting_;
    std::set<Ticket> running_;
    std::set<Ticket> ended_;
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
