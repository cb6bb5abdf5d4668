#include "bench/capacity_measure.h"

#include "core/hash.h"
#include "idempotency/claim_table.h"

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

/// The owner of one range of claims, with a log that acknowledges every append at once.
struct ClaimWorld {
    ClaimTable table = makeClaimTable(ClaimSettings{}, DomainName("domain-0"), 0);
    OwnerView view;
    TimePoint now = TimePoint(seconds(1000));
    std::vector<ClaimsRecord> log;
    uint64_t appends = 0;
    uint64_t appendedBytes = 0;

    ClaimWorld()
    {
        view.valid = true;
        view.epoch = 1;
    }

    void handle(const OwnerOutputs &first)
    {
        OwnerOutputs outputs = first;
        while (outputs.append) {
            const ClaimsRecord record = *outputs.append;
            ++appends;
            appendedBytes += toJson(record).size();
            if (table.phase != OwnerPhase::Serving) {
                log.push_back(record);
            }
            outputs = onAppendResult(table, record.epoch, record.sequence, AppendResult::Acknowledged, appends - 1, view, now);
        }
    }

    void advanceTime(Duration length)
    {
        now += length;
        const OwnerOutputs outputs = tickClaims(table, view, 1, now);
        handle(outputs);
        if (outputs.readRequested) {
            LogRead read;
            read.readId = outputs.readId;
            read.records = log;
            read.nextOffset = log.size();
            read.reachedEnd = true;
            handle(onLogRecords(table, read, view, now));
        }
    }

    /// Begins and ends `count` claims and records a response of 200 bytes for each. Virtual time advances by 200 ms after
    /// the claims begin and again after they end.
    void claim(size_t first, size_t count)
    {
        for (size_t i = first; i < first + count; ++i) {
            BeginRequest request;
            request.key = {TeamName("team-" + std::to_string(i % 1000)), "order-" + std::to_string(i)};
            request.fingerprint = i;
            request.attempt = {i + 1, i + 1};
            request.entryNode = NodeName("domain-0-vm-1");
            request.timeLeft = seconds(5);
            beginClaim(table, request, view, now);
        }
        advanceTime(milliseconds(200));
        for (size_t i = first; i < first + count; ++i) {
            Outcome outcome;
            outcome.kind = OutcomeKind::Done;
            outcome.response = RecordedResponse{201, {{"Content-Type", "application/json"}}, std::string(200, 'x')};
            endClaim(table, {TeamName("team-" + std::to_string(i % 1000)), "order-" + std::to_string(i)}, {i + 1, i + 1}, outcome, view, now);
        }
        advanceTime(milliseconds(200));
    }
};

} // namespace

void benchClaims()
{
    printHead("Claim owner of one range",
              {"claims kept", "claim from begin to end", "bytes per claim", "bytes on the log per claim", "claims per append", "idle tick"});
    for (const size_t count : {1000U, 10000U, 100000U}) {
        const double before = allocatedBytes();
        ClaimWorld world;
        for (int i = 0; i < 500 && world.table.phase != OwnerPhase::Serving; ++i) {
            world.advanceTime(milliseconds(20));
        }
        if (world.table.phase != OwnerPhase::Serving) {
            printRow({std::to_string(count), "the owner does not serve"});
            continue;
        }
        constexpr size_t kBatch = 100;
        const uint64_t appendsBefore = world.appends;
        const double fill = microsOnce([&] {
            for (size_t i = 0; i < count; i += kBatch) {
                world.claim(i, kBatch);
            }
        });
        const auto claims = static_cast<double>(count);
        const double bytes = (allocatedBytes() - before) / claims;
        const double idle = microsPerRun([&] {
            world.advanceTime(milliseconds(20));
        });
        printRow({std::to_string(world.table.claims.size()), formatNumber(fill / claims), formatNumber(bytes),
                  formatNumber(static_cast<double>(world.appendedBytes) / claims), formatNumber(claims / static_cast<double>(world.appends - appendsBefore)),
                  formatNumber(idle)});
    }

    printHead("Home domains of all 32 ranges, every 20 ms on every node", {"domains", "time"});
    for (const size_t count : {2U, 6U, 12U}) {
        std::vector<DomainName> domains;
        for (size_t i = 0; i < count; ++i) {
            domains.emplace_back("domain-" + std::to_string(i));
        }
        const double time = microsPerRun([&] {
            for (uint32_t range = 0; range < kRangeCount; ++range) {
                homeDomainOf(range, domains);
            }
        });
        printRow({std::to_string(count), formatNumber(time)});
    }
}

} // namespace snipestream::bench
