#include "idempotency/claim_table.h"

#include "core/random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <map>
#include <vector>

#include <malloc.h>

namespace
{

using namespace snipestream;

constexpr OwnerView kView{true, 1, false, false};
const TeamName kTeam{"studio-aberystwyth"};

auto keyOf(uint64_t number) -> ClaimKey
{
    // The key is as long as a UUID, which most callers use, plus its terminator.
    char text[37];
    std::snprintf(text, sizeof text, "%08llx-0000-4000-8000-%012llx", static_cast<unsigned long long>(number >> 32U), static_cast<unsigned long long>(number));
    return {kTeam, text};
}

auto requestOf(uint64_t number) -> BeginRequest
{
    return {keyOf(number), number, RequestId{1, number}, 1, NodeName("entry"), seconds(30)};
}

auto responseOf(size_t bodyBytes) -> RecordedResponse
{
    return {201, {{"Content-Type", "application/json"}}, std::string(bodyBytes, 'x')};
}

/// Returns a table that accepts claims: it has read back its fence record from the log.
auto servingTable(ClaimSettings settings, TimePoint now) -> ClaimTable
{
    ClaimTable table = makeClaimTable(settings, DomainName("caerdydd"), 0);
    auto outputs = tickClaims(table, kView, 1, now);
    outputs = onLogRecords(table, LogRead{outputs.readId, {}, 0, 0, true}, kView, now);
    onLogRecords(table, LogRead{outputs.readId, {*outputs.append}, 0, 1, true}, kView, now);
    return table;
}

struct LoadResult {
    double meanMs = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double appendsPerSecond = 0;
    double bytesPerClaim = 0;
    size_t backlog = 0;
    size_t granted = 0;
    size_t offered = 0;
};

/// Simulates claims with Poisson arrivals for `length` of virtual time; each ends with a response 100 ms after its grant.
auto simulateLoad(double claimsPerSecond, Duration appendTime, size_t bodyBytes, Duration length) -> LoadResult
{
    ClaimSettings settings;
    // The bounds are high, because refusals of a full table would hide the limit of the log.
    settings.maxClaims = 4'000'000;
    settings.maxClaimBytes = size_t{8} << 30U;
    TimePoint now{seconds(1000)};
    ClaimTable table = servingTable(settings, now);
    Random random(7);
    std::exponential_distribution<double> interarrivalTime(claimsPerSecond);
    const TimePoint start = now;
    const TimePoint end = start + length;
    TimePoint nextArrival = start;
    uint64_t number = 0;
    std::vector<TimePoint> arrivedAt;
    std::vector<double> grantDelaysMs;
    std::multimap<TimePoint, uint64_t> running;
    std::optional<std::pair<TimePoint, ClaimsRecord>> appending;
    size_t appends = 0;
    size_t bytes = 0;
    size_t entries = 0;
    const RecordedResponse response = responseOf(bodyBytes);
    const auto handle = [&](OwnerOutputs outputs) {
        for (const auto &decision : outputs.decisions) {
            grantDelaysMs.push_back(std::chrono::duration<double, std::milli>(now - arrivedAt[decision.attempt.low]).count());
            running.emplace(now + milliseconds(100), decision.attempt.low);
        }
        if (outputs.append) {
            bytes += toJson(*outputs.append).size();
            entries += outputs.append->claims.size();
            ++appends;
            appending.emplace(now + appendTime, std::move(*outputs.append));
        }
    };
    for (; now < end; now += milliseconds(1)) {
        while (nextArrival <= now) {
            arrivedAt.push_back(now);
            beginClaim(table, requestOf(number++), kView, now);
            nextArrival += Duration(static_cast<int64_t>(interarrivalTime(random) * 1e9) + 1);
        }
        while (!running.empty() && running.begin()->first <= now) {
            const auto ended = running.extract(running.begin()).mapped();
            endClaim(table, keyOf(ended), RequestId{1, ended}, {OutcomeKind::Done, response}, kView, now);
        }
        if (appending && appending->first <= now) {
            const auto record = std::move(appending->second);
            appending.reset();
            handle(onAppendResult(table, 1, record.sequence, AppendResult::Acknowledged, record.sequence, kView, now));
        }
        handle(tickClaims(table, kView, 1, now));
    }
    LoadResult result;
    result.granted = grantDelaysMs.size();
    result.offered = arrivedAt.size();
    result.backlog = table.urgentQueue.size() + table.normalQueue.size();
    const double elapsed = std::chrono::duration<double>(length).count();
    result.appendsPerSecond = static_cast<double>(appends) / elapsed;
    result.bytesPerClaim = entries == 0 ? 0 : 2.0 * static_cast<double>(bytes) / static_cast<double>(entries);
    std::sort(grantDelaysMs.begin(), grantDelaysMs.end());
    for (const double delayMs : grantDelaysMs) {
        result.meanMs += delayMs / static_cast<double>(grantDelaysMs.size());
    }
    if (!grantDelaysMs.empty()) {
        result.p50Ms = grantDelaysMs[grantDelaysMs.size() / 2];
        result.p99Ms = grantDelaysMs[grantDelaysMs.size() * 99 / 100];
    }
    return result;
}

/// Returns the maximum rate at which the queues of claims and outcomes stay bounded: at the end they hold at most as many
/// entries as claims arrive in 1 s, and more than 95% of the claims were granted.
auto maxStableRate(Duration appendTime, size_t bodyBytes) -> double
{
    double low = 10;
    double high = 10'000;
    while (high / low > 1.03) {
        const double rate = std::sqrt(low * high);
        const auto load = simulateLoad(rate, appendTime, bodyBytes, seconds(30));
        const bool isStable = static_cast<double>(load.backlog) <= rate && load.granted * 100 > load.offered * 95;
        (isStable ? low : high) = rate;
    }
    return low;
}

void printRates()
{
    std::cout << "## Highest rate of one owner (6 appends/s, burst 6, 128 KiB a batch)\n\n"
              << "| recorded body | append takes | claims/s | bytes per claim and outcome |\n| --- | --- | --- | --- |\n";
    for (const size_t body : {size_t{0}, size_t{200}, size_t{1024}, size_t{4096}}) {
        for (const int ms : {5, 50}) {
            const double rate = maxStableRate(milliseconds(ms), body);
            const double bytes = simulateLoad(rate * 0.9, milliseconds(ms), body, seconds(30)).bytesPerClaim;
            std::printf("| %zu B | %d ms | %.0f | %.0f |\n", body, ms, rate, bytes);
            std::fflush(stdout);
        }
    }
}

void printLatency()
{
    std::cout << "\n## Time from begin to grant (200 B bodies, 30 s of virtual time)\n\n"
              << "| claims/s | append takes | mean | median | 99th percentile | appends/s | granted |\n"
              << "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const int rate : {1, 10, 100, 1000, 10'000}) {
        for (const int ms : {5, 50}) {
            const auto load = simulateLoad(rate, milliseconds(ms), 200, seconds(30));
            std::printf("| %d | %d ms | %.0f ms | %.0f ms | %.0f ms | %.1f | %.0f%% |\n", rate, ms, load.meanMs, load.p50Ms, load.p99Ms, load.appendsPerSecond,
                        100.0 * static_cast<double>(load.granted) / static_cast<double>(load.offered));
        }
    }
}

