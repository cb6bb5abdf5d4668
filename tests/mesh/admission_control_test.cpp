#include "mesh/admission_control.h"

#include "mesh/offered_load.h"
#include "mesh/report_codec.h"
#include "mesh/subscriptions.h"
#include "tests/support/section.h"

#include <algorithm>
#include <deque>
#include <map>

namespace snipestream
{

using testing::section;

namespace
{

constexpr Duration kStep = milliseconds(10);
/// Time that a call keeps a slot of the deep service busy.
constexpr double kSlotSeconds = 0.060;
const ServiceName kDeepService("diary");

auto viewOf(const std::vector<uint8_t> &bytes) -> std::string_view
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

/// Simulates callers, an entry node and a deep service whose slots are the bottleneck. A request reaches the deep
/// service only after the calls in between, and the entry node gets the load of the service from reports.
struct OverloadSimulation {
    OverloadSimulation()
    {
        peers.ownAddress = "10.0.0.1";
        peers.ownDomain = DomainName("east");
        addMember(peers, {"10.0.0.2", NodeName("deep"), peers.ownDomain, kDeepService});
        updateSubscriptions(subscriptions, peers, {kDeepService}, now);
        report.address = "10.0.0.2";
        report.incarnation = 1;
        report.target = {kDeepService, "i-1", 0};
        report.serving = true;
        report.load.limit = 25;
    }

    /// Simulates `span` with `perSecond` requests of each priority. Each request takes `kSlotSeconds` of slot time at
    /// the deep service.
    void run(Duration span, double perSecond)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            for (size_t priority = 0; priority < priorities.size(); ++priority) {
                due[priority] += perSecond * std::chrono::duration<double>(kStep).count();
                for (; due[priority] >= 1; due[priority] -= 1) {
                    const size_t requestClass = shedClass(classes, {priorities[priority], priorities[priority]}, false);
                    countArrival(control, requestClass, estimate, now);
                    ++arrived[priorities[priority]];
                    if (isShed(shedFraction(control, requestClass), std::to_string(++requests))) {
                        continue;
                    }
                    ++admitted[priorities[priority]];
                    inTransit.push_back(now + milliseconds(120));
                }
            }
            while (!inTransit.empty() && inTransit.front() <= now) {
                inTransit.pop_front();
                addWork(offered, kSlotSeconds / report.load.limit, now);
                work += kSlotSeconds;
            }
            const double capacity = std::chrono::duration<double>(kStep).count() * report.load.limit;
            done += std::min(work, capacity);
            work -= std::min(work, capacity);
            exchangeReports();
            updateAdmission(control, settings, classes, serviceCapacity(peers, kDeepService, now), now);
            minAdmittedFraction = std::min(minAdmittedFraction, control.admittedFraction);
            maxQueueSeconds = std::max(maxQueueSeconds, work / report.load.limit);
        }
    }

    /// Lets the entry node subscribe to the target of the deep service, as the nodes do with each tick.
    void exchangeReports()
    {
        for (const auto &due : dueSubscriptions(subscriptions, peers, {{kDeepService, arrivingWork(control, now)}}, 1, now)) {
            applySubscription(subscribers, kDeepService, due.subscription, now);
        }
        for (const auto &due : dueReports(subscribers, false, now)) {
            report.offeredLoad = offeredLoadAt(offered, now);
            report.queueDelay = duration_cast<Duration>(std::chrono::duration<double>(work / report.load.limit));
            report.demand = totalDemand(subscribers);
            report.interval = due.interval;
            ++report.sequence;
            applyReport(peers, report, now);
        }
    }

    void resetStatistics()
    {
        arrived.clear();
        admitted.clear();
        done = 0;
        minAdmittedFraction = 1;
        maxQueueSeconds = 0;
    }

