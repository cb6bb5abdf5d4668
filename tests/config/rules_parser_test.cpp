#include "config/rules_parser.h"

#include "config/config_state.h"
#include "config/path.h"
#include "tests/support/section.h"

#include <fstream>
#include <sstream>

#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

const std::string kHash = "hash=" + std::string(32, 'a') + ":" + std::string(64, 'b');
const std::string kRequestedBy = " # asked by Mair: more stock lookups";

auto errorsOf(const std::string &text) -> std::string
{
    std::string all;
    for (const RuleError &error : parseRules(text).errors) {
        all.append(toString(error)).append("\n");
    }
    return all;
}

auto readFile(const std::string &path) -> std::string
{
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

/// Guards against rules that change when they are formatted and parsed, errors that hide other errors, and paths that
/// reach another route than the one they match.
class RulesParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RulesParserTest);
    CPPUNIT_TEST(testEveryKind);
    CPPUNIT_TEST(testAllErrorsAtOnce);
    CPPUNIT_TEST(testErrorsBetweenRules);
    CPPUNIT_TEST(testAskedByIsRequired);
    CPPUNIT_TEST(testBaseRevision);
    CPPUNIT_TEST(testRulesSurviveFormatting);
    CPPUNIT_TEST(testDamagedFiles);
    CPPUNIT_TEST(testExamples);
    CPPUNIT_TEST(testRouteMatching);
    CPPUNIT_TEST(testAmbiguousPaths);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryKind()
    {
        const auto parsed
            = parseRules("# comment\n\ndomain Caerdydd weight=3" + kRequestedBy + "\r\n" + "team  studio\trate=20/s burst=40"
                         + kRequestedBy + "\n" + "key studio k1 " + kHash + kRequestedBy + "\n"
                         + "route deposit POST /deposits/ open=no idempotent=no service=bookings "
                           "priority=critical"
                         + kRequestedBy);
        CPPUNIT_ASSERT_EQUAL(std::string(), parsed.errors.empty() ? "" : toString(parsed.errors.front()));
        CPPUNIT_ASSERT_EQUAL(size_t{4}, parsed.rules.size());
        const RequestedBy requestedBy{"Mair", "more stock lookups"};
        CPPUNIT_ASSERT(parsed.rules[0] == Rule(DomainRule{DomainName("Caerdydd"), 3, requestedBy}));
        CPPUNIT_ASSERT(parsed.rules[1] == Rule(TeamRule{TeamName("studio"), 20, 40, requestedBy}));
        CPPUNIT_ASSERT(parsed.rules[2] == Rule(KeyRule{KeyId("k1"), TeamName("studio"), std::string(32, 'a'), std::string(64, 'b'), requestedBy}));
        CPPUNIT_ASSERT(parsed.rules[3]
                       == Rule(RouteRule{RouteName("deposit"), "POST", "/deposits", ServiceName("bookings"), Priority::Critical, false, false, requestedBy}));
    }

    void testAllErrorsAtOnce()
    {
        const std::string text = "teem a rate=1/s burst=1" + kRequestedBy + "\n" + "team a rate=0/s burst=x fast=1" + kRequestedBy + "\n" + "domain -a"
            + kRequestedBy + "\n" + "route r get stock service=s priority=urgent idempotent=maybe" + kRequestedBy + "\n" + "key a k.1 hash=00:11" + kRequestedBy
            + "\n";
        CPPUNIT_ASSERT_EQUAL(std::string("1:1: \"teem\" is not a rule kind; start the line with domain, team, key or route\n"
                                         "2:13: rate=\"0/s\" is not valid; write rate=<n>/s with a whole number from 1 to 1000000000\n"
                                         "2:23: burst=\"x\" is not valid; write burst=<n> with a whole number from 1 to 1000000000\n"
                                         "2:25: \"fast=1\" is not expected here; use the fields rate, burst as <field>=<value>\n"
                                         "3:8: \"-a\" is not valid as the name of the failure domain; use 1 to 63 letters, digits, '-', '_' "
                                         "and '.', starting with a letter or digit\n"
                                         "3:10: the field weight is missing; add weight=<value>\n"
                                         "4:9: \"get\" is not a method; use one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS in capitals\n"
                                         "4:13: \"stock\" is not a path prefix; start it with '/' and use at most 256 letters, digits and "
                                         "-._~!$&'()*+,=:@ without encoding\n"
                                         "4:38: \"urgent\" is not a priority; use critical, high, normal or low\n"
                                         "4:56: idempotent=\"maybe\" is not valid; write idempotent=yes or idempotent=no\n"
                                         "4:61: the field open is missing; add open=<value>\n"
                                         "5:7: \"k.1\" is not valid as the key id; use 1 to 63 letters, digits, '-' and '_', starting with a "
                                         "letter or digit\n"
                                         "5:16: the hash is not 32 and 64 lower-case hexadecimal digits joined by ':'; copy the line that "
                                         "\"snipestreamctl key new\" printed\n"),
                             errorsOf(text));
    }

    void testErrorsBetweenRules()
    {
        const std::string route = " GET /stock service=s priority=low idempotent=yes open=yes" + kRequestedBy + "\n";
        CPPUNIT_ASSERT_EQUAL(std::string("2:1: the rule \"team a\" is already defined in line 1; remove or rename one of them\n"
                                         "3:1: the key k1 names the team b, which has no rule; add a line \"team b rate=<n>/s "
                                         "burst=<n>\"\n"
                                         "5:1: the route in line 4 also matches GET /stock; change method or path prefix of one of "
                                         "them\n"),
                             errorsOf("team a rate=1/s burst=1" + kRequestedBy + "\nteam a rate=2/s burst=1" + kRequestedBy + "\nkey b k1 " + kHash
                                      + kRequestedBy + "\nroute r1" + route + "route r2" + route));
    }

    void testAskedByIsRequired()
    {
        for (const std::string comment : {"", " # because", " # asked by : why", " # asked by Mair:", " # asked by Mair"}) {
            section("with \"" + comment + "\"", [&] {
                const auto errors = parseRules("domain a weight=1" + comment).errors;
                CPPUNIT_ASSERT_EQUAL(size_t{1}, errors.size());
                CPPUNIT_ASSERT_EQUAL(std::string("end the line with \"# asked by <who>: <why>\""), errors[0].fix);
                CPPUNIT_ASSERT_EQUAL(size_t{comment.empty() ? 18U : 19U}, errors[0].column);
            });
        }
    }

    void testBaseRevision()
    {
        CPPUNIT_ASSERT(parseRules("# base revision: 41\n").baseRevision == uint64_t{41});
        CPPUNIT_ASSERT(!parseRules("# some text\n").baseRevision);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, parseRules("# base revision: x\n").errors.size());
    }

    void testRulesSurviveFormatting()
    {
        CPPUNIT_ASSERT(rc::check("parsing a formatted rule returns an equal rule", [] {
            const auto name = rc::gen::mapcat(rc::gen::inRange(0, 20), [](int length) {
                return rc::gen::map(rc::gen::container<std::string>(length, rc::gen::elementOf(std::string("aZ9-_"))), [](const std::string &tail) {
                    return "n" + tail;
                });
            });
            const RequestedBy requestedBy{*name, "why: " + *name + " \"\u00fc\" #1"};
            Rule rule;
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                rule = DomainRule{DomainName(*name), *rc::gen::inRange<uint32_t>(1, 1000000), requestedBy};
                break;
            case 1:
                rule = TeamRule{TeamName(*name), *rc::gen::inRange<uint64_t>(1, 1000000000), *rc::gen::inRange<uint64_t>(1, 1000000000), requestedBy};
                break;
            case 2:
                rule = KeyRule{KeyId(*name), TeamName(*name), std::string(32, 'f'), std::string(64, '0'), requestedBy};
                break;
            default:
                rule = RouteRule{RouteName(*name),
                                 "PUT",
                                 "/" + *name + "/" + *name,
                                 ServiceName(*name),
                                 static_cast<Priority>(*rc::gen::inRange(0, 4)),
                                 *rc::gen::arbitrary<bool>(),
                                 *rc::gen::arbitrary<bool>(),
                                 requestedBy};
            }
            RC_ASSERT(parseRuleLine(formatRule(rule)).value() == rule);
            const auto file = parseRules(formatRules({rule}, 7));
            RC_ASSERT(file.baseRevision == uint64_t{7});
            RC_ASSERT(std::holds_alternative<KeyRule>(rule) || file.rules == std::vector<Rule>{rule});
        }));
    }

    void testDamagedFiles()
    {
        const std::string valid = readFile("docs/examples/cymru.rules");
        CPPUNIT_ASSERT(rc::check("a damaged file is parsed or gives errors with line, column and fix", [&] {
            std::string text = valid;
            const auto count = *rc::gen::inRange(1, 20);
            for (int i = 0; i < count; ++i) {
                text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            const size_t lines = 1 + static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
            for (const RuleError &error : parseRules(text).errors) {
                RC_ASSERT(error.line >= 1 && error.line <= lines && error.column >= 1);
                RC_ASSERT(!error.message.empty() && !error.fix.empty());
            }
        }));
    }

    void testExamples()
    {
        for (const char *path : {"docs/examples/cymru.rules", "docs/examples/nairobi.rules"}) {
            section(path, [&] {
                const std::string text = readFile(path);
                CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(text));
                CPPUNIT_ASSERT(parseRules(text).rules.size() > 20);
            });
        }
    }

    void testRouteMatching()
    {
        ConfigState state;
        const auto add = [&state](const std::string &name, const std::string &method, const std::string &prefix) {
            RouteRule route;
            route.name = RouteName(name);
            route.method = method;
            route.pathPrefix = prefix;
            putRule(state, route, 1);
        };
        add("root", "GET", "/");
        add("stock", "GET", "/stock");
        add("colours", "GET", "/stock/colours");
        add("post", "POST", "/stock");
        const auto match = [&state](const std::string &method, const std::string &path) -> std::string {
            const auto route = matchRoute(state, method, path);
            return route ? route.value()->name.value : errorCodeName(route.error().code);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), match("GET", "/stock"));
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), match("GET", "/stock/"));
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), match("GET", "/stock/7?x=/stock/colours"));
        CPPUNIT_ASSERT_EQUAL(std::string("colours"), match("GET", "/stock/colours/red/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("colours"), match("GET", "/stock/%63olours"));
        CPPUNIT_ASSERT_EQUAL(std::string("stock"), match("GET", "/stock/coloursets"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), match("GET", "/stocks"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), match("GET", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string("post"), match("POST", "/stock/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("not-found"), match("POST", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string("not-found"), match("POST", "/stocks/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("not-found"), match("get", "/stock"));
    }

    void testAmbiguousPaths()
    {
        for (const std::string path : {"",
                                       "stock",
                                       "/open/../deposits",
                                       "/open/..",
                                       "/./deposits",
                                       "/open//deposits",
                                       "//deposits",
                                       "/open/%2e%2e/deposits",
                                       "/open/%2E./deposits",
                                       "/open%2fdeposits",
                                       "/open/..;x=1/deposits",
                                       "/open\\..\\deposits",
                                       "/open/%5c../x",
                                       "/a%00",
                                       "/a%0a",
                                       "/a%",
                                       "/a%4",
                                       "/a%zz",
                                       "/a b",
                                       "/\xc3\xbc"}) {
            section("path " + path, [&] {
                CPPUNIT_ASSERT(normalizePath(path).has_error());
                CPPUNIT_ASSERT(normalizePath(path).error().code == ErrorCode::InvalidInput);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b.c/\xc3\xbc"), normalizePath("/a/b.c/%c3%BC/?q=..").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesParserTest);

} // namespace snipestream