auto heapBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

auto cpuSeconds() -> double
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

struct SizeResult {
    double bytes = 0;
    double tableMicros = 0;
    double jsonMicros = 0;
    double foldMicros = 0;
};

/// Runs `count` claims through begin, append, grant and end, then folds the log as the next owner does on takeover.
auto measureSize(size_t count, size_t bodyBytes) -> SizeResult
{
    ClaimSettings settings;
    settings.maxClaims = 4'000'000;
    settings.maxClaimBytes = size_t{8} << 30U;
    settings.appendsPerSecond = 1e6;
    settings.appendBurst = 1e6;
    TimePoint now{seconds(1000)};
    const double heapBefore = heapBytes();
    ClaimTable table = servingTable(settings, now);
    std::vector<std::string> log;
    SizeResult result;
    const auto flush = [&] {
        for (;;) {
            now += milliseconds(1);
            const auto outputs = tickClaims(table, kView, 1, now);
            if (!outputs.append) {
                return;
            }
            const double before = cpuSeconds();
            log.push_back(toJson(*outputs.append));
            result.jsonMicros += (cpuSeconds() - before) * 1e6;
            onAppendResult(table, 1, outputs.append->sequence, AppendResult::Acknowledged, log.size(), kView, now);
        }
    };
    const double cpuBefore = cpuSeconds();
    for (uint64_t number = 0; number < count; ++number) {
        beginClaim(table, requestOf(number), kView, now);
        if (number % 500 == 499) {
            flush();
        }
    }
    flush();
    for (uint64_t number = 0; number < count; ++number) {
        endClaim(table, keyOf(number), RequestId{1, number}, {OutcomeKind::Done, responseOf(bodyBytes)}, kView, now);
        if (number % 500 == 499) {
            flush();
        }
    }
    flush();
    result.tableMicros = (cpuSeconds() - cpuBefore) * 1e6 - result.jsonMicros;
    size_t logHeap = log.capacity() * sizeof(std::string);
    for (const auto &line : log) {
        logHeap += malloc_usable_size(const_cast<char *>(line.data())) + sizeof(size_t);
    }
    result.bytes = heapBytes() - heapBefore - static_cast<double>(logHeap);
    const double foldBefore = cpuSeconds();
    RangeFold fold;
    for (const auto &line : log) {
        applyClaimsRecord(fold, claimsRecordFromJson(line).value(), settings.retention);
    }
    result.foldMicros = (cpuSeconds() - foldBefore) * 1e6;
    const auto claims = static_cast<double>(count);
    return {result.bytes / claims, result.tableMicros / claims, result.jsonMicros / claims, result.foldMicros / claims};
}

void printCosts()
{
    std::cout << "\n## Memory and CPU per claim\n\n"
              << "| recorded body | claims | memory | CPU in the table | CPU for JSON | CPU of a takeover |\n"
              << "| --- | --- | --- | --- | --- | --- |\n";
    for (const size_t body : {size_t{0}, size_t{200}, size_t{4096}}) {
        for (const size_t count : {size_t{10'000}, size_t{50'000}, size_t{200'000}}) {
            if (body == 4096 && count > 50'000) {
                continue;
            }
            const auto cost = measureSize(count, body);
            std::printf("| %zu B | %zu | %.0f B | %.1f µs | %.1f µs | %.1f µs |\n", body, count, cost.bytes, cost.tableMicros, cost.jsonMicros,
                        cost.foldMicros);
            std::fflush(stdout);
        }
    }
}

} // namespace

/// Measures the maximum claim rate of one range owner and the cost of a claim, and prints Markdown tables.
auto main() -> int
{
    printCosts();
    printRates();
    printLatency();
    return 0;
}
