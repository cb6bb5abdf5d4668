#pragma once

#include "quota/entry.h"
#include "quota/holder.h"

#include "core/hash.h"
#include "core/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace snipestream::testing
{

/// Simulates the entry and holder sides of many nodes in virtual time, with a network that can delay, duplicate and
/// lose messages. There is no lease protocol: the test decides which node holds the lease of a domain.
class QuotaWorld
{
public:
    struct Machine {
        NodeName name;
        DomainName domain;
        size_t domainIndex = 0;
        EntryTable entry;
        HolderTable holder;
        uint64_t incarnation = 0;
        bool down = false;
        Duration pausedUntil{};
        Duration slowUntil{};
        Duration inboundCutUntil{};
        Duration outboundCutUntil{};
        std::map<TeamName, TeamQuota> rules;
        std::vector<DomainWeights> weights;
        std::vector<QuotaRequest> requests;
        std::vector<QuotaResponse> holderResponses;
        std::vector<QuotaResponse> entryResponses;
        std::vector<WeightsRequest> weightsRequests;
        std::vector<WeightsAck> weightsAcks;
        bool hasInput = false;
    };
    struct Lease {
        size_t node = 0;
        Duration validFrom{};
        bool valid = false;
    };
    using DecisionHandler = std::function<void(const TeamName &team, const TokenDecision &decision)>;
    /// Request that has spent a token and will be refused without a run.
    struct RefusedRequest {
        size_t node = 0;
        uint64_t incarnation = 0;
        TeamName team;
        std::vector<TokenPart> token;
    };

    QuotaWorld(uint64_t seed, size_t domains, size_t nodes, const QuotaParams &params)
        : params(params)
        , random(seed)
        , machines(nodes)
        , leases(domains)
        , domainCutUntil(domains)
    {
        for (size_t i = 0; i < nodes; ++i) {
            machines[i].name = NodeName("n" + std::to_string(100 + i));
            machines[i].domainIndex = i % domains;
            machines[i].domain = DomainName("d" + std::to_string(i % domains));
            restart(i);
        }
        for (size_t d = 0; d < domains; ++d) {
            leases[d] = Lease{d, now, true};
        }
    }

    void restart(size_t index)
    {
        auto &machine = machines[index];
        ++machine.incarnation;
        machine.entry = makeEntryTable(machine.name, machine.incarnation);
        machine.holder = makeHolderTable(machine.name, machine.domain, machine.incarnation);
        machine.down = false;
    }

    /// Moves the lease of a domain to another holder, which is valid immediately.
    void moveLease(size_t domain, size_t node)
    {
        leases[domain] = Lease{node, now, true};
    }

    void setRules(const std::map<TeamName, TeamQuota> &rules)
    {
        for (auto &machine : machines) {
            machine.rules = rules;
        }
    }

    void setWeights(const DomainWeights &weights)
    {
        for (auto &machine : machines) {
            machine.weights.push_back(weights);
        }
    }

    [[nodiscard]] auto localTime() const -> TimePoint
    {
        return TimePoint(now);
    }

    /// Submits a request at a node. The decision is passed to `onDecision`, either during this call or later.
    void submit(size_t index, const TeamName &team)
    {
        auto &machine = machines[index];
        if (machine.down || machine.pausedUntil > now) {
            return;
        }
        const uint64_t tokenRequestId = ++lastTokenRequestId;
        teamOfRequest[tokenRequestId] = team;
        finishRequest(index, requestToken(machine.entry, params, team, tokenRequestId, localTime(), localTime() + seconds(1)));
        machine.hasInput = true;
    }

    void run(Duration length)
    {
        const Duration end = now + length;
        while (now < end) {
            now += kStep;
            step();
        }
    }

    static constexpr Duration kStep = milliseconds(1);
    QuotaParams params;
    Random random;
    Duration now = seconds(1000);
    std::vector<Machine> machines;
    std::vector<Lease> leases;
    /// Until this time the domain exchanges no messages with the other domains.
    std::vector<Duration> domainCutUntil;
    Duration duplicateUntil{};
    /// Until this time, requests are refused after they have spent a token, up to `maxRefusalDelay` later.
    Duration refuseUntil{};
    Duration maxRefusalDelay{};
    Duration fixedDelay = microseconds(500);
    /// If false, holders know no holders of other domains and entry nodes no holders but that of their own domain.
    bool loansEnabled = true;
    DecisionHandler onDecision;
    uint64_t messageCount = 0;
    uint64_t lastTokenRequestId = 0;
    std::map<uint64_t, TeamName> teamOfRequest;

private:
    using Payload = std::variant<QuotaRequest, QuotaResponse, WeightsRequest, WeightsAck>;
    struct Packet {
        size_t to = 0;
        bool toEntry = false;
        Payload payload;
    };

    void finishRequest(size_t index, const TokenDecision &decision)
    {
        if (decision.state == TokenState::Queued) {
            return;
        }
        const auto found = teamOfRequest.find(decision.tokenRequestId);
        const bool isRefused = decision.state == TokenState::Admitted && refuseUntil > now;
        if (isRefused) {
            const Duration delay = Duration(drawBelow(random, static_cast<uint64_t>(maxRefusalDelay.count()) + 1));
            refused_.emplace(now + delay, RefusedRequest{index, machines[index].incarnation, found->second, decision.token});
        } else if (onDecision) {
            onDecision(found->second, decision);
        }
        teamOfRequest.erase(found);
    }

    /// Gives back the tokens of the requests that are refused now. A process that was started again knows nothing of them.
    void returnTokens()
    {
        while (!refused_.empty() && refused_.begin()->first <= now) {
            const auto item = refused_.extract(refused_.begin());
            const RefusedRequest &request = item.mapped();
            auto &machine = machines[request.node];
            if (machine.down || machine.incarnation != request.incarnation) {
                continue;
            }
            if (machine.pausedUntil > now) {
                refused_.emplace(machine.pausedUntil, request);
                continue;
            }
            returnToken(machine.entry, params, request.team, request.token, localTime());
        }
    }

    void send(size_t from, const NodeName &target, bool toEntry, const Payload &payload)
    {
        ++messageCount;
        const auto to = static_cast<size_t>(std::stoi(target.value.substr(1))) - 100;
        const auto &a = machines[from];
        const auto &b = machines[to];
        const bool cutDomain = a.domainIndex != b.domainIndex && (domainCutUntil[a.domainIndex] > now || domainCutUntil[b.domainIndex] > now);
        if (a.outboundCutUntil > now || b.inboundCutUntil > now || cutDomain) {
            return;
        }
        Duration delay = fixedDelay + (a.domainIndex == b.domainIndex ? milliseconds(0) : milliseconds(1));
        if (a.slowUntil > now) {
            delay += milliseconds(drawBelow(random, 1500));
        }
        packets_.emplace(now + delay, Packet{to, toEntry, payload});
        if (duplicateUntil > now) {
            packets_.emplace(now + delay + milliseconds(drawBelow(random, 2500)), Packet{to, toEntry, payload});
        }
    }

    void deliver(const Packet &packet)
    {
        auto &machine = machines[packet.to];
        machine.hasInput = true;
        if (const auto *request = std::get_if<QuotaRequest>(&packet.payload)) {
            machine.requests.push_back(*request);
        } else if (const auto *response = std::get_if<QuotaResponse>(&packet.payload)) {
            (packet.toEntry ? machine.entryResponses : machine.holderResponses).push_back(*response);
        } else if (const auto *weights = std::get_if<WeightsRequest>(&packet.payload)) {
            machine.weightsRequests.push_back(*weights);
        } else {
            machine.weightsAcks.push_back(std::get<WeightsAck>(packet.payload));
        }
    }

    void step()
    {
        returnTokens();
        while (!packets_.empty() && packets_.begin()->first <= now) {
            const auto packet = packets_.extract(packets_.begin());
            const auto &machine = machines[packet.mapped().to];
            if (machine.pausedUntil > now) {
                packets_.emplace(machine.pausedUntil, packet.mapped());
            } else if (!machine.down) {
                deliver(packet.mapped());
            }
        }
        for (size_t i = 0; i < machines.size(); ++i) {
            auto &machine = machines[i];
            const bool due = machine.hasInput || (now / kStep) % 5 == 0;
            if (machine.down || machine.pausedUntil > now || !due) {
                continue;
            }
            machine.hasInput = false;
            tickHolderSide(i);
            tickEntrySide(i);
        }
    }

    void tickHolderSide(size_t index)
    {
        auto &machine = machines[index];
        HolderInputs inputs;
        std::map<DomainName, NodeName> peers;
        for (size_t d = 0; d < leases.size(); ++d) {
            const auto &lease = leases[d];
            if (d != machine.domainIndex && loansEnabled) {
                peers[DomainName("d" + std::to_string(d))] = machines[lease.node].name;
            }
        }
        for (const auto &[team, rule] : machine.rules) {
            const uint32_t range = rangeOf(team.value);
            const auto &lease = leases[machine.domainIndex];
            if (lease.node == index && lease.valid) {
                inputs.validRanges[range] = TimePoint(lease.validFrom);
            }
            inputs.peers[range] = peers;
        }
        inputs.rules = machine.rules;
        inputs.weights = machine.weights;
        inputs.requests = std::exchange(machine.requests, {});
        inputs.responses = std::exchange(machine.holderResponses, {});
        inputs.weightsRequests = std::exchange(machine.weightsRequests, {});
        inputs.weightsAcks = std::exchange(machine.weightsAcks, {});
        for (const auto &request : inputs.requests) {
            entryRequests_[{request.from, request.number}] = request.mayBorrow;
        }
        auto out = tickHolder(machine.holder, params, localTime(), inputs);
        for (const auto &[to, response] : out.responses) {
            send(index, to, entryRequests_[{to, response.requestNumber}], response);
        }
        for (const auto &[to, request] : out.peerRequests) {
            send(index, to, false, request);
        }
        for (const auto &[to, request] : out.weightsRequests) {
            send(index, to, false, request);
        }
        for (const auto &[to, ack] : out.weightsAcks) {
            send(index, to, false, ack);
        }
    }

    void tickEntrySide(size_t index)
    {
        auto &machine = machines[index];
        EntryInputs inputs;
        inputs.responses = std::exchange(machine.entryResponses, {});
        inputs.holders = [this, &machine](uint32_t) {
            std::vector<NodeName> holders{machines[leases[machine.domainIndex].node].name};
            for (size_t d = 0; d < leases.size() && loansEnabled; ++d) {
                if (d != machine.domainIndex) {
                    holders.push_back(machines[leases[d].node].name);
                }
            }
            return holders;
        };
        auto out = tickEntry(machine.entry, params, localTime(), inputs);
        for (const auto &decision : out.decisions) {
            finishRequest(index, decision);
        }
        for (const auto &[to, request] : out.requests) {
            send(index, to, false, request);
        }
    }

    std::multimap<Duration, Packet> packets_;
    std::multimap<Duration, RefusedRequest> refused_;
    /// Whether a request came from an entry side; its response is delivered to the same side.
    std::map<std::pair<NodeName, uint64_t>, bool> entryRequests_;
};

} // namespace snipestream::testing
