#include "tests/support/section.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace snipestream
{

using testing::section;

namespace
{

using NameAndType = std::pair<std::string, std::string>;

auto readFile(const std::filesystem::path &path) -> std::string
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the metrics that a source file registers: calls of `counter`, `gauge`, `summary` or `histogram` whose first argument is a
/// literal. A call with another first argument is reported as the name "(not a literal)", since no page can list it.
auto metricsOfSource(const std::string &text) -> std::set<NameAndType>
{
    std::set<NameAndType> found;
    for (const std::string type : {"counter", "gauge", "summary", "histogram"}) {
        for (const std::string &member : {"." + type + "(", "->" + type + "("}) {
            for (size_t at = text.find(member); at != std::string::npos; at = text.find(member, at + 1)) {
                const size_t argument = text.find_first_not_of(" \n", at + member.size());
                if (argument == std::string::npos || text[argument] != '"') {
                    found.emplace("(not a literal)", type);
                    continue;
                }
                found.emplace(text.substr(argument + 1, text.find('"', argument + 1) - argument - 1), type);
            }
        }
    }
    return found;
}

/// Returns the metrics that the sources of the nodes register: those of all folders except tests, benchmarks,
/// documentation and build output.
auto metricsOfSources() -> std::set<NameAndType>
{
    std::set<NameAndType> found;
    for (const auto &folder : std::filesystem::directory_iterator(".")) {
        const std::string name = folder.path().filename().string();
        const bool isPackage =
            folder.is_directory() && name.front() != '.' && name.rfind("build", 0) != 0 && name != "tests" && name != "bench" && name != "docs";
        if (!isPackage) {
            continue;
        }
        for (const auto &file : std::filesystem::recursive_directory_iterator(folder)) {
            if (file.path().extension() == ".cpp" || file.path().extension() == ".h") {
                found.merge(metricsOfSource(readFile(file.path())));
            }
        }
    }
    return found;
}

/// Returns the metrics of the page: the first two cells of each table row that begins with a metric in code font.
auto metricsOfPage(const std::string &text) -> std::set<NameAndType>
{
    std::set<NameAndType> found;
    std::istringstream lines(text);
    const std::string_view start = "| `snipestream_";
    for (std::string line; std::getline(lines, line);) {
        if (line.compare(0, start.size(), start) != 0) {
            continue;
        }
        const size_t end = line.find('`', start.size());
        const size_t type = end + std::string_view("` | ").size();
        found.emplace(line.substr(3, end - 3), line.substr(type, line.find(' ', type) - type));
    }
    return found;
}

/// Returns the metrics that are missing from `others`, one per line.
auto missingFrom(const std::set<NameAndType> &metrics, const std::set<NameAndType> &others) -> std::string
{
    std::string text;
    for (const auto &[name, type] : metrics) {
        if (others.count({name, type}) == 0) {
            text.append(name).append(" (").append(type).append(")\n");
        }
    }
    return text;
}

} // namespace

/// Guards against a docs/METRICS.md that lacks a metric of the code, lists a removed one or names the wrong type.
class MetricsPageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsPageTest);
    CPPUNIT_TEST(testPageMatchesCode);
    CPPUNIT_TEST(testReaderFindsCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPageMatchesCode()
    {
        const auto code = metricsOfSources();
        const auto page = metricsOfPage(readFile("docs/METRICS.md"));
        section("the sources were found; the tests run in the repository root", [&] {
            CPPUNIT_ASSERT(!code.empty());
        });
        section("every metric of the code is in docs/METRICS.md", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string(), missingFrom(code, page));
        });
        section("every metric of docs/METRICS.md is in the code", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string(), missingFrom(page, code));
        });
    }

    void testReaderFindsCalls()
    {
        section("a name on the line after the call", [] {
            const auto found = metricsOfSource("metrics\n    .gauge(\n        \"snipestream_a\", \"help\")");
            CPPUNIT_ASSERT(found == std::set<NameAndType>({{"snipestream_a", "gauge"}}));
        });
        section("a call through a pointer", [] {
            const auto found = metricsOfSource("registry->summary(\"snipestream_b\", \"help\")");
            CPPUNIT_ASSERT(found == std::set<NameAndType>({{"snipestream_b", "summary"}}));
        });
        section("a computed name is reported as not a literal", [] {
            const auto found = metricsOfSource("metrics.counter(prefix + \"_total\", \"help\")");
            CPPUNIT_ASSERT(found == std::set<NameAndType>({{"(not a literal)", "counter"}}));
        });
        section("a metric of the wrong type is missing", [] {
            const auto page = metricsOfPage("| `snipestream_a` | counter | | help |\n");
            CPPUNIT_ASSERT_EQUAL(std::string("snipestream_a (gauge)\n"), missingFrom({{"snipestream_a", "gauge"}}, page));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsPageTest);

} // namespace snipestream
