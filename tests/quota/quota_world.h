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

/// Entry and holder sides of many nodes under virtual time, with a network that can delay, duplicate and lose messages.
/// Leases are scripted: the test says which node holds a domain.
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
        Duration cutInUntil{};
        Duration cutOutUntil{};
        std::map<TeamName, TeamQuota> rules;
        std::vector<DomainWeights> weights;
        std::vector<QuotaAsk> asks;
        std::vector<QuotaAnswer> holderAnswers;
        std::vector<QuotaAnswer> entryAnswers;
        std::vector<WeightsAsk> weightsAsks;
        std::vector<WeightsAck> weightsAcks;
        bool busy = false;
    };
    struct Lease {
        size_t node = 0;
        Duration validFrom{};
        bool valid = false;
    };
    using Verdict = std::function<void(const TeamName &team, const TokenVerdict &verdict)>;

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

    /// Moves the lease of a domain; the new holder is valid from now on.
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

    /// Submits a request at a node; its verdict comes through `onVerdict`, at once or later.
    void submit(size_t index, const TeamName &team)
    {
        auto &machine = machines[index];
        if (machine.down || machine.pausedUntil > now) {
            return;
        }
        const uint64_t ticket = ++tickets;
        teamOf[ticket] = team;
        finish(requestToken(machine.entry, params, team, ticket, localTime(), localTime() + seconds(1)));
        machine.busy = true;
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
    /// While set, a domain exchanges no messages with the others.
    std::vector<Duration> domainCutUntil;
    Duration duplicateUntil{};
    Duration fixedDelay = microseconds(500);
    bool loans = true;
    Verdict onVerdict;
    uint64_t messages = 0;
    uint64_t tickets = 0;
    std::map<uint64_t, TeamName> teamOf;

private:
    using Payload = std::variant<QuotaAsk, QuotaAnswer, WeightsAsk, WeightsAck>;
    struct Packet {
        size_t to = 0;
        bool toEntry = false;
        Payload payload;
    };

    void finish(const TokenVerdict &verdict)
    {
        if (verdict.state == TokenState::Waiting) {
            return;
        }
        const auto found = teamOf.find(verdict.ticket);
        if (onVerdict) {
            onVerdict(found->second, verdict);
        }
        teamOf.erase(found);
    }

    void send(size_t from, const NodeName &target, bool toEntry, const Payload &payload)
    {
        ++messages;
        const auto to = static_cast<size_t>(std::stoi(target.value.substr(1))) - 100;
        const auto &a = machines[from];
        const auto &b = machines[to];
        const bool cutDomain = a.domainIndex != b.domainIndex && (domainCutUntil[a.domainIndex] > now || domainCutUntil[b.domainIndex] > now);
        if (a.cutOutUntil > now || b.cutInUntil > now || cutDomain) {
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
        machine.busy = true;
        if (const auto *ask = std::get_if<QuotaAsk>(&packet.payload)) {
            machine.asks.push_back(*ask);
        } else if (const auto *answer = std::get_if<QuotaAnswer>(&packet.payload)) {
            (packet.toEntry ? machine.entryAnswers : machine.holderAnswers).push_back(*answer);
        } else if (const auto *weights = std::get_if<WeightsAsk>(&packet.payload)) {
            machine.weightsAsks.push_back(*weights);
        } else {
            machine.weightsAcks.push_back(std::get<WeightsAck>(packet.payload));
        }
    }

    void step()
    {
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
            const bool due = machine.busy || (now / kStep) % 5 == 0;
            if (machine.down || machine.pausedUntil > now || !due) {
                continue;
            }
            machine.busy = false;
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
            if (d != machine.domainIndex && loans) {
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
        inputs.asks = std::exchange(machine.asks, {});
        inputs.answers = std::exchange(machine.holderAnswers, {});
        inputs.weightsAsks = std::exchange(machine.weightsAsks, {});
        inputs.weightsAcks = std::exchange(machine.weightsAcks, {});
        for (const auto &ask : inputs.asks) {
            entryAsks_[{ask.from, ask.number}] = ask.mayBorrow;
        }
        auto out = tickHolder(machine.holder, params, localTime(), inputs);
        for (const auto &[to, answer] : out.answers) {
            send(index, to, entryAsks_[{to, answer.ask}], answer);
        }
        for (const auto &[to, ask] : out.borrows) {
            send(index, to, false, ask);
        }
        for (const auto &[to, ask] : out.weightsAsks) {
            send(index, to, false, ask);
        }
        for (const auto &[to, ack] : out.weightsAcks) {
            send(index, to, false, ack);
        }
    }

    void tickEntrySide(size_t index)
    {
        auto &machine = machines[index];
        EntryInputs inputs;
        inputs.answers = std::exchange(machine.entryAnswers, {});
        inputs.holders = [this, &machine](uint32_t) {
            std::vector<NodeName> holders{machines[leases[machine.domainIndex].node].name};
            for (size_t d = 0; d < leases.size() && loans; ++d) {
                if (d != machine.domainIndex) {
                    holders.push_back(machines[leases[d].node].name);
                }
            }
            return holders;
        };
        auto out = tickEntry(machine.entry, params, localTime(), inputs);
        for (const auto &verdict : out.verdicts) {
            finish(verdict);
        }
        for (const auto &[to, ask] : out.asks) {
            send(index, to, false, ask);
        }
    }

    std::multimap<Duration, Packet> packets_;
    /// Which asks came from entry sides, so that their answers go there.
    std::map<std::pair<NodeName, uint64_t>, bool> entryAsks_;
};

} // namespace snipestream::testing
