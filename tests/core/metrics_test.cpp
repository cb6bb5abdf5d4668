#include "core/metrics.h"
#include "core/refusal.h"

#include "tests/support/section.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

using testing::section;

/// Guards against metrics that a scraper cannot read and against refusal names that do not survive a round trip.
class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(testExposition);
    CPPUNIT_TEST(testRefusalNames);
    CPPUNIT_TEST(testDetailThatIsNotUtf8);
    CPPUNIT_TEST_SUITE_END();

public:
    void testExposition()
    {
        MetricsRegistry registry;
        section("a counter with a label that needs escaping", [&] {
            registry.counter("requests_total", "Requests", {{"team", "a\"b"}}).add(3);
            CPPUNIT_ASSERT(registry.renderPrometheus().find("requests_total{team=\"a\\\"b\"} 3\n") != std::string::npos);
        });
        section("the quantiles of a summary are close to the exact ones", [&] {
            auto &summary = registry.summary("latency_seconds", "Latency");
            for (int i = 1; i <= 1000; ++i) {
                summary.observe(i);
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(500, summary.quantile(0.5), 10);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(990, summary.quantile(0.99), 10);
            CPPUNIT_ASSERT(registry.renderPrometheus().find("latency_seconds_count 1000") != std::string::npos);
        });
    }

    /// Guards against a crash: the JSON writer threw an exception for a header value that is not valid UTF-8.
    void testDetailThatIsNotUtf8()
    {
        const Refusal refusal{RefusalReason::BadRequest, RunState::NotRun, {}, "value '\xff\xfe' is not a time"};
        CPPUNIT_ASSERT(nlohmann::json::accept(toProblemDocument(refusal, "id")));
    }

    void testRefusalNames()
    {
        for (int i = 0; i < kRefusalReasonCount; ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            section(std::string(refusalReasonName(reason)), [&] {
                CPPUNIT_ASSERT(parseRefusalReason(refusalReasonName(reason)) == reason);
                const auto document = nlohmann::json::parse(toProblemDocument(Refusal{reason, RunState::Unknown, milliseconds(5), "why"}, "id"));
                CPPUNIT_ASSERT_EQUAL(std::string("unknown"), document["run"].get<std::string>());
                CPPUNIT_ASSERT_EQUAL(refusalStatus(reason), document["status"].get<int>());
                CPPUNIT_ASSERT_EQUAL(5, document["retryAfterMs"].get<int>());
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace snipestream
