#include "mesh/work_graph.h"

#include "mesh/report_codec.h"
#include "tests/mesh/peers.h"
#include "tests/support/section.h"

namespace snipestream
{

using testing::addHome;
using testing::section;

namespace
{

constexpr WorkKind kLookup = 1;
constexpr WorkKind kUpload = 2;
constexpr WorkKind kFetch = 3;
constexpr WorkKind kIndex = 4;

/// Simulates a target that runs two kinds of requests at once. One kind makes five calls in sequence, the other none.
struct MixedTarget {
    /// Simulates runs of both kinds. `keepsDeadline` is false if the target's calls carry a deadline of their own.
    void run(int steps, bool keepsDeadline)
    {
        for (int step = 0; step < steps; ++step) {
            now += milliseconds(7);
            // The mix of the two kinds varies, as it does with independent callers.
            const bool busy = (step / 40) % 2 == 0;
            fetches.push_back({beginRun(pattern, kFetch, now + milliseconds(700)), now + milliseconds(700), 0});
            if (step % (busy ? 2 : 9) == 0) {
                uploads.push_back({beginRun(pattern, kUpload, now + milliseconds(2000)), now + milliseconds(2000), 0});
            }
            for (auto &run : fetches) {
                if (run.calls < 5 && step % 2 == 0) {
                    ++run.calls;
                    countCall(pattern, kIndex, keepsDeadline ? run.deadline - milliseconds(1) : now + milliseconds(300));
                }
            }
            if (fetches.size() > 12) {
                endRun(pattern, fetches.front().id, true, now);
                fetches.erase(fetches.begin());
            }
            if (uploads.size() > 5) {
                endRun(pattern, uploads.front().id, true, now);
                uploads.erase(uploads.begin());
            }
        }
    }

    auto callsOf(WorkKind kind) -> double
    {
        const auto calls = callsPerRun(pattern.kinds[kind]);
        const auto found = calls.find(kIndex);
        return found == calls.end() ? 0 : found->second;
    }

    struct Run {
        RunId id = 0;
        TimePoint deadline;
        int calls = 0;
    };

