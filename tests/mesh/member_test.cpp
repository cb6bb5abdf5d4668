#include "mesh/member.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

class MemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTest);
    CPPUNIT_TEST(testRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRecords()
    {
        MemberRecord record;
        record.member = {"10.0.0.1", NodeName("node1"), DomainName("east"), ServiceName("diary")};
        section("a record keeps the departures of the VM's targets", [&] {
            record.departures = {{"i-1", 500}, {"i-2", 0}};
            record.hasLeft = true;
            const auto decoded = decodeMemberRecord("10.0.0.1", encodeMemberRecord(record));
            CPPUNIT_ASSERT(decoded.has_value() && decoded.value() == record);
        });
        section("a record of an older version has none", [&] {
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

} // namespace snipestream
