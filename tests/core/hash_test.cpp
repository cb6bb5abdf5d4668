#include "core/hash.h"

#include "tests/support/section.h"

#include <string>
#include <vector>

namespace snipestream
{

using testing::section;

/// Guards against hashes that differ between VMs or move more keys than a membership change has to.
class HashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HashTest);
    CPPUNIT_TEST(testRendezvousMovesFewKeys);
    CPPUNIT_TEST(testStableValues);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRendezvousMovesFewKeys()
    {
        const std::vector<std::string> before = {"a", "b", "c", "d"};
        const std::vector<std::string> after = {"a", "b", "c", "d", "e"};
        section("a node that joins moves keys only to itself", [&] {
            for (int i = 0; i < 200; ++i) {
                const std::string key = "service-" + std::to_string(i);
                const auto old = before[rendezvousOrder(key, before, 1).front()];
                const auto now = after[rendezvousOrder(key, after, 1).front()];
                CPPUNIT_ASSERT(now == old || now == "e");
            }
        });
        section("no more nodes are returned than exist", [&] {
            CPPUNIT_ASSERT_EQUAL(size_t{4}, rendezvousOrder("key", before, 9).size());
        });
    }

    void testStableValues()
    {
        CPPUNIT_ASSERT_EQUAL(uint64_t{0xef46db3751d8e999ULL}, stableHash(""));
        CPPUNIT_ASSERT_EQUAL(std::string("f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8"),
                             hmacSha256Hex("key", "The quick brown fox jumps over the lazy dog"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace snipestream
