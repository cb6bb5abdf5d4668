#include "mesh/member.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

class MemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTest);
    CPPUNIT_TEST(testRecords);
    CPPUNIT_TEST(testDepartures);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRecords()
    {
        MemberRecord record;
        record.member = {"10.0.0.1", NodeName("node1"), DomainName("east"), ServiceName("diary")};
        section("a record is decoded as it was encoded", [&] {
            record.hasLeft = true;
            const auto decoded = decodeMemberRecord("10.0.0.1", encodeMemberRecord(record));
            CPPUNIT_ASSERT(decoded.has_value() && decoded.value() == record);
        });
        section("a record of an older version may contain departures of the VM's targets", [&] {
            const auto decoded = decodeMemberRecord("10.0.0.1",
                                                    R"({"node":"node1","domain":"east","service":"diary","left":true,)"
                                                    R"("departed":[{"instance":"i-1","start":500},{"instance":"i-2","start":0}]})");
            record.departures = {{"i-1", 500}, {"i-2", 0}};
            CPPUNIT_ASSERT(decoded.has_value() && decoded.value() == record);
        });
        section("a record of the first version has none", [&] {
            const auto decoded = decodeMemberRecord("10.0.0.1", R"({"node":"node1","domain":"east","service":"diary"})");
            CPPUNIT_ASSERT(decoded.has_value() && decoded.value().departures.empty() && !decoded.value().hasLeft);
        });
        section("records of another writer are refused", [] {
            const std::string start = R"({"node":"node1","domain":"east","service":"diary",)";
            for (const std::string &rest : {std::string(R"("left":1})"), std::string(R"("departed":{}})"), std::string(R"("departed":[7]})"),
                                            std::string(R"("departed":[{"instance":"i-1","start":1e999}]})"),
                                            std::string(R"("departed":[{"instance":"i-1","start":18446744073709551615}]})"),
                                            std::string(R"("departed":[{"instance":"","start":1}]})"), R"("left":)" + std::string(200000, '[')}) {
                const auto decoded = decodeMemberRecord("10.0.0.1", start + rest);
                CPPUNIT_ASSERT_MESSAGE(rest.substr(0, 60), !decoded.has_value());
            }
            CPPUNIT_ASSERT(!decodeMemberRecord("10.0.0.1", std::string(200000, '[') + std::string(200000, ']')).has_value());
        });
    }

    void testDepartures()
    {
        const DepartedTarget departed{std::string(255, 'i'), 1796364201750};
        const std::string key = departureKey("10.0.0.1", departed);
        section("the record of a departure is decoded as it was encoded", [&] {
            const auto decoded = decodeDeparture(key, encodeDeparture(departed));
            CPPUNIT_ASSERT(decoded.has_value() && decoded.value() == departed);
        });
        section("its key fits into a record, names the VM, and differs between VMs, instances and starts", [&] {
            CPPUNIT_ASSERT(key.size() < 255);
            CPPUNIT_ASSERT(addressOfDeparture(key) == std::string("10.0.0.1"));
            CPPUNIT_ASSERT(key != departureKey("10.0.0.2", departed));
            CPPUNIT_ASSERT(key != departureKey("10.0.0.1", {"i-1", departed.startedAtMs}));
            CPPUNIT_ASSERT(key != departureKey("10.0.0.1", {departed.instance, departed.startedAtMs + 1}));
            CPPUNIT_ASSERT(!addressOfDeparture("10.0.0.1") && !addressOfDeparture("diary/7") && !addressOfDeparture("/7"));
        });
        section("a record of another departure, or of another writer, is refused", [&] {
            CPPUNIT_ASSERT(!decodeDeparture(departureKey("10.0.0.1", {"i-1", 5}), encodeDeparture(departed)).has_value());
            for (const std::string &value : {std::string(), std::string("7"), std::string(R"({"instance":"i-1"})"), std::string(R"({"instance":"","start":1})"),
                                             std::string(R"({"instance":"i-1","start":-1})"), std::string(200000, '[')}) {
                CPPUNIT_ASSERT(!decodeDeparture(key, value).has_value());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

} // namespace snipestream
