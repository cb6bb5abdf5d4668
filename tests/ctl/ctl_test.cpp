#include "ctl/command_line.h"

#include "config/fold.h"
#include "config/rules_parser.h"
#include "ctl/node_commands.h"
#include "ctl/publisher.h"
#include "ctl/rules_commands.h"
#include "tests/standins/fake_log.h"
#include "tests/support/section.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <map>

#include <rapidcheck.h>
#include <unistd.h>

namespace snipestream
{

using testing::FakeLog;
using testing::LogFaults;
using testing::section;
using Json = nlohmann::json;

namespace
{

const std::string kRequestedBySuffix = " # asked by ops: test\n";

/// The operator tool with a fake log, fake nodes and a clock that advances only while the tool sleeps.
struct CtlFixture {
    CtlFixture()
    {
        context.log = log.client();
        context.nodeTransport = [this](const Endpoint &node) -> HttpTransport {
            return [this, node](const std::string &method, const std::string &path, const std::string &, Duration) -> Result<HttpResponse> {
                calls.push_back(method + " " + std::to_string(node.port) + path);
                return answer(node, method + " " + path);
            };
        };
        context.now = [this] {
            return now;
        };
        context.sleep = [this](Duration pause) {
            now += pause;
            ++sleeps;
            if (onSleep) {
                onSleep();
            }
        };
        context.wallMs = [] {
            return int64_t{1000};
        };
        context.newId = [this] {
            return "id-" + std::to_string(++ids);
        };
        context.progress = [this](const std::string &line) {
            progress.push_back(line);
        };
        options.by = "Mair";
        answer = [](const Endpoint &, const std::string &) -> Result<HttpResponse> {
            return failure(ErrorCode::Unavailable, "nobody listens");
        };
    }

    ~CtlFixture()
    {
        std::remove(file.c_str());
    }

    CtlFixture(const CtlFixture &) = delete;
    auto operator=(const CtlFixture &) -> CtlFixture & = delete;

    /// Writes a rules file and runs a command with it.
    auto runWithRules(const std::string &command, const std::string &text) -> CtlReport
    {
        std::ofstream(file) << text;
        return runCommand(context, options, {command, file});
    }

    auto run(const std::vector<std::string> &words) -> CtlReport
    {
        return runCommand(context, options, words);
    }

    auto records() -> size_t
    {
        return log.read(kConfigStream, 0, 10000).value().records.size();
    }

    FakeLog log;
    CtlContext context;
    CtlOptions options;
    TimePoint now{};
    int sleeps = 0;
    int ids = 0;
    std::function<void()> onSleep;
    std::function<Result<HttpResponse>(const Endpoint &, const std::string &)> answer;
    std::vector<std::string> calls;
    std::vector<std::string> progress;
    std::string file = "/tmp/snipestream-ctl-test-" + std::to_string(getpid()) + ".rules";
};

auto team(const std::string &name, int rate) -> std::string
{
    return "team " + name + " rate=" + std::to_string(rate) + "/s burst=5" + kRequestedBySuffix;
}

/// Appends a change of another operator, as happens between the read and the append of this operator.
void appendConcurrentChange(FakeLog &log, uint64_t base, const std::string &line)
{
    ChangeRecord change{"rival-" + std::to_string(base), base, "Rhian", {}, {}};
    change.upserts.push_back(parseRuleLine(line.substr(0, line.find('\n'))).value());
    CPPUNIT_ASSERT(log.append(kConfigStream, encodeChange(change)));
}

void assertExit(ExitCode expected, const CtlReport &report)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.text, static_cast<int>(expected), static_cast<int>(report.exit));
}

} // namespace

