#include "core/events.h"

#include "tests/support/section.h"

#include <fstream>
#include <set>
#include <sstream>

namespace snipestream
{

using testing::section;

/// Guards against a docs/EVENTS.md that differs from the events in the code and against duplicate numbers or names.
class EventsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventsTest);
    CPPUNIT_TEST(testPageMatchesCode);
    CPPUNIT_TEST(testNumbersAreUnique);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPageMatchesCode()
    {
        std::ifstream file("docs/EVENTS.md");
        std::stringstream page;
        page << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE("docs/EVENTS.md lacks the table that this code prints:\n" + eventCatalogueMarkdown(),
                               page.str().find(eventCatalogueMarkdown()) != std::string::npos);
    }

    void testNumbersAreUnique()
    {
        std::set<int> numbers;
        std::set<std::string_view> names;
        for (const auto &row : eventCatalogue()) {
            section(std::string(row.name), [&] {
                CPPUNIT_ASSERT(numbers.insert(static_cast<int>(row.id)).second);
                CPPUNIT_ASSERT(names.insert(row.name).second);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

} // namespace snipestream