    std::vector<int> priorities = {2, 1, 0};
    std::vector<Importance> classes = {{2, 2}, {1, 1}, {0, 0}};
    /// Slot time that the entry node estimates for a request, in seconds.
    double estimate = kSlotSeconds;
    PeerTable peers;
    NodeReport report;
    SubscriptionTable subscriptions;
    SubscriberTable subscribers;
    AdmissionControl control;
    AdmissionControlSettings settings;
    OfferedLoad offered;
    TimePoint now = TimePoint() + seconds(100);
    /// Requests that are still to be sent, by index of the priority.
    std::map<size_t, double> due;
    /// Times when admitted requests reach the deep service.
    std::deque<TimePoint> inTransit;
    uint64_t requests = 0;
    /// Requests by priority.
    std::map<int, int> arrived;
    std::map<int, int> admitted;
    /// Slot time of the queued work and of the completed work, in seconds.
    double work = 0;
    double done = 0;
    double minAdmittedFraction = 1;
    /// Maximum time that the queued work would take, in seconds.
    double maxQueueSeconds = 0;
};

auto fractionAdmitted(OverloadSimulation &simulation, int priority) -> double
{
    return static_cast<double>(simulation.admitted[priority]) / simulation.arrived[priority];
}

} // namespace

class AdmissionControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionControlTest);
    CPPUNIT_TEST(testBurst);
    CPPUNIT_TEST(testWrongEstimate);
    CPPUNIT_TEST(testUnavailableService);
    CPPUNIT_TEST(testSheddingOrder);
    CPPUNIT_TEST(testImportance);
    CPPUNIT_TEST(testManyImportances);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Simulates a peak-day burst: 1.7 times the capacity of the deep service for ten seconds.
    void testBurst()
    {
        OverloadSimulation simulation;
        const double capacityPerPriority = 25 / 0.060 / 3;
        section("nothing is shed below the capacity", [&] {
            simulation.run(seconds(5), capacityPerPriority * 0.8);
            CPPUNIT_ASSERT(fractionAdmitted(simulation, 2) > 0.999);
        });
        section("a burst of 1.7 times the capacity", [&] {
            simulation.run(seconds(3), capacityPerPriority * 1.7);
            simulation.resetStatistics();
            simulation.run(seconds(7), capacityPerPriority * 1.7);
            section("keeps the slots busy; an oscillating admission would leave them idle half of the time", [&] {
                CPPUNIT_ASSERT(simulation.done > 0.88 * 25 * 7);
                CPPUNIT_ASSERT(simulation.minAdmittedFraction > 0.4);
            });
            section("builds up no standing queue", [&] {
                CPPUNIT_ASSERT(simulation.maxQueueSeconds < 0.5);
            });
            section("sheds the least important requests first", [&] {
                CPPUNIT_ASSERT(fractionAdmitted(simulation, 2) < 0.27);
                CPPUNIT_ASSERT(fractionAdmitted(simulation, 1) > fractionAdmitted(simulation, 2) * 1.3);
                CPPUNIT_ASSERT(fractionAdmitted(simulation, 0) > 0.999);
            });
            section("starves no priority: the least important one gets two fifths of the mean admitted fraction", [&] {
                const double mean = (fractionAdmitted(simulation, 2) + fractionAdmitted(simulation, 1) + fractionAdmitted(simulation, 0)) / 3;
                CPPUNIT_ASSERT(fractionAdmitted(simulation, 2) > 0.9 * 0.4 * mean);
            });
        });
        section("nothing is shed two seconds after the burst", [&] {
            simulation.run(seconds(2), capacityPerPriority * 0.8);
            simulation.resetStatistics();
            simulation.run(seconds(2), capacityPerPriority * 0.8);
            CPPUNIT_ASSERT(fractionAdmitted(simulation, 2) > 0.99);
        });
    }

    /// Guards against an overload that persists as long as the estimated work of requests is wrong. Estimates are never
    /// exact.
    void testWrongEstimate()
    {
        for (const double factor : {0.6, 1.5}) {
            section("slots stay busy if requests take more or less work than estimated", [factor] {
                OverloadSimulation simulation;
                const double capacityPerPriority = 25 / kSlotSeconds / 3;
                simulation.estimate = kSlotSeconds * factor;
                simulation.run(seconds(12), capacityPerPriority * 1.7);
                simulation.resetStatistics();
                simulation.run(seconds(5), capacityPerPriority * 1.7);
                CPPUNIT_ASSERT(simulation.done > 0.88 * 25 * 5);
                CPPUNIT_ASSERT(simulation.maxQueueSeconds < 0.5);
            });
        }
    }

    /// Guards against admitting requests whose nested calls must fail. While the deep service was unavailable, all
    /// requests were admitted, did work and failed, and the service was overloaded as soon as it returned.
    void testUnavailableService()
    {
        OverloadSimulation simulation;
        const double capacityPerPriority = 25 / kSlotSeconds / 3;
        simulation.run(seconds(3), capacityPerPriority * 1.7);
        section("no request is admitted while no target of the deep service takes requests", [&] {
            simulation.report.serving = false;
            simulation.run(milliseconds(500), capacityPerPriority * 1.7);
            simulation.resetStatistics();
            simulation.run(seconds(3), capacityPerPriority * 1.7);
            CPPUNIT_ASSERT_EQUAL(0, simulation.admitted[0] + simulation.admitted[1] + simulation.admitted[2]);
        });
        section("within a second after the first target returns, requests are admitted up to its capacity", [&] {
            simulation.report.serving = true;
            simulation.run(seconds(1), capacityPerPriority * 1.7);
            simulation.resetStatistics();
            simulation.run(seconds(2), capacityPerPriority * 1.7);
            CPPUNIT_ASSERT(simulation.done > 0.88 * 25 * 2);
            CPPUNIT_ASSERT(simulation.maxQueueSeconds < 0.5);
        });
    }

    void testSheddingOrder()
    {
        const std::vector<Importance> classes = {{1, 2}, {1, 0}, {0, 2}, {0, 0}};
        const TimePoint now = TimePoint() + seconds(1);
        AdmissionControl control;
        const auto shedFractionOf = [&](const Importance &importance, bool isRetry) {
            return shedFraction(control, shedClass(classes, importance, isRetry));
        };
        const auto admitFraction = [&](double fraction) {
            control = AdmissionControl();
            for (const auto &importance : classes) {
                countArrival(control, shedClass(classes, importance, false), 1, now);
                countArrival(control, shedClass(classes, importance, true), 1, now);
            }
            const ServiceCapacity capacity{16 * fraction / 0.95, arrivingWork(control, now), 0.95, 0, true};
            updateAdmission(control, {}, classes, capacity, now);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(fraction, control.admittedFraction, 0.001);
        };
        section("the priority of the team is compared before that of the route", [&] {
            admitFraction(0.75);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedFractionOf({0, 2}, false), 0.001);
            CPPUNIT_ASSERT(shedFractionOf({1, 0}, false) > 0.3);
        });
        section("within a priority, the more important route is admitted first", [&] {
            CPPUNIT_ASSERT(shedFractionOf({1, 2}, false) > shedFractionOf({1, 0}, true) + 0.3);
        });
        section("within an importance, retries are admitted before first attempts", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedFractionOf({1, 0}, true), 0.001);
            CPPUNIT_ASSERT(shedFractionOf({1, 0}, false) > 0.3);
        });
        section("a rounding error sheds no request", [&] {
            for (int i = 0; i < 5000; ++i) {
                CPPUNIT_ASSERT(!isShed(1e-15, std::to_string(i)));
                CPPUNIT_ASSERT(isShed(1 - 1e-15, std::to_string(i)));
            }
        });
        section("every class gets its minimum fraction", [&] {
            admitFraction(0.4);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1 - 0.4 * 0.4 * 0.3, shedFractionOf({1, 2}, false), 0.001);
        });
    }

    void testImportance()
    {
        section("there is an importance for each combination of team and route; open routes have none", [] {
            Policy policy;
            policy.routes.resize(3);
            policy.routes[0].priority = 2;
            policy.routes[1].priority = 0;
            policy.routes[2].priority = 7;
            policy.routes[2].isOpen = true;
            policy.teams.resize(2);
            policy.teams[0].priority = 1;
            const std::vector<Importance> expected = {{2, 2}, {1, 2}, {1, 0}, {0, 0}};
            CPPUNIT_ASSERT(expected == importanceLevels(policy));
        });
    }

    /// Guards against a configuration whose demand no home can decode: with more than 32 pairs of a team's and a route's
    /// priority, the homes rejected all subscriptions and the requests of the service were shed for good.
    void testManyImportances()
    {
        const auto policyWith = [](int teams, int routes) {
            Policy policy;
            policy.teams.resize(static_cast<size_t>(teams));
            for (int i = 0; i < teams; ++i) {
                policy.teams[static_cast<size_t>(i)].priority = i;
            }
            policy.routes.resize(static_cast<size_t>(routes));
            for (int i = 0; i < routes; ++i) {
                policy.routes[static_cast<size_t>(i)].priority = i;
            }
            return policy;
        };
        const std::vector<std::pair<int, int>> sizes = {{0, 33}, {1, 33}, {8, 5}, {33, 1}, {40, 40}, {300, 5}, {1001, 7}};
        for (const auto &size : sizes) {
            const int teams = size.first;
            const int routes = size.second;
            const Policy policy = policyWith(teams, routes);
            const auto classes = importanceLevels(policy);
            const TimePoint now = TimePoint() + seconds(1);
            AdmissionControl control;
            section("demand of all " + std::to_string(teams) + " x " + std::to_string(routes) + " importances reaches the homes and comes back", [&] {
                for (const auto &route : policy.routes) {
                    for (const auto &team : policy.teams) {
                        countArrival(control, shedClass(classes, importanceOf(route, &team), true), 1, now);
                    }
                    countArrival(control, shedClass(classes, importanceOf(route, nullptr), true), 1, now);
                }
                Subscription subscription;
                subscription.address = "10.0.0.1";
                subscription.service = ServiceName("diary");
                subscription.demand = arrivingWork(control, now);
                const auto received = decodeSubscription(viewOf(encodeSubscription(subscription)));
                CPPUNIT_ASSERT_MESSAGE(received ? "changed" : received.error().message, received && received.value() == subscription);
                NodeReport report;
                report.address = "10.0.0.2";
                report.target.service = subscription.service;
                report.load.limit = 1;
                report.demand = subscription.demand;
                const auto decoded = decodeReport(viewOf(encodeReport(report)));
                CPPUNIT_ASSERT_MESSAGE(decoded ? "changed" : decoded.error().message, decoded && decoded.value() == report);
            });
            section("a less important request is never in a more important class", [&] {
                std::vector<Importance> all;
                for (int team = 0; team < std::max(teams, 1); ++team) {
                    for (int route = 0; route < routes; ++route) {
                        all.push_back({teams == 0 ? route : team, route});
                    }
                }
                for (size_t i = 1; i < all.size(); ++i) {
                    CPPUNIT_ASSERT(shedClass(classes, all[i], false) <= shedClass(classes, all[i - 1], false));
                }
            });
        }
        section("teams of different priorities share no class if there are levels for all of them", [&] {
            const auto classes = importanceLevels(policyWith(8, 5));
            for (int team = 1; team < 8; ++team) {
                CPPUNIT_ASSERT(shedClass(classes, {team, 0}, true) < shedClass(classes, {team - 1, 4}, false));
            }
        });
        section("a request of another version of the policy gets the nearest class", [&] {
            const auto classes = importanceLevels(policyWith(2, 2));
            CPPUNIT_ASSERT_EQUAL(size_t{0}, shedClass(classes, {7, 7}, false));
            CPPUNIT_ASSERT_EQUAL(size_t{3}, shedClass(classes, {1, -1}, true));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, shedClass({}, {1, 1}, true));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

} // namespace snipestream
