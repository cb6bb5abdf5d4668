#include "bench/capacity_measure.h"

#include "core/hash.h"
#include "lease/lease.h"
#include "lease/witness.h"

#include <map>

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

const DomainName kDomain("domain-0");

auto nodeName(size_t number) -> NodeName
{
    return NodeName("domain-0-vm-" + std::to_string(number));
}

/// A failure domain in which node 0 holds the leases of the first ranges and node 1 those of the others.
struct LeaseWorld {
    TimePoint now = TimePoint(seconds(1000));
    LeaseTable leases;
    LeaseNode node;
    std::map<NodeName, WitnessTable> witnesses;
    LeaseInputs inputs;
    uint64_t pings = 0;

    LeaseWorld(size_t nodes, uint32_t held, bool hasOtherHolders)
        : node(makeLeaseNode(nodeName(0), kDomain, 1, now))
    {
        inputs.canAppend = true;
        for (size_t i = 0; i < nodes; ++i) {
            inputs.live.emplace(nodeName(i), 1);
        }
        for (uint32_t range = 0; range < (hasOtherHolders ? kRangeCount : held); ++range) {
            LeaseRecord record;
            record.key = {kDomain, range};
            record.epoch = 1;
            record.holder = nodeName(range < held ? 0 : 1);
            record.incarnation = 1;
            record.witnesses = chooseWitnesses(record.key, record.holder, inputs.live, {});
            applyLeaseRecord(leases, record);
        }
    }

    void advanceTime(Duration length)
    {
        now += length;
        for (const auto &[to, ping] : tickLease(node, leases, now, inputs).pings) {
            ++pings;
            WitnessTable &witness = witnesses[to];
            if (!witness.logRead) {
                witness.self = to;
                witness.incarnation = 1;
                witness.startedAt = TimePoint(seconds(1));
                markLogRead(witness, leases);
            }
            applyPong(node.holder, node.params, answerPing(witness, leases, node.params, ping, now), now);
        }
    }
};

} // namespace

void benchLeases()
{
    printHead("Lease tick, every 100 ms",
              {"nodes of the domain", "ranges held", "tick and its share of the pings, answers included", "pings/s", "copy of the live nodes"});
    for (const size_t nodes : {100U, 417U, 1667U}) {
        for (const uint32_t held : {1U, 8U, 32U}) {
            LeaseWorld world(nodes, held, true);
            for (int i = 0; i < 100; ++i) {
                world.advanceTime(milliseconds(100));
            }
            const uint64_t before = world.pings;
            for (int i = 0; i < 100; ++i) {
                world.advanceTime(milliseconds(100));
            }
            const double pings = static_cast<double>(world.pings - before) / 10;
            const double tick = microsPerRun([&] {
                world.advanceTime(milliseconds(100));
            });
            const double copy = microsPerRun([&] {
                LiveNodes live;
                for (const auto &[name, incarnation] : world.inputs.live) {
                    live.emplace(name, incarnation);
                }
            });
            printRow({std::to_string(nodes), std::to_string(held), formatNumber(tick), formatNumber(pings), formatNumber(copy)});
        }
    }

    printHead("Lease tick of a node that holds nothing",
              {"nodes of the domain", "all ranges held by others", "no range held, before the takeover", "takeover is due"});
    for (const size_t nodes : {100U, 417U, 1667U}) {
        LeaseWorld served(nodes, 0, true);
        const double quiet = microsPerRun([&] {
            served.advanceTime(milliseconds(100));
        });
        LeaseWorld vacant(nodes, 0, false);
        vacant.advanceTime(milliseconds(100));
        vacant.advanceTime(milliseconds(100));
        const double waiting = microsOnce([&] {
            vacant.advanceTime(milliseconds(100));
        });
        vacant.advanceTime(milliseconds(2750));
        const double due = microsOnce([&] {
            vacant.advanceTime(milliseconds(100));
        });
        printRow({std::to_string(nodes), formatNumber(quiet), formatNumber(waiting), formatNumber(due)});
    }
}

} // namespace snipestream::bench
