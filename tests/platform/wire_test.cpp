#include "platform/policy_document.h"
#include "platform/request_fields.h"
#include "platform/store_client.h"
#include "platform/target_messages.h"

#include "tests/support/section.h"

#include <map>

namespace snipestream
{

using testing::section;

namespace
{

const std::string kDocument = R"({"Version":"0000000c","BaseVersion":"0000000b","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-stock"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":5000,
 "TargetLatencyMs":1200,"Priority":2,"TrafficSplit":[{"Service":"old","Weight":90},{"Service":"new","Weight":10}],"MaxAttempts":2,"Public":false}},
{"Type":"Routes","Metadata":{"Name":"r-deep"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/deep/","Kind":"upload","TimeoutMs":900,
 "Priority":0,"Service":"bookings","MaxAttempts":2,"Public":true}},
{"Type":"Services","Metadata":{"Name":"old"},"Spec":{"HealthPath":"/healthz","MaxConnections":250,"Protocol":"h1","Tls":false}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":["k1","k2"],"Priority":1,"RatePerS":300,"Burst":30}},
{"Type":"Tenants","Metadata":{"Name":"small"},"Spec":{"ApiKeys":["k3"]}},
{"Type":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":8192,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";

auto heartbeat(const std::string &body) -> std::optional<Result<TargetMessage>>
{
    return decodeTargetMessage("POST", "/-/Instances.Heartbeat/i-7", body);
}

auto bigEndian(uint64_t value, int width) -> std::string
{
    std::string bytes;
    for (int i = width - 1; i >= 0; --i) {
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(8 * i)) & 0xFFU));
    }
    return bytes;
}

auto record(const std::string &key, const std::string &value) -> std::string
{
    return bigEndian(key.size() + value.size() + 1, 4) + bigEndian(key.size(), 1) + key + value;
}

/// Returns a store that looks up its responses by path.
auto storeOf(std::map<std::string, HttpResponse> responses) -> StoreClient
{
    StoreClient store;
    store.transport = [responses](const std::string &, const std::string &path, const std::string &, Duration) -> Result<HttpResponse> {
        const auto found = responses.find(path);
        if (found == responses.end()) {
            return failure(ErrorCode::NotFound, "no response for " + path);
        }
        return found->second;
    };
    return store;
}

} // namespace

class WireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(testPolicy);
    CPPUNIT_TEST(testInvalidPolicy);
    CPPUNIT_TEST(testHeartbeats);
    CPPUNIT_TEST(testRequestFields);
    CPPUNIT_TEST(testStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPolicy()
    {
        const auto decoded = decodePolicy(kDocument);
        CPPUNIT_ASSERT_MESSAGE(decoded ? "" : decoded.error().message, decoded.has_value());
        const Policy &policy = decoded.value();
        section("versions are hexadecimal", [&] {
            CPPUNIT_ASSERT_EQUAL(uint64_t{12}, policy.version);
        });
        section("the longest matching prefix is chosen; query, port and the case of the host are ignored", [&] {
            CPPUNIT_ASSERT(findRoute(policy, "STUDIO.example:80", "/stock/7?x=/stock/deep/")->name == RouteName("r-stock"));
            CPPUNIT_ASSERT(findRoute(policy, "studio.example", "/stock/deep/7")->name == RouteName("r-deep"));
            CPPUNIT_ASSERT(findRoute(policy, "studio.example", "/stock") == nullptr);
            CPPUNIT_ASSERT(findRoute(policy, "other.example", "/stock/7") == nullptr);
        });
        section("an upload may not be retried", [&] {
            CPPUNIT_ASSERT(!findRoute(policy, "studio.example", "/stock/deep/7")->idempotent);
        });
        section("a team is found by each of its keys; a team without a rate has no limit", [&] {
            CPPUNIT_ASSERT(findTeam(policy, "k2")->name == TeamName("studio"));
            CPPUNIT_ASSERT(findTeam(policy, "k2")->priority == 1);
            CPPUNIT_ASSERT_EQUAL(0.0, findTeam(policy, "k3")->ratePerSecond);
            CPPUNIT_ASSERT(findTeam(policy, "k4") == nullptr);
        });
        CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, policy.limits.maxBodyBytes);
    }

    /// Guards against an invalid configuration that is partially applied.
    void testInvalidPolicy()
    {
        // Guards against a team that is refused for good, because its tokens, in millionths, are more than a 64-bit number holds.
        section("a rate or burst above a billion, as for a team without a limit, counts as a billion", [] {
            std::string document = kDocument;
            const std::string quota = R"("RatePerS":300,"Burst":30)";
            document.replace(document.find(quota), quota.size(), R"("RatePerS":1e15,"Burst":18446744073709551615)");
            const auto decodedQuota = decodePolicy(document);
            CPPUNIT_ASSERT(decodedQuota.has_value());
            CPPUNIT_ASSERT_EQUAL(1e9, decodedQuota.value().teams.at(0).ratePerSecond);
            CPPUNIT_ASSERT_EQUAL(1e9, decodedQuota.value().teams.at(0).burst);
        });
        section("a truncated document is rejected as a whole", [] {
            for (size_t length = 0; length < kDocument.size(); length += 7) {
                CPPUNIT_ASSERT(!decodePolicy(kDocument.substr(0, length)).has_value());
            }
        });
        section("a document with a field that is missing, of the wrong type or out of range is rejected as a whole", [] {
            for (const auto &[from, to] : std::map<std::string, std::string>{
                     {"\"0000000c\"", "12"},
                     {"\"TimeoutMs\":5000", "\"TimeoutMs\":\"soon\""},
                     {"\"TimeoutMs\":900,", ""},
                     {"[\"k3\"]", "[3]"},
                     {"\"Weight\":90", "\"Weight\":-1"},
                 }) {
                std::string damaged = kDocument;
                damaged.replace(damaged.find(from), from.size(), to);
                CPPUNIT_ASSERT_MESSAGE(to, !decodePolicy(damaged).has_value());
            }
        });
    }

    void testHeartbeats()
    {
        const std::string good = R"({"Service":"diary","Address":"10.0.0.9:8080","Zone":"east","Version":"v1","Slots":25,"State":"draining",)"
                                 R"("ColdLeftMs":700,"Seq":4,"born":1796364201750})";
        section("a valid announcement is decoded", [&] {
            const auto message = heartbeat(good);
            CPPUNIT_ASSERT(message && message->has_value());
            const auto &announcement = *message->value().announcement;
            CPPUNIT_ASSERT(announcement.instance == "i-7" && announcement.draining && announcement.sequence == 4);
            CPPUNIT_ASSERT(announcement.endpoint == (Endpoint{"10.0.0.9", 8080}) && announcement.startedAtMs == 1796364201750);
        });
        section("a damaged announcement is rejected", [&] {
            for (const auto &[from, to] : std::map<std::string, std::string>{
                     {"\"Slots\":25", "\"Slots\":\"many\""},
                     {"\"Slots\":25,", ""},
                     {"draining", "asleep"},
                     {"10.0.0.9:8080", "10.0.0.9"},
                     {"10.0.0.9:8080", "10.0.0.9:99999"},
                     {"\"Seq\":4", "\"Seq\":-4"},
                     {"1796364201750", "\"now\""},
                 }) {
                std::string damaged = good;
                damaged.replace(damaged.find(from), from.size(), to);
                const auto message = heartbeat(damaged);
                CPPUNIT_ASSERT_MESSAGE(to, message && !message->has_value());
            }
            CPPUNIT_ASSERT(!heartbeat("\xff\x01{").value().has_value());
            CPPUNIT_ASSERT(!decodeTargetMessage("POST", "/-/Instances.Heartbeat/", good)->has_value());
            // A name that does not fit into the record of the VM would make the record unreadable.
            CPPUNIT_ASSERT(!decodeTargetMessage("POST", "/-/Instances.Deregister/" + std::string(256, 'i'), "")->has_value());
            CPPUNIT_ASSERT(decodeTargetMessage("POST", "/-/Instances.Deregister/" + std::string(255, 'i'), "")->has_value());
            CPPUNIT_ASSERT(!decodeTargetMessage("POST", "/-/Instances.Deregister/i-\xff", "")->has_value());
        });
        section("a deregistration needs no body", [] {
            const auto message = decodeTargetMessage("POST", "/-/Instances.Deregister/i-7", "");
            CPPUNIT_ASSERT(message && message->has_value() && !message->value().announcement && message->value().instance == "i-7");
        });
        section("other requests are not target messages", [] {
            CPPUNIT_ASSERT(!decodeTargetMessage("GET", "/-/Instances.Heartbeat/i-7", ""));
            CPPUNIT_ASSERT(!decodeTargetMessage("POST", "/stock/7", ""));
        });
    }

    void testRequestFields()
    {
        section("the system's fields replace those of the caller, and the API key is removed", [] {
            HeaderList headers = {{"Host", "studio.example"},
                                  {"api-key", "k1"},
                                  {"X-Snipestream-Tenant", "other"},
                                  {"x-snipestream-caller-service", "other"},
                                  {"X-Snipestream-Deadline-Ms", "99999"},
                                  {"X-Other", "kept"}};
            const CallerFields caller = readCallerFields(headers);
            CPPUNIT_ASSERT(caller.apiKey == "k1" && caller.timeLeft == Duration(milliseconds(99999)));
            setTargetFields(headers, {"i-7", milliseconds(250), TeamName("studio"), ServiceName("catalogue")});
            CPPUNIT_ASSERT(!findHeader(headers, "Api-Key"));
            CPPUNIT_ASSERT(*findHeader(headers, "X-Snipestream-Tenant") == "studio");
            CPPUNIT_ASSERT(*findHeader(headers, "X-Snipestream-Caller-Service") == "catalogue");
            CPPUNIT_ASSERT(*findHeader(headers, "X-Snipestream-Deadline-Ms") == "250");
            CPPUNIT_ASSERT(*findHeader(headers, "X-Other") == "kept");
        });
        section("on an open route the tenant that the caller sent is removed", [] {
            HeaderList headers = {{"X-Snipestream-Tenant", "other"}};
            setTargetFields(headers, {"i-7", milliseconds(250), TeamName(), ServiceName("catalogue")});
            CPPUNIT_ASSERT(!findHeader(headers, "X-Snipestream-Tenant"));
        });
        section("only a header or status 421 of the target means that a request did not run", [] {
            CPPUNIT_ASSERT(!readTargetResponse(503, {}).notExecuted);
            CPPUNIT_ASSERT(readTargetResponse(503, {{"X-Snipestream-Not-Executed", "1"}}).notExecuted);
            CPPUNIT_ASSERT(readTargetResponse(421, {}).notExecuted);
        });
    }

    void testStore()
    {
        section("changes are read with their offsets; a malformed record is skipped but counts as one offset", [] {
            const std::string body = bigEndian(12, 8) + bigEndian(3, 8) + record("config", "{}") + bigEndian(2, 4) + std::string("\x09x") + record("gone", "");
            const auto store = storeOf({{"/-/log-read?Topic=keyed.op&part=0&StartRev=9&WaitMs=100", {200, body}}});
            const auto page = readChanges(store, operatorTopic(), 9, milliseconds(100));
            CPPUNIT_ASSERT(page.has_value());
            const std::vector<KeyedRecord> expected = {{"config", "{}", 9}, {"gone", "", 11}};
            CPPUNIT_ASSERT(page.value().records == expected);
            CPPUNIT_ASSERT_EQUAL(uint64_t{12}, page.value().nextOffset);
            section("a truncated body is an error or has fewer records", [&body] {
                for (size_t length = 0; length < body.size(); ++length) {
                    const auto truncated = storeOf({{"/-/log-read?Topic=keyed.op&part=0&StartRev=9&WaitMs=100", {200, body.substr(0, length)}}});
                    const auto result = readChanges(truncated, operatorTopic(), 9, milliseconds(100));
                    CPPUNIT_ASSERT(!result.has_value() || result.value().records.size() < 2);
                }
            });
        });
        section("expired records and a busy store cause different errors", [] {
            const std::string path = "/-/log-read?Topic=keyed.op&part=0&StartRev=9&WaitMs=0";
            CPPUNIT_ASSERT(readChanges(storeOf({{path, {410, ""}}}), operatorTopic(), 9, {}).error().code == ErrorCode::Expired);
            CPPUNIT_ASSERT(readChanges(storeOf({{path, {429, ""}}}), operatorTopic(), 9, {}).error().code == ErrorCode::Unavailable);
        });
        section("all pages of the newest records are read; the next offset is the end of the first page", [] {
            const auto store = storeOf({
                {"/-/log-newest?Topic=keyed.nodes&part=0", {200, R"({"items":[{"Key":"a","Value":"eA==","Offset":4}],"HasMore":true,"EndOffset":6})"}},
                {"/-/log-newest?Topic=keyed.nodes&part=0&after=a", {200, R"({"items":[{"Key":"b","Value":"","Offset":7}],"HasMore":false,"EndOffset":8})"}},
            });
            const auto page = readNewest(store, nodesTopic());
            CPPUNIT_ASSERT(page.has_value());
            const std::vector<KeyedRecord> expected = {{"a", "x", 4}, {"b", "", 7}};
            CPPUNIT_ASSERT(page.value().records == expected);
            CPPUNIT_ASSERT_EQUAL(uint64_t{6}, page.value().nextOffset);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);

} // namespace snipestream