    CallPattern pattern;
    TimePoint now = TimePoint() + seconds(50);
    std::vector<Run> fetches;
    std::vector<Run> uploads;
};

void addReport(PeerTable &table, const std::string &address, const std::string &service, std::vector<KindReport> kinds, TimePoint now)
{
    addHome(table, address, "east", ServiceName(service));
    NodeReport report;
    report.address = address;
    report.incarnation = 1;
    report.sequence = 1;
    report.target.service = ServiceName(service);
    report.kinds = std::move(kinds);
    applyReport(table, report, now);
}

} // namespace

class WorkGraphTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkGraphTest);
    CPPUNIT_TEST(testCallAttribution);
    CPPUNIT_TEST(testFailedRuns);
    CPPUNIT_TEST(testWork);
    CPPUNIT_TEST(testStoredKinds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against attributing the calls of one kind to another. Uploads were refused because lookups, which pass
    /// through the same target, overloaded a service that uploads do not call.
    void testCallAttribution()
    {
        section("a call with the deadline of a run is attributed to it", [] {
            MixedTarget target;
            target.run(2000, true);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, target.callsOf(kFetch), 0.5);
            CPPUNIT_ASSERT(target.callsOf(kUpload) < 0.3);
        });
        section("with other deadlines, no more calls are attributed than were made", [] {
            MixedTarget target;
            target.run(2000, false);
            CPPUNIT_ASSERT(target.callsOf(kFetch) < 5.5);
            CPPUNIT_ASSERT(target.callsOf(kFetch) > 2);
        });
    }

    /// Guards against a fleet that starts under overload and never gets estimates, because no run succeeds.
    void testFailedRuns()
    {
        CallPattern pattern;
        TimePoint now = TimePoint() + seconds(1);
        const auto run = [&](int calls, bool succeeded) {
            const RunId id = beginRun(pattern, kFetch, now + seconds(1));
            for (int i = 0; i < calls; ++i) {
                countCall(pattern, kIndex, now + seconds(1));
            }
            now += milliseconds(50);
            endRun(pattern, id, succeeded, now);
        };
        section("calls of failed runs count if there are no other runs", [&] {
            run(2, false);
            CPPUNIT_ASSERT(callsPerRun(pattern.kinds[kFetch])[kIndex] > 1.5);
        });
        section("failed runs with fewer calls than the mean run do not count", [&] {
            for (int i = 0; i < 20; ++i) {
                run(5, true);
            }
            for (int i = 0; i < 50; ++i) {
                run(1, false);
            }
            CPPUNIT_ASSERT(callsPerRun(pattern.kinds[kFetch])[kIndex] > 4.5);
        });
    }

    void testWork()
    {
        PeerTable table;
        table.ownAddress = "10.0.0.1";
        const TimePoint now = TimePoint() + seconds(1);
        addReport(table, "10.0.0.1", "rules", {{kLookup, 50, 0.12, {{kFetch, 1}}}}, now);
        addReport(table, "10.0.0.2", "artwork", {{kFetch, 30, 0.2, {{kIndex, 5}}}, {kUpload, 5, 0.14, {{kIndex, 0.1}}}}, now);
        addReport(table, "10.0.0.3", "artwork", {{kFetch, 10, 0.4, {{kIndex, 5}}}}, now);
        addReport(table, "10.0.0.4", "batches", {{kIndex, 200, 0.03, {}}}, now);
        const WorkGraph graph = buildWorkGraph(table);
        section("the work of a request includes that of its nested calls", [&] {
            const auto work = workOf(graph, kLookup);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, work.at(ServiceName("rules")), 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, work.at(ServiceName("batches")), 1e-9);
            section("the slot time of a service is the mean of its targets, weighted by their runs", [&] {
                CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, work.at(ServiceName("artwork")), 1e-9);
            });
        });
        section("calls that few runs make are left out", [&] {
            CPPUNIT_ASSERT_EQUAL(size_t(1), workOf(graph, kUpload).size());
        });
        section("a kind that no node has reported causes no work", [&] {
            CPPUNIT_ASSERT(workOf(graph, 99).empty());
        });
        section("kinds that call each other do not cause an endless loop", [&] {
            addReport(table, "10.0.0.5", "loop", {{7, 1, 0.1, {{8, 1}}}, {8, 1, 0.1, {{7, 1}}}}, now);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, workOf(buildWorkGraph(table), 7).at(ServiceName("loop")), 1e-9);
        });
    }

    void testStoredKinds()
    {
        const std::vector<KindReport> kinds = {{kFetch, 30, 0.25, {{kIndex, 5}}}, {kUpload, 5, 0.125, {}}};
        section("kinds of work are decoded as they were encoded", [&] {
            CPPUNIT_ASSERT(kinds == decodeKinds(encodeKinds(kinds)).value());
        });
        section("other or truncated bytes are an error", [&] {
            std::string bytes = encodeKinds(kinds);
            CPPUNIT_ASSERT(!decodeKinds(bytes.substr(0, bytes.size() / 2)));
            CPPUNIT_ASSERT(!decodeKinds("{\"k\":1}"));
            CPPUNIT_ASSERT(!decodeKinds(""));
        });
        section("measured runs supersede the stored figures", [&] {
            CallPattern pattern;
            seedKind(pattern, kFetch, {{kIndex, 3}});
            CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, callsPerRun(pattern.kinds[kFetch])[kIndex], 1e-9);
            TimePoint now = TimePoint() + seconds(1);
            for (int i = 0; i < 45; ++i) {
                now += milliseconds(10);
                endRun(pattern, beginRun(pattern, kFetch, now), true, now);
            }
            CPPUNIT_ASSERT(callsPerRun(pattern.kinds[kFetch])[kIndex] < 0.35);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkGraphTest);

} // namespace snipestream
