#include "node/forward.h"

#include "net/fiber_event.h"
#include "tests/support/section.h"

#include <deque>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

/// A body in memory to read from: returns its chunks one by one and then ends, fails, or blocks until it is cancelled.
struct BodySource {
    enum class End {
        Complete,
        Truncated,
        Blocked,
    };
    std::deque<std::string> pieces;
    End end = End::Complete;

    auto read(FiberEvent &cancelled) -> Result<BodyChunk>
    {
        if (!pieces.empty()) {
            std::string piece = std::move(pieces.front());
            pieces.pop_front();
            return BodyChunk{std::move(piece), pieces.empty() && end == End::Complete};
        }
        if (end == End::Complete) {
            return BodyChunk{{}, true};
        }
        if (end == End::Blocked) {
            cancelled.wait();
            return failure(ErrorCode::Cancelled, "cancelled");
        }
        return failure(ErrorCode::Closed, "the body was cut");
    }
};

/// Records what is written to a body.
struct BodySink {
    std::string bytes;
    bool finished = false;
    bool aborted = false;

    auto writer() -> BodyWriter
    {
        BodyWriter writer;
        writer.write = [this](const std::string &chunk) -> Result<void> {
            if (aborted) {
                return failure(ErrorCode::Closed, "aborted");
            }
            bytes += chunk;
            return success();
        };
        writer.finish = [this]() -> Result<void> {
            finished = true;
            return success();
        };
        writer.abort = [this] {
            aborted = true;
        };
        return writer;
    }
};

/// An exchange and an outbound call in memory, to be connected by forwardExchange().
struct ForwardHarness {
    BodySource request;
    BodySink sent;
    BodySource response;
    BodySink passed;
    Result<ResponseHead> head = ResponseHead{};
    /// The response head arrives only after the whole request body was sent.
    bool headAfterBody = false;
    bool cancelledByCaller = false;
    int cancelCount = 0;
    std::optional<ResponseHead> responded;
    std::function<void()> onCancel;
    FiberEvent requestCancelled;
    FiberEvent responseCancelled;
    FiberEvent bodyEnded;

    auto exchange() -> Exchange
    {
        Exchange exchange;
        exchange.requestBody.read = [this] {
            return request.read(requestCancelled);
        };
        exchange.respond = [this](const ResponseHead &responseHead) -> Result<void> {
            responded = responseHead;
            return success();
        };
        exchange.responseBody = passed.writer();
        exchange.isCancelled = [this] {
            return cancelledByCaller;
        };
        exchange.onCancel = [this](std::function<void()> function) {
            onCancel = std::move(function);
        };
        return exchange;
    }

    auto call() -> OutboundCall
    {
        OutboundCall call;
        call.requestBody = sent.writer();
        call.requestBody.finish = [this]() -> Result<void> {
            sent.finished = true;
            bodyEnded.notify();
            return success();
        };
        call.awaitHead = [this]() -> Result<ResponseHead> {
            if (headAfterBody) {
                bodyEnded.wait();
            }
            if (cancelCount > 0) {
                return failure(ErrorCode::Cancelled, "cancelled");
            }
            return head;
        };
        call.responseBody.read = [this] {
            return response.read(responseCancelled);
        };
        call.cancel = [this] {
            ++cancelCount;
            bodyEnded.notify();
            requestCancelled.notify();
            responseCancelled.notify();
        };
        call.mayHaveBeenSent = [this] {
            return !sent.bytes.empty() || sent.finished;
        };
        return call;
    }

    auto forward(bool passOn = true, size_t captureBytes = 0) -> ForwardResult
    {
        FiberRuntime runtime;
        ForwardResult result;
        runtime.runToEnd([&] {
            Exchange inbound = exchange();
            OutboundCall outbound = call();
            const auto prefix = readBodyPrefix(inbound);
            if (!prefix) {
                result.error = prefix.error();
                return;
            }
            const HeadFilter filter = [passOn](ResponseHead &) {
                return passOn;
            };
            result = forwardExchange(runtime, inbound, outbound, prefix.value(), filter, captureBytes);
        });
        return result;
    }
};

} // namespace

