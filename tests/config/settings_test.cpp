#include "config/settings.h"

#include "tests/support/section.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace snipestream
{

using testing::section;
using Json = nlohmann::json;

namespace
{

auto minimalSettings() -> Json
{
    return Json{{"node", "n1"},
                {"domain", "Caerdydd"},
                {"fleetSecret", "a secret of 16 or more"},
                {"callerListen", "0.0.0.0:7000"},
                {"peerListen", "10.0.0.1:7001"},
                {"targetListen", "127.0.0.1:7002"},
                {"log", "10.0.0.9:7400"}};
}

auto errorsOf(const Json &document) -> std::string
{
    return joinErrors(parseSettings(document.dump()).errors, "\n");
}

} // namespace

/// Guards against settings that are ignored, settings that are accepted although they cannot work, and errors that are
/// reported one at a time.
class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(testDefaults);
    CPPUNIT_TEST(testEveryFieldIsRead);
    CPPUNIT_TEST(testAllErrorsAtOnce);
    CPPUNIT_TEST(testSingleErrors);
    CPPUNIT_TEST(testFiles);
    CPPUNIT_TEST(testDamagedSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void testDefaults()
    {
        const auto result = parseSettings(minimalSettings().dump());
        CPPUNIT_ASSERT_EQUAL(std::string(), joinErrors(result.errors, "\n"));
        CPPUNIT_ASSERT(result.settings.peerListen == (Endpoint{"10.0.0.1", 7001}));
        CPPUNIT_ASSERT(result.settings.timeouts.request == seconds(30));
        CPPUNIT_ASSERT(result.settings.shutdownDeadline == seconds(30));
        CPPUNIT_ASSERT(result.settings.seedPeers.empty());
    }

    void testEveryFieldIsRead()
    {
        Json document = minimalSettings();
        document["domains"] = {"Caerdydd", "Wrecsam"};
        document["seedPeers"] = {"10.0.0.2:7001", "[fd00::1]:7001"};
        document["timeouts"] = {{"requestMs", 1}, {"connectMs", 2}, {"readHeadMs", 3}, {"idleMs", 4}, {"logMs", 5}, {"peerMs", 6}};
        document["limits"] = {{"maxHeaderBytes", 2000}, {"maxBodyBytes", 3000}, {"maxConnections", 4}};
        document["retention"] = {{"ageMs", 7000}, {"records", 800}};
        document["shutdownDeadlineMs"] = 9;
        const auto result = parseSettings(document.dump());
        CPPUNIT_ASSERT_EQUAL(std::string(), joinErrors(result.errors, "\n"));
        const Settings &settings = result.settings;
        CPPUNIT_ASSERT(settings.domains == (std::vector<DomainName>{DomainName("Caerdydd"), DomainName("Wrecsam")}));
        CPPUNIT_ASSERT(settings.seedPeers.back() == (Endpoint{"fd00::1", 7001}));
        CPPUNIT_ASSERT(settings.timeouts.request == milliseconds(1) && settings.timeouts.connect == milliseconds(2)
                       && settings.timeouts.readHead == milliseconds(3) && settings.timeouts.idle == milliseconds(4) && settings.timeouts.log == milliseconds(5)
                       && settings.timeouts.peer == milliseconds(6));
        CPPUNIT_ASSERT(settings.limits.maxHeaderBytes == 2000 && settings.limits.maxBodyBytes == 3000 && settings.limits.maxConnections == 4);
        CPPUNIT_ASSERT(settings.retention.age == milliseconds(7000) && settings.retention.records == 800);
        CPPUNIT_ASSERT(settings.shutdownDeadline == milliseconds(9));
    }

    void testAllErrorsAtOnce()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("$.node: \"-\" is not a name of 1 to 63 letters, digits, '-', '_' and '.', starting with a "
                                         "letter or digit\n"
                                         "$.domain: is missing\n"
                                         "$.fleetSecret: has fewer than 16 characters\n"
                                         "$.callerListen: \"here\" is not <IP address>:<port> with a port from 1 to 65535, such as "
                                         "127.0.0.1:7000 or [::1]:7000\n"
                                         "$.peerListen: is a number, expected a string\n"
                                         "$.targetListen: \"10.0.0.1:7002\" is not on loopback; targets and operators connect from "
                                         "this VM, use 127.0.0.1:<port>\n"
                                         "$.log: \"0.0.0.0:1\" is a wildcard address; other VMs connect to this endpoint, use the VM's "
                                         "own address\n"
                                         "$.seedPeers[0]: is a boolean, expected a string\n"
                                         "$.limits.maxBodyBytes: is \"-1\", expected a whole number from 1024 to 1099511627776\n"
                                         "$.limits.maxBodys: is not a known field\n"
                                         "$.extra: is not a known field"),
                             errorsOf(Json{{"node", "-"},
                                           {"fleetSecret", "too short"},
                                           {"callerListen", "here"},
                                           {"peerListen", 7},
                                           {"targetListen", "10.0.0.1:7002"},
                                           {"log", "0.0.0.0:1"},
                                           {"seedPeers", {true}},
                                           {"limits", {{"maxBodyBytes", -1}, {"maxBodys", 1}}},
                                           {"extra", nullptr}}));
    }

    void testSingleErrors()
    {
        const std::vector<std::tuple<std::string, Json, std::string>> cases = {
            {"fleetSecret", "", "$.fleetSecret: has fewer than 16 characters"},
            {"callerListen", "10.0.0.1:7001", "$.peerListen: is 10.0.0.1:7001, the same as callerListen"},
            {"callerListen", "10.0.0.1:0", "$.callerListen: "},
            {"callerListen", "10.0.0.1:65536", "$.callerListen: "},
            {"callerListen", "::1:7000", "$.callerListen: "},
            {"peerListen", "0.0.0.0:7001", "$.peerListen: "},
            {"domains", {"Wrecsam"}, "$.domains: lacks the node's own failure domain \"Caerdydd\""},
            {"domains", {"Caerdydd", "Caerdydd"}, "$.domains: "},
            {"timeouts", 5, "$.timeouts: is a number, expected an object"},
            {"shutdownDeadlineMs", 1.5, "$.shutdownDeadlineMs: is \"1.5\""},
            {"retention", {{"records", 10}}, "$.retention.records: is 10, expected 0 or at least 100"},
        };
        for (const auto &[field, value, expected] : cases) {
            section(expected, [&, name = field, expectedText = expected, input = value] {
                Json document = minimalSettings();
                document[name] = input;
                CPPUNIT_ASSERT_EQUAL(expectedText, errorsOf(document).substr(0, expectedText.size()));
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string("$: the text is not valid JSON at line 2"), joinErrors(parseSettings("{\n\"a\":,\n}").errors, "\n"));
    }

    void testFiles()
    {
        CPPUNIT_ASSERT(loadSettings("/nonexistent").error().code == ErrorCode::NotFound);
        const auto example = loadSettings("docs/examples/snipestreamd.json");
        CPPUNIT_ASSERT_MESSAGE(example ? "" : example.error().message, example.has_value());
    }

    void testDamagedSettings()
    {
        const std::string valid = minimalSettings().dump();
        CPPUNIT_ASSERT(rc::check("damaged settings are parsed or give errors with a path", [&] {
            std::string text = valid;
            const auto count = *rc::gen::inRange(1, 6);
            for (int i = 0; i < count; ++i) {
                text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            for (const JsonError &error : parseSettings(text).errors) {
                RC_ASSERT(error.path.rfind('$', 0) == 0);
                RC_ASSERT(!error.message.empty());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace snipestream