/// Guards against an operator tool that reports a wrong verdict of a change, or publishes the change twice.
class CtlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CtlTest);
    CPPUNIT_TEST(testCheckAndDiff);
    CPPUNIT_TEST(testPublish);
    CPPUNIT_TEST(testLostResponses);
    CPPUNIT_TEST(testConcurrentChange);
    CPPUNIT_TEST(testBaseRevision);
    CPPUNIT_TEST(testWithdrawKey);
    CPPUNIT_TEST(testNewKey);
    CPPUNIT_TEST(testWait);
    CPPUNIT_TEST(testNodes);
    CPPUNIT_TEST(testAuditAndExport);
    CPPUNIT_TEST(testUsage);
    CPPUNIT_TEST(testAnyNodeResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCheckAndDiff()
    {
        CtlFixture fixture;
        assertExit(ExitCode::Ok, fixture.runWithRules("check", team("a", 1)));
        section("errors are listed with file, line and column", [&] {
            const auto report = fixture.runWithRules("check", "team a rate=x burst=1\n");
            assertExit(ExitCode::Refused, report);
            CPPUNIT_ASSERT(report.text.find(fixture.file + ":1:13: ") == 0);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, report.document["errors"].size());
        });
        section("a file that does not exist", [&] {
            assertExit(ExitCode::Refused, fixture.run({"check", "/nonexistent"}));
        });
        section("diff shows additions, changes and removals and appends nothing", [&] {
            assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1) + team("b", 1)));
            const auto report = fixture.runWithRules("diff", team("a", 2) + team("c", 1));
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, report.document["added"].size());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, report.document["changed"].size());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, report.document["removed"].size());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.records());
        });
    }

    void testPublish()
    {
        CtlFixture fixture;
        const auto first = fixture.runWithRules("publish", team("a", 1));
        assertExit(ExitCode::Ok, first);
        CPPUNIT_ASSERT_EQUAL(std::string("applied"), first.document["verdict"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1, first.document["revision"].get<int>());
        section("publishing the same file again appends nothing", [&] {
            assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1)));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.records());
        });
        section("a log that is down", [&] {
            fixture.log.setFaults(LogFaults{true, {}, 0});
            assertExit(ExitCode::Unavailable, fixture.runWithRules("publish", team("a", 2)));
            fixture.log.setFaults({});
        });
        section("a log that stays down after the read gives the change id to repeat", [&] {
            fixture.context.log.append = [](const std::string &, const std::string &) -> Result<uint64_t> {
                return failure(ErrorCode::Unavailable, "the log is down");
            };
            const auto report = fixture.runWithRules("publish", team("a", 2));
            assertExit(ExitCode::Unavailable, report);
            CPPUNIT_ASSERT(report.text.find("--change-id=" + report.document["change"].get<std::string>()) != std::string::npos);
            CPPUNIT_ASSERT(fixture.now - TimePoint() <= fixture.options.publishTimeout);
        });
    }

    void testLostResponses()
    {
        section("the change is appended once although the response was lost", [&] {
            CtlFixture fixture;
            fixture.log.setFaults(LogFaults{false, {}, 1});
            const auto report = fixture.runWithRules("publish", team("a", 1));
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), report.document["verdict"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.records());
        });
        section("the append is repeated when it had no effect, with the same id", [&] {
            CtlFixture fixture;
            int failures = 2;
            fixture.context.log.append = [&](const std::string &stream, const std::string &payload) -> Result<uint64_t> {
                if (failures-- > 0) {
                    return failure(ErrorCode::Timeout, "no answer");
                }
                return fixture.log.append(stream, payload);
            };
            assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1)));
            CPPUNIT_ASSERT_EQUAL(2, fixture.sleeps);
            CPPUNIT_ASSERT_EQUAL(1, fixture.ids);
        });
        section("a late first copy makes the second one a duplicate, and the change is still reported as applied", [&] {
            CtlFixture fixture;
            std::string delayed;
            fixture.context.log.append = [&](const std::string &stream, const std::string &payload) -> Result<uint64_t> {
                if (delayed.empty()) {
                    delayed = payload;
                    return failure(ErrorCode::Timeout, "no answer");
                }
                (void)fixture.log.append(stream, delayed);
                return fixture.log.append(stream, payload);
            };
            const auto report = fixture.runWithRules("publish", team("a", 1));
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, fixture.records());
            CPPUNIT_ASSERT_EQUAL(0, report.document["offset"].get<int>());
        });
        section("a later run with the change id reports its verdict", [&] {
            CtlFixture fixture;
            fixture.options.changeId = "mine";
            assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1)));
            const auto report = fixture.runWithRules("publish", team("a", 1));
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), report.document["verdict"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.records());
        });
    }

    void testConcurrentChange()
    {
        CtlFixture fixture;
        assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1)));
        bool isAppended = false;
        fixture.context.log.append = [&](const std::string &stream, const std::string &payload) {
            if (!isAppended) {
                appendConcurrentChange(fixture.log, 1, team("a", 7));
                isAppended = true;
            }
            return fixture.log.append(stream, payload);
        };
        const auto report = fixture.runWithRules("publish", team("a", 2));
        assertExit(ExitCode::Refused, report);
        CPPUNIT_ASSERT_EQUAL(std::string("conflict"), report.document["verdict"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("rule \"team a\" was changed at revision 2 by Rhian, after base revision 1"),
                             report.document["detail"].get<std::string>());
    }

    void testBaseRevision()
    {
        CtlFixture fixture;
        assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1) + team("b", 1)));
        const std::string exported = fixture.run({"export"}).text;
        assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 7) + team("b", 1)));
        section("an export made before another change is refused where both differ", [&] {
            const auto report = fixture.runWithRules("publish", exported);
            assertExit(ExitCode::Refused, report);
            CPPUNIT_ASSERT(report.text.find("was changed at revision 2") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, fixture.records());
        });
        section("a fresh export publishes", [&] {
            assertExit(ExitCode::Ok, fixture.runWithRules("publish", fixture.run({"export"}).text + team("c", 1)));
        });
    }

    void testWithdrawKey()
    {
        CtlFixture fixture;
        fixture.options.reason = "test";
        const std::string line = fixture.run({"key", "new", "a", "k1"}).document["rule"];
        assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1) + line + "\n"));
        assertExit(ExitCode::Refused, fixture.run({"withdraw-key", "k2"}));
        section("a withdrawal is applied although the rule is changed concurrently", [&] {
            bool isAppended = false;
            fixture.context.log.append = [&](const std::string &stream, const std::string &payload) {
                if (!isAppended) {
                    isAppended = true;
                    appendConcurrentChange(fixture.log, 1, line.substr(0, line.find(" # ")) + " # asked by Rhian: other reason");
                }
                return fixture.log.append(stream, payload);
            };
            assertExit(ExitCode::Ok, fixture.run({"withdraw-key", "k1"}));
            CPPUNIT_ASSERT(readInForce(fixture.context).value().state.index.keys.empty());
        });
        section("withdrawing it again succeeds and appends nothing", [&] {
            const size_t before = fixture.records();
            const auto report = fixture.run({"withdraw-key", "k1"});
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(3, report.document["revision"].get<int>());
            CPPUNIT_ASSERT_EQUAL(before, fixture.records());
        });
        section("a file that still has the key is refused before it is published", [&] {
            const auto report = fixture.runWithRules("publish", team("a", 1) + line + "\n");
            assertExit(ExitCode::Refused, report);
            CPPUNIT_ASSERT(report.text.find("was withdrawn at revision 3") != std::string::npos);
        });
    }

    void testNewKey()
    {
        CtlFixture fixture;
        assertExit(ExitCode::Usage, fixture.run({"key", "new", "a", "k1"}));
        fixture.options.reason = "first key";
        const auto report = fixture.run({"key", "new", "a", "k1"});
        assertExit(ExitCode::Ok, report);
        const auto rule = parseRuleLine(report.document["rule"].get<std::string>()).value();
        ConfigFold fold;
        putRule(fold.state, rule, 1);
        CPPUNIT_ASSERT(authenticate(fold.state, fold.keyCache, report.document["authorization"].get<std::string>()).value() == TeamName("a"));
        assertExit(ExitCode::Usage, fixture.run({"key", "new", "a", "k.1"}));
        fixture.options.by = "Mair: Bala";
        section("a name that does not fit into the rule line is refused", [&] {
            assertExit(ExitCode::Usage, fixture.run({"key", "new", "a", "k1"}));
        });
    }

    void testWait()
    {
        CtlFixture fixture;
        fixture.context.nodes = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
        fixture.options.wait = true;
        fixture.answer = [&](const Endpoint &node, const std::string &) -> Result<HttpResponse> {
            const bool ready = node.port == 1 || fixture.sleeps >= 3;
            return HttpResponse{200, Json{{"revision", ready ? 1 : 0}}.dump()};
        };
        section("all nodes report the revision after a while, with progress", [&] {
            const auto report = fixture.runWithRules("publish", team("a", 1));
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(2, report.document["nodesReady"].get<int>());
            CPPUNIT_ASSERT_EQUAL(600, report.document["waitedMs"].get<int>());
            CPPUNIT_ASSERT_EQUAL(std::string("1 of 2 nodes have revision 1 in force"), fixture.progress.front());
            CPPUNIT_ASSERT_EQUAL(std::string("2 of 2 nodes have revision 1 in force"), fixture.progress.back());
        });
        section("a node that stays behind is named", [&] {
            fixture.answer = [](const Endpoint &node, const std::string &) -> Result<HttpResponse> {
                return HttpResponse{node.port == 1 ? 200 : 500, R"({"revision":1})"};
            };
            const auto report = fixture.runWithRules("publish", team("a", 2));
            assertExit(ExitCode::Unavailable, report);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, report.document["nodesBehind"].size());
            CPPUNIT_ASSERT(report.text.find("127.0.0.1:1 at revision 1") != std::string::npos);
        });
    }

    void testNodes()
    {
        CtlFixture fixture;
        fixture.context.nodes = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
        fixture.answer = [](const Endpoint &node, const std::string &) -> Result<HttpResponse> {
            if (node.port == 3) {
                return failure(ErrorCode::Timeout, "no answer");
            }
            const Json counted = {{"admitted", 10 * node.port}, {"completed", 9}, {"wasted", 1}, {"refused", {{"rate-exceeded", node.port}}}};
            return HttpResponse{200,
                                Json{{"node", "n" + std::to_string(node.port)},
                                     {"domain", "d"},
                                     {"incarnation", 5},
                                     {"revision", 7},
                                     {"offset", 8},
                                     {"configAgeMs", 250},
                                     {"teams", {{"a", counted}}}}
                                    .dump()};
        };
        section("status lists the nodes that answer and fails for the others", [&] {
            const auto report = fixture.run({"status"});
            assertExit(ExitCode::Unavailable, report);
            CPPUNIT_ASSERT(report.text.find("n1    d       127.0.0.1:1  7         8       250            5") != std::string::npos);
            CPPUNIT_ASSERT(report.text.find("failed: 127.0.0.1:3 no answer") != std::string::npos);
        });
        fixture.context.nodes.pop_back();
        section("share sums the counts of the nodes", [&] {
            const auto report = fixture.run({"share", "a"});
            assertExit(ExitCode::Ok, report);
            CPPUNIT_ASSERT_EQUAL(30, report.document["admitted"].get<int>());
            CPPUNIT_ASSERT_EQUAL(18, report.document["completed"].get<int>());
            CPPUNIT_ASSERT_EQUAL(2, report.document["wasted"].get<int>());
            CPPUNIT_ASSERT_EQUAL(3, report.document["refused"]["rate-exceeded"].get<int>());
        });
        section("a team that no node has counted", [&] {
            CPPUNIT_ASSERT_EQUAL(0, fixture.run({"share", "zzz"}).document["nodes"].get<int>());
        });
        section("drains go to the admin paths", [&] {
            fixture.calls.clear();
            assertExit(ExitCode::Ok, fixture.run({"drain", "node"}));
            assertExit(ExitCode::Ok, fixture.run({"drain", "target", "stock-1"}));
            CPPUNIT_ASSERT_EQUAL(std::string("POST 1/snipestream/v1/drain"), fixture.calls.front());
            CPPUNIT_ASSERT_EQUAL(std::string("POST 2/snipestream/v1/targets/stock-1/drain"), fixture.calls.back());
            assertExit(ExitCode::Usage, fixture.run({"drain", "target", "../drain"}));
        });
        section("a node that refuses gives its reason", [&] {
            fixture.answer = [](const Endpoint &, const std::string &) -> Result<HttpResponse> {
                return HttpResponse{404, R"({"detail":"there is no target x"})"};
            };
            const auto report = fixture.run({"drain", "target", "x"});
            assertExit(ExitCode::Refused, report);
            CPPUNIT_ASSERT(report.text.find("there is no target x") != std::string::npos);
        });
    }

    void testAuditAndExport()
    {
        CtlFixture fixture;
        assertExit(ExitCode::Ok, fixture.runWithRules("publish", team("a", 1)));
        appendConcurrentChange(fixture.log, 0, team("a", 7));
        const auto report = fixture.run({"audit"});
        CPPUNIT_ASSERT_EQUAL(size_t{2}, report.document["entries"].size());
        CPPUNIT_ASSERT(report.text.find("conflict  Rhian  team a (rule \"team a\" was changed at revision 1 by Mair") != std::string::npos);
        CPPUNIT_ASSERT(fixture.run({"export"}).text.find("# base revision: 1\n\n" + team("a", 1)) == 0);
        CPPUNIT_ASSERT(fixture.run({"events"}).text.find("SNS2001") != std::string::npos);
    }

    void testUsage()
    {
        CtlFixture fixture;
        const std::vector<std::vector<std::string>> wrong = {{}, {"frob"}, {"check"}, {"check", "a", "b"}, {"key"}, {"status"}, {"drain", "node"}};
        for (const auto &words : wrong) {
            section("words " + std::to_string(words.size()), [&] {
                assertExit(ExitCode::Usage, fixture.run(words));
            });
        }
        fixture.options.by = " ";
        assertExit(ExitCode::Usage, fixture.run({"publish", "x"}));
        CPPUNIT_ASSERT(parseFlags({"check", "--frob=1"}).error().code == ErrorCode::InvalidInput);
        CPPUNIT_ASSERT(parseFlags({"check", "file"}).value() == (std::vector<std::string>{"check", "file"}));
        CPPUNIT_ASSERT_EQUAL(size_t{2}, parseEndpoints("127.0.0.1:1, [::1]:2").value().size());
        CPPUNIT_ASSERT(parseEndpoints("127.0.0.1").has_error());
        for (const char *word : {"publish FILE", "withdraw-key KEYID", "--change-id", "exit codes"}) {
            CPPUNIT_ASSERT(usageText().find(word) != std::string::npos);
        }
    }

    void testAnyNodeResponse()
    {
        const std::string valid = R"({"teams":{"a":{"admitted":1,"refused":{"x":2}}},"entries":[{"offset":1,"touched":["r"]}],"node":"n"})";
        CPPUNIT_ASSERT(rc::check("a damaged node response gives a report and no crash", [&] {
            CtlFixture fixture;
            fixture.context.nodes = {{"127.0.0.1", 1}};
            std::string body = valid;
            const auto count = *rc::gen::inRange(1, 6);
            for (int i = 0; i < count; ++i) {
                body[*rc::gen::inRange<size_t>(0, body.size())] = *rc::gen::elementOf(std::string("{}[]\":,1-an\xff"));
            }
            fixture.answer = [&](const Endpoint &, const std::string &) -> Result<HttpResponse> {
                return HttpResponse{200, body};
            };
            for (const auto &words : std::vector<std::vector<std::string>>{{"status"}, {"share", "a"}, {"audit"}}) {
                RC_ASSERT(!fixture.run(words).text.empty());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

} // namespace snipestream
