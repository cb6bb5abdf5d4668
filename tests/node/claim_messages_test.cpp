#include "node/claim_messages.h"

#include <functional>
#include <iterator>
#include <limits>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace snipestream::testing
{

namespace
{

auto anyAttempt() -> RequestId
{
    return RequestId{*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()};
}

auto anyKey() -> ClaimKey
{
    return ClaimKey{TeamName(*rc::gen::string<std::string>()), *rc::gen::string<std::string>()};
}

/// Returns a response with arbitrary bytes in the body, as targets may send them. Header names and values are plain text.
auto anyResponse() -> RecordedResponse
{
    RecordedResponse response;
    response.status = *rc::gen::inRange(100, 600);
    response.body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    response.headers.emplace_back("Content-Type", "text/plain");
    return response;
}

/// Encodes and decodes JSON as CBOR, the encoding of the peer links.
auto cborRoundTrip(const nlohmann::json &json) -> nlohmann::json
{
    return nlohmann::json::from_cbor(nlohmann::json::to_cbor(json));
}

/// Returns a JSON value of any type, to replace a field by a value that the decoder does not expect.
auto anyValue() -> nlohmann::json
{
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<int64_t>();
    case 3:
        return *rc::gen::arbitrary<double>();
    case 4:
        return *rc::gen::string<std::string>();
    case 5:
        return nlohmann::json::array({1, "two"});
    case 6:
        return nlohmann::json::binary({1, 2, 3});
    case 7:
        return nlohmann::json{{"status", 200}};
    default:
        return std::numeric_limits<uint64_t>::max();
    }
}

/// Replaces or removes one random field, which may be in a nested object.
void damage(nlohmann::json &json)
{
    if (!json.is_object() || json.empty()) {
        json = anyValue();
        return;
    }
    auto field = json.begin();
    std::advance(field, *rc::gen::inRange<int>(0, static_cast<int>(json.size())));
    if (field->is_object() && *rc::gen::arbitrary<bool>()) {
        damage(*field);
    } else if (*rc::gen::arbitrary<bool>()) {
        json.erase(field);
    } else {
        *field = anyValue();
    }
}

/// Decodes with every decoder. Each must return a value or InvalidInput and must not throw.
void decodeAll(const nlohmann::json &json)
{
    const auto check = [](const auto &result) {
        const bool isAllowed = result.has_value() || result.error().code == ErrorCode::InvalidInput;
        RC_ASSERT(isAllowed);
    };
    check(beginRequestFromJson(json));
    check(endRequestFromJson(json));
    check(peekRequestFromJson(json));
    check(claimDecisionFromJson(json));
}

void assertHolds(const std::string &what, const std::function<void()> &property)
{
    CPPUNIT_ASSERT_MESSAGE(what, rc::check(what, property));
}

} // namespace

/// Tests the encoding of messages between entry nodes and claim owners. Guards against lost fields, such as the attempt id
/// by which a retried begin request does not count as a second attempt, and against a malformed message that terminates
/// the node.
class ClaimMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimMessagesTest);
    CPPUNIT_TEST(testRoundTrip);
    CPPUNIT_TEST(testDamagedMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoundTrip()
    {
        assertHolds("claim.begin", [] {
            BeginRequest request;
            request.key = anyKey();
            request.fingerprint = *rc::gen::arbitrary<uint64_t>();
            request.attempt = anyAttempt();
            request.attemptNumber = *rc::gen::arbitrary<uint32_t>();
            request.entryNode = NodeName("node-1");
            request.timeLeft = microseconds(*rc::gen::inRange<int64_t>(0, 86'400'000'000));
            const auto decoded = beginRequestFromJson(cborRoundTrip(toJson(request)));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().key == request.key);
            RC_ASSERT(decoded.value().fingerprint == request.fingerprint);
            RC_ASSERT(decoded.value().attempt == request.attempt);
            RC_ASSERT(decoded.value().attemptNumber == request.attemptNumber);
            RC_ASSERT(decoded.value().entryNode == request.entryNode);
            RC_ASSERT(decoded.value().timeLeft == request.timeLeft);
        });
        assertHolds("claim.end", [] {
            EndRequest request{anyKey(), anyAttempt(), {OutcomeKind::Done, std::nullopt}};
            request.outcome.kind = static_cast<OutcomeKind>(*rc::gen::inRange(0, 3));
            if (*rc::gen::arbitrary<bool>()) {
                request.outcome.response = anyResponse();
            }
            const auto decoded = endRequestFromJson(cborRoundTrip(toJson(request)));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().key == request.key);
            RC_ASSERT(decoded.value().attempt == request.attempt);
            RC_ASSERT(decoded.value().outcome.kind == request.outcome.kind);
            RC_ASSERT(decoded.value().outcome.response == request.outcome.response);
        });
        assertHolds("claim.peek", [] {
            const PeekRequest request{anyKey(), *rc::gen::arbitrary<uint32_t>()};
            const auto decoded = peekRequestFromJson(cborRoundTrip(toJson(request)));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().key == request.key);
            RC_ASSERT(decoded.value().attemptNumber == request.attemptNumber);
        });
        assertHolds("claim decision", [] {
            Refusal refusal;
            refusal.reason = static_cast<RefusalReason>(*rc::gen::inRange(0, kRefusalReasonCount));
            refusal.run = *rc::gen::arbitrary<bool>() ? RunState::NotRun : RunState::Unknown;
            refusal.retryAfter = microseconds(*rc::gen::inRange<int64_t>(0, 1'000'000'000));
            refusal.detail = *rc::gen::string<std::string>();
            const auto refused = claimDecisionFromJson(cborRoundTrip(toJson(ClaimDecision(Refused{refusal}))));
            RC_ASSERT(refused.has_value());
            RC_ASSERT(std::get<Refused>(refused.value()).refusal == refusal);
            const RecordedResponse response = anyResponse();
            const auto replay = claimDecisionFromJson(cborRoundTrip(toJson(ClaimDecision(Replay{response}))));
            RC_ASSERT(replay.has_value());
            RC_ASSERT(std::get<Replay>(replay.value()).response == response);
        });
        for (const ClaimDecision &decision : {ClaimDecision(Granted{}), ClaimDecision(Wait{})}) {
            const auto decoded = claimDecisionFromJson(cborRoundTrip(toJson(decision)));
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(decision.index(), decoded.value().index());
        }
    }

    void testDamagedMessages()
    {
        assertHolds("a damaged message is decoded or returns InvalidInput", [] {
            BeginRequest begin;
            begin.key = anyKey();
            const EndRequest end{anyKey(), anyAttempt(), {OutcomeKind::Done, anyResponse()}};
            std::vector<nlohmann::json> messages{toJson(begin), toJson(end), toJson(PeekRequest{anyKey(), 1}), toJson(ClaimDecision(Replay{anyResponse()})),
                                                 toJson(ClaimDecision(Refused{}))};
            for (auto &message : messages) {
                const int faults = *rc::gen::inRange(1, 4);
                for (int i = 0; i < faults; ++i) {
                    damage(message);
                }
                decodeAll(message);
            }
            decodeAll(anyValue());
        });
        CPPUNIT_ASSERT(!claimDecisionFromJson({{"verdict", "maybe"}}));
        CPPUNIT_ASSERT(!endRequestFromJson({{"team", "a"}, {"key", "k"}, {"attemptHigh", 1}, {"attemptLow", 1}, {"kind", 3}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimMessagesTest);

} // namespace snipestream::testing
