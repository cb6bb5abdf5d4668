#include "bench/capacity_measure.h"

#include "core/hash.h"
#include "core/random.h"
#include "quota/entry.h"
#include "quota/holder.h"

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

const NodeName kHolder("holder");
const DomainName kDomain("domain-0");

auto teamName(size_t number) -> TeamName
{
    return TeamName("team-" + std::to_string(number));
}

auto inputsFor(size_t teams) -> HolderInputs
{
    HolderInputs inputs;
    for (uint32_t range = 0; range < kRangeCount; ++range) {
        inputs.validRanges[range] = TimePoint(seconds(1));
    }
    for (size_t i = 0; i < teams; ++i) {
        inputs.rules[teamName(i)] = {1'000'000 * kOneToken, 1'000'000 * kOneToken};
    }
    inputs.weights.push_back({1, {{kDomain, 1}}});
    return inputs;
}

void benchHolder()
{
    printHead("Quota holder of all 32 ranges",
              {"teams", "an ask of an entry node", "the same with CBOR both ways", "tick without asks", "bytes per team in use"});
    for (const size_t teams : {8U, 100U, 1000U, 10000U}) {
        const QuotaParams params;
        HolderInputs inputs = inputsFor(teams);
        TimePoint now = TimePoint(seconds(1000));
        const double before = allocatedBytes();
        HolderTable table = makeHolderTable(kHolder, kDomain, 1);
        uint64_t next = 1;
        const auto makeRequest = [&] {
            QuotaRequest quotaRequest;
            quotaRequest.team = teamName(next % teams);
            quotaRequest.from = NodeName("node-" + std::to_string(next % 1667));
            quotaRequest.number = next++;
            quotaRequest.minAmount = kOneToken;
            quotaRequest.requestedAmount = kOneToken;
            quotaRequest.reports.push_back({0, kOneToken, 0});
            return quotaRequest;
        };
        const auto serve = [&](const QuotaRequest &quotaRequest) {
            now += microseconds(200);
            inputs.requests = {quotaRequest};
            HolderOutputs outputs = tickHolder(table, params, now, inputs);
            inputs.requests.clear();
            return outputs;
        };
        for (size_t i = 0; i < teams; ++i) {
            serve(makeRequest());
        }
        const double bytes = (allocatedBytes() - before) / static_cast<double>(teams);
        const double plain = microsPerRun([&] {
            serve(makeRequest());
        });
        const double whole = microsPerRun([&] {
            const auto encoded = nlohmann::json::to_cbor(toJson(makeRequest()));
            for (const auto &[to, response] : serve(quotaRequestFromJson(nlohmann::json::from_cbor(encoded)).value()).responses) {
                nlohmann::json::to_cbor(toJson(response));
            }
        });
        now += seconds(5);
        tickHolder(table, params, now, inputs);
        const double idle = microsPerRun([&] {
            now += milliseconds(5);
            tickHolder(table, params, now, inputs);
        });
        printRow({std::to_string(teams), formatNumber(plain), formatNumber(whole), formatNumber(idle), formatNumber(bytes)});
    }
}

void benchEntry()
{
    printHead("Quota entry node",
              {"teams", "request with a prefetched token", "request that asks the holder", "tick without requests", "bytes per team in use"});
    for (const size_t teams : {8U, 100U, 1000U}) {
        const QuotaParams params;
        TimePoint now = TimePoint(seconds(1000));
        const double before = allocatedBytes();
        EntryTable table = makeEntryTable(NodeName("entry"), 1);
        EntryInputs inputs;
        inputs.holders = [](uint32_t) {
            return std::vector<NodeName>{kHolder};
        };
        uint64_t tokenRequestId = 1;
        uint64_t grant = 1;
        const auto respondToAll = [&](MicroTokens extra) {
            const EntryOutputs outputs = tickEntry(table, params, now, inputs);
            inputs.responses.clear();
            for (const auto &[to, quotaRequest] : outputs.requests) {
                if (quotaRequest.requestedAmount > 0) {
                    inputs.responses.push_back({quotaRequest.team, kHolder, quotaRequest.number, QuotaOutcome::Granted, grant++,
                                                quotaRequest.requestedAmount + extra, seconds(1), Duration{}, milliseconds(1), kOneToken});
                }
            }
            return outputs.requests.size();
        };
        const auto requestPass = [&] {
            now += milliseconds(7);
            requestToken(table, params, teamName(tokenRequestId % teams), tokenRequestId, now, now + seconds(1));
            ++tokenRequestId;
            respondToAll(0);
            respondToAll(0);
        };
        for (size_t i = 0; i < teams; ++i) {
            requestPass();
        }
        const double bytes = (allocatedBytes() - before) / static_cast<double>(teams);
        const double requested = microsPerRun(requestPass);
        // The grant covers all tokens, so that the measurement contains no quota requests.
        requestToken(table, params, teamName(0), tokenRequestId++, now, now + seconds(1));
        respondToAll(1'000'000 * kOneToken);
        respondToAll(0);
        const double cached = microsPerRun([&] {
            requestToken(table, params, teamName(0), tokenRequestId++, now, now + seconds(1));
        });
        for (int i = 0; i < 1000; ++i) {
            now += milliseconds(5);
            respondToAll(0);
        }
        const double idle = microsPerRun([&] {
            now += milliseconds(5);
            tickEntry(table, params, now, inputs);
        });
        printRow({std::to_string(teams), formatNumber(cached), formatNumber(requested), formatNumber(idle), formatNumber(bytes)});
    }
}

void benchQuotaRequests()
{
    printHead("Asks of an entry node for one team, with a holder that always grants",
              {"requests per second at this node", "asks per request", "of these reports only"});
    for (const int rate : {1, 5, 20, 100, 1000}) {
        const QuotaParams params;
        EntryTable table = makeEntryTable(NodeName("entry"), 1);
        EntryInputs inputs;
        inputs.holders = [](uint32_t) {
            return std::vector<NodeName>{kHolder};
        };
        uint64_t requests = 0;
        uint64_t quotaRequests = 0;
        uint64_t reports = 0;
        uint64_t grant = 1;
        TimePoint now = TimePoint(seconds(1000));
        const TimePoint end = now + seconds(60);
        Random random(1);
        while (now < end) {
            now += milliseconds(1);
            if (drawBelow(random, 1000) < static_cast<uint64_t>(rate)) {
                ++requests;
                requestToken(table, params, teamName(0), requests, now, now + seconds(1));
            }
            const EntryOutputs outputs = tickEntry(table, params, now, inputs);
            inputs.responses.clear();
            for (const auto &[to, quotaRequest] : outputs.requests) {
                ++quotaRequests;
                reports += quotaRequest.requestedAmount == 0 ? 1 : 0;
                if (quotaRequest.requestedAmount > 0) {
                    inputs.responses.push_back({quotaRequest.team, kHolder, quotaRequest.number, QuotaOutcome::Granted, grant++, quotaRequest.requestedAmount,
                                                seconds(1), Duration{}, milliseconds(1), kOneToken});
                }
            }
        }
        const auto count = static_cast<double>(requests);
        printRow({std::to_string(rate), formatNumber(static_cast<double>(quotaRequests) / count), formatNumber(static_cast<double>(reports) / count)});
    }
}

} // namespace

void benchQuota()
{
    benchHolder();
    benchEntry();
    benchQuotaRequests();
}

} // namespace snipestream::bench
