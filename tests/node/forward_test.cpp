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

/// A body to read: pieces that arrive one by one, then its end, a failure, or nothing until it is cancelled.
struct Source {
    enum class End {
        Whole,
        Cut,
        Hangs,
    };
    std::deque<std::string> pieces;
    End end = End::Whole;

    auto read(FiberEvent &cancelled) -> Result<BodyChunk>
    {
        if (!pieces.empty()) {
            std::string piece = std::move(pieces.front());
            pieces.pop_front();
            return BodyChunk{std::move(piece), pieces.empty() && end == End::Whole};
        }
        if (end == End::Whole) {
            return BodyChunk{{}, true};
        }
        if (end == End::Hangs) {
            cancelled.wait();
            return failure(ErrorCode::Cancelled, "cancelled");
        }
        return failure(ErrorCode::Closed, "the body was cut");
    }
};

/// What a receiver of a body got.
struct Sink {
    std::string bytes;
    bool finished = false;
    bool aborted = false;

    auto writer() -> BodyWriter
    {
        BodyWriter writer;
        writer.write = [this](const std::string &piece) -> Result<void> {
            if (aborted) {
                return failure(ErrorCode::Closed, "aborted");
            }
            bytes += piece;
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

/// One exchange and one call in memory.
struct World {
    Source request;
    Sink sent;
    Source answer;
    Sink passed;
    Result<ResponseHead> head = ResponseHead{};
    /// The answer's head comes only after the whole request body was sent.
    bool headAfterBody = false;
    bool cancelledByCaller = false;
    int cancels = 0;
    std::optional<ResponseHead> responded;
    std::function<void()> onCancel;
    FiberEvent requestCancelled;
    FiberEvent answerCancelled;
    FiberEvent bodyEnded;

    auto exchange() -> Exchange
    {
        Exchange exchange;
        exchange.requestBody.read = [this] {
            return request.read(requestCancelled);
        };
        exchange.respond = [this](const ResponseHead &given) -> Result<void> {
            responded = given;
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
            if (cancels > 0) {
                return failure(ErrorCode::Cancelled, "cancelled");
            }
            return head;
        };
        call.responseBody.read = [this] {
            return answer.read(answerCancelled);
        };
        call.cancel = [this] {
            ++cancels;
            bodyEnded.notify();
            requestCancelled.notify();
            answerCancelled.notify();
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
            Exchange used = exchange();
            OutboundCall out = call();
            const auto start = readBodyStart(used);
            if (!start) {
                result.error = start.error();
                return;
            }
            const HeadFilter filter = [passOn](ResponseHead &) {
                return passOn;
            };
            result = forwardExchange(runtime, used, out, start.value(), filter, captureBytes);
        });
        return result;
    }
};

} // namespace

/// Connecting an exchange to a call. Guards I7: a body that is cut on one side never looks whole on the other, and no
/// failure of one side leaves the other waiting.
class ForwardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(testWhole);
    CPPUNIT_TEST(testCutRequest);
    CPPUNIT_TEST(testCutAnswer);
    CPPUNIT_TEST(testAnswerBeforeTheEndOfTheRequest);
    CPPUNIT_TEST(testRejectedHead);
    CPPUNIT_TEST(testCapture);
    CPPUNIT_TEST_SUITE_END();

public:
    void testWhole()
    {
        for (const auto &pieces : std::vector<std::deque<std::string>>{{}, {"a"}, {"a", "bc", ""}, {"", "x"}}) {
            World world;
            world.request.pieces = pieces;
            world.headAfterBody = true;
            world.answer.pieces = {"answer ", "in ", "pieces"};
            std::string expected;
            for (const auto &piece : pieces) {
                expected += piece;
            }
            const ForwardResult result = world.forward();
            CPPUNIT_ASSERT(result.complete && result.passedOn && !result.error);
            CPPUNIT_ASSERT_EQUAL(expected, world.sent.bytes);
            CPPUNIT_ASSERT(world.sent.finished && !world.sent.aborted);
            CPPUNIT_ASSERT_EQUAL(std::string("answer in pieces"), world.passed.bytes);
            CPPUNIT_ASSERT(world.passed.finished && !world.passed.aborted);
        }
    }

    void testCutRequest()
    {
        for (const bool callerLeft : {false, true}) {
            World world;
            world.request = {{"half"}, Source::End::Cut};
            world.headAfterBody = true;
            world.cancelledByCaller = callerLeft;
            if (!callerLeft) {
                // The receiver answers a body that it refused to read on.
                world.headAfterBody = false;
                world.head = failure(ErrorCode::Closed, "the request was cut");
            }
            const ForwardResult result = world.forward();
            CPPUNIT_ASSERT(!result.complete && !result.passedOn);
            CPPUNIT_ASSERT(result.error.has_value());
            CPPUNIT_ASSERT(result.mayHaveBeenSent);
            CPPUNIT_ASSERT(world.sent.aborted && !world.sent.finished);
            CPPUNIT_ASSERT(!world.passed.finished);
        }
    }

    void testCutAnswer()
    {
        World world;
        world.answer = {{"half"}, Source::End::Cut};
        const ForwardResult result = world.forward();
        CPPUNIT_ASSERT(result.passedOn && !result.complete);
        CPPUNIT_ASSERT(result.error->code == ErrorCode::Closed);
        CPPUNIT_ASSERT_EQUAL(std::string("half"), world.passed.bytes);
        CPPUNIT_ASSERT(world.passed.aborted && !world.passed.finished);
    }

    void testAnswerBeforeTheEndOfTheRequest()
    {
        World world;
        world.request = {{"first"}, Source::End::Hangs};
        world.answer.pieces = {"too large"};
        const ForwardResult result = world.forward();
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT(world.passed.finished);
        CPPUNIT_ASSERT(!world.sent.finished);
        CPPUNIT_ASSERT(world.cancels > 0);
    }

    void testRejectedHead()
    {
        World world;
        world.head = ResponseHead{503, {}, std::nullopt, std::nullopt, std::nullopt};
        world.answer.pieces = {"not for the caller"};
        const ForwardResult result = world.forward(false);
        CPPUNIT_ASSERT(!result.passedOn && !result.complete);
        CPPUNIT_ASSERT_EQUAL(503, result.head->status);
        CPPUNIT_ASSERT(!world.responded.has_value());
        CPPUNIT_ASSERT(world.passed.bytes.empty() && !world.passed.finished);
        CPPUNIT_ASSERT(world.cancels > 0);
    }

    void testCapture()
    {
        section("an answer of exactly the limit is captured whole", [] {
            World world;
            world.answer.pieces = {"123", "45"};
            const ForwardResult result = world.forward(true, 5);
            CPPUNIT_ASSERT(result.capturedWhole);
            CPPUNIT_ASSERT_EQUAL(std::string("12345"), result.captured);
        });
        section("a longer one is passed on whole and never counts as captured whole", [] {
            World world;
            world.answer.pieces = {"123", "456", ""};
            const ForwardResult result = world.forward(true, 5);
            CPPUNIT_ASSERT(result.complete && !result.capturedWhole);
            CPPUNIT_ASSERT_EQUAL(std::string("123456"), world.passed.bytes);
        });
        section("a cut one is not captured whole", [] {
            World world;
            world.answer = {{"123"}, Source::End::Cut};
            CPPUNIT_ASSERT(!world.forward(true, 5).capturedWhole);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

} // namespace snipestream::testing