/// Tests forwardExchange(). Guards I7: a body that is truncated on one side never looks complete on the other, and a
/// failure on one side never leaves the other waiting.
class ForwardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(testCompleteBodies);
    CPPUNIT_TEST(testTruncatedRequest);
    CPPUNIT_TEST(testTruncatedResponse);
    CPPUNIT_TEST(testResponseBeforeEndOfRequest);
    CPPUNIT_TEST(testWithheldHead);
    CPPUNIT_TEST(testCapture);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCompleteBodies()
    {
        for (const auto &pieces : std::vector<std::deque<std::string>>{{}, {"a"}, {"a", "bc", ""}, {"", "x"}}) {
            ForwardHarness harness;
            harness.request.pieces = pieces;
            harness.headAfterBody = true;
            harness.response.pieces = {"answer ", "in ", "pieces"};
            std::string expected;
            for (const auto &piece : pieces) {
                expected += piece;
            }
            const ForwardResult result = harness.forward();
            CPPUNIT_ASSERT(result.complete && result.passedOn && !result.error);
            CPPUNIT_ASSERT_EQUAL(expected, harness.sent.bytes);
            CPPUNIT_ASSERT(harness.sent.finished && !harness.sent.aborted);
            CPPUNIT_ASSERT_EQUAL(std::string("answer in pieces"), harness.passed.bytes);
            CPPUNIT_ASSERT(harness.passed.finished && !harness.passed.aborted);
        }
    }

    void testTruncatedRequest()
    {
        for (const bool callerLeft : {false, true}) {
            ForwardHarness harness;
            harness.request = {{"half"}, BodySource::End::Truncated};
            harness.headAfterBody = true;
            harness.cancelledByCaller = callerLeft;
            if (!callerLeft) {
                // The receiver ends the call because it refused to read the rest of the body.
                harness.headAfterBody = false;
                harness.head = failure(ErrorCode::Closed, "the request was cut");
            }
            const ForwardResult result = harness.forward();
            CPPUNIT_ASSERT(!result.complete && !result.passedOn);
            CPPUNIT_ASSERT(result.error.has_value());
            CPPUNIT_ASSERT(result.mayHaveBeenSent);
            CPPUNIT_ASSERT(harness.sent.aborted && !harness.sent.finished);
            CPPUNIT_ASSERT(!harness.passed.finished);
        }
    }

    void testTruncatedResponse()
    {
        ForwardHarness harness;
        harness.response = {{"half"}, BodySource::End::Truncated};
        const ForwardResult result = harness.forward();
        CPPUNIT_ASSERT(result.passedOn && !result.complete);
        CPPUNIT_ASSERT(result.error->code == ErrorCode::Closed);
        CPPUNIT_ASSERT_EQUAL(std::string("half"), harness.passed.bytes);
        CPPUNIT_ASSERT(harness.passed.aborted && !harness.passed.finished);
    }

    void testResponseBeforeEndOfRequest()
    {
        ForwardHarness harness;
        harness.request = {{"first"}, BodySource::End::Blocked};
        harness.response.pieces = {"too large"};
        const ForwardResult result = harness.forward();
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT(harness.passed.finished);
        CPPUNIT_ASSERT(!harness.sent.finished);
        CPPUNIT_ASSERT(harness.cancelCount > 0);
    }

    void testWithheldHead()
    {
        ForwardHarness harness;
        harness.head = ResponseHead{503, {}, std::nullopt, std::nullopt, std::nullopt};
        harness.response.pieces = {"not for the caller"};
        const ForwardResult result = harness.forward(false);
        CPPUNIT_ASSERT(!result.passedOn && !result.complete);
        CPPUNIT_ASSERT_EQUAL(503, result.head->status);
        CPPUNIT_ASSERT(!harness.responded.has_value());
        CPPUNIT_ASSERT(harness.passed.bytes.empty() && !harness.passed.finished);
        CPPUNIT_ASSERT(harness.cancelCount > 0);
    }

    void testCapture()
    {
        section("a response body of exactly the capture limit is captured completely", [] {
            ForwardHarness harness;
            harness.response.pieces = {"123", "45"};
            const ForwardResult result = harness.forward(true, 5);
            CPPUNIT_ASSERT(result.capturedWhole);
            CPPUNIT_ASSERT_EQUAL(std::string("12345"), result.captured);
        });
        section("a longer body is passed on completely and does not count as captured", [] {
            ForwardHarness harness;
            harness.response.pieces = {"123", "456", ""};
            const ForwardResult result = harness.forward(true, 5);
            CPPUNIT_ASSERT(result.complete && !result.capturedWhole);
            CPPUNIT_ASSERT_EQUAL(std::string("123456"), harness.passed.bytes);
        });
        section("a truncated body does not count as captured", [] {
            ForwardHarness harness;
            harness.response = {{"123"}, BodySource::End::Truncated};
            CPPUNIT_ASSERT(!harness.forward(true, 5).capturedWhole);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

} // namespace snipestream::testing
