#include "peer/stream_table.h"

#include "core/random.h"
#include "tests/support/section.h"

#include <algorithm>
#include <array>
#include <map>

#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

/// Functions under test; a test may replace each by a faulty version.
struct Receivers {
    std::function<StreamEvent(StreamTable &, ChunkFrame)> chunk = receiveChunk;
    std::function<StreamEvent(StreamTable &, const EndFrame &)> end = receiveEnd;
    std::function<StreamEvent(StreamTable &, const AbortFrame &)> abort = receiveAbort;
};

/// Bytes that one end of one stream has written and read.
struct Body {
    std::string written;
    std::string read;
    bool finished = false;
    bool readToEnd = false;
    bool failed = false;
};

struct End {
    StreamTable table;
    std::map<uint64_t, std::shared_ptr<StreamState>> streams;
    std::map<uint64_t, Body> bodies;
    /// Encoded frames in flight to this end.
    std::vector<std::string> incoming;
    /// Frames that were delivered and may be delivered again.
    std::vector<std::string> delivered;
};

/// Two ends of a link with a simulated network that may duplicate, reorder and delay frames. The oracle checks that the
/// bytes read are a prefix of the bytes written to the same stream, and that a body ends only where its writer ended it.
class LinkSimulation
{
public:
    LinkSimulation(uint64_t seed, bool hasFaults, Receivers receivers)
        : random_(seed)
        , hasFaults_(hasFaults)
        , receivers_(std::move(receivers))
    {
        for (End &end : ends_) {
            end.table.window = end.table.peerWindow = kWindow;
        }
        ends_[0].table.role = LinkRole::Dialler;
        ends_[1].table.role = LinkRole::Acceptor;
    }

    /// Runs the steps; returns the problem that the oracle found, or an empty string.
    auto run(int steps) -> std::string
    {
        for (int i = 0; i < steps && problem_.empty() && !closed_; ++i) {
            step();
        }
        // Delivers and reads the remaining frames; without faults the link must not have been closed.
        for (int i = 0; i < 2000 && problem_.empty() && !closed_; ++i) {
            deliver(i % 2, false);
            readAny(ends_[i % 2], i);
        }
        if (!hasFaults_ && closed_) {
            return "a link without faults was closed: " + closeReason_;
        }
        return problem_;
    }

private:
    static constexpr uint64_t kWindow = 1000;

    void step()
    {
        End &end = ends_[drawBelow(random_, 2)];
        switch (drawBelow(random_, 10)) {
        case 0:
            open();
            return;
        case 1:
        case 2:
            write(end);
            return;
        case 3:
            if (drawBelow(random_, 3) == 0) {
                finish(end);
            }
            return;
        case 4:
            if (drawBelow(random_, 20) == 0) {
                abort(end);
            }
            return;
        case 5:
        case 6:
            readAny(end, drawBelow(random_, 100));
            return;
        default:
            deliver(drawBelow(random_, 2), hasFaults_);
        }
    }

    void post(const End &from, const Frame &frame)
    {
        std::string bytes;
        encodeFrame(frame, bytes);
        ends_[&from == &ends_[0] ? 1 : 0].incoming.push_back(bytes);
    }

    void open()
    {
        End &end = ends_[0];
        const uint64_t id = nextOutboundId(end.table);
        end.streams[id] = startStream(end.table, id);
        post(end, OpenFrame{id, {}});
    }

    auto pick(End &end) -> std::shared_ptr<StreamState>
    {
        if (end.streams.empty()) {
            return nullptr;
        }
        return std::next(end.streams.begin(), static_cast<long>(drawBelow(random_, end.streams.size())))->second;
    }

    void write(End &end)
    {
        const auto stream = pick(end);
        if (!stream) {
            return;
        }
        if (end.table.role == LinkRole::Acceptor && sendHead(end.table, *stream)) {
            post(end, HeadFrame{stream->id, {}});
        }
        std::string bytes(1 + drawBelow(random_, 600), '\0');
        std::generate(bytes.begin(), bytes.end(), [this] {
            return static_cast<char>(random_());
        });
        size_t position = 0;
        const auto frame = sendChunk(end.table, *stream, bytes, position);
        if (frame && frame.value()) {
            end.bodies[stream->id].written += bytes.substr(0, position);
            post(end, *frame.value());
        }
    }

    void finish(End &end)
    {
        const auto stream = pick(end);
        if (!stream) {
            return;
        }
        if (const auto frame = sendEnd(end.table, *stream)) {
            end.bodies[stream->id].finished = true;
            post(end, frame.value());
        }
    }

    void abort(End &end)
    {
        const auto stream = pick(end);
        if (!stream) {
            return;
        }
        if (const auto frame = sendAbort(end.table, *stream, {ErrorCode::Cancelled, "test"})) {
            post(end, *frame);
        }
    }

    void readAny(End &end, uint64_t pickNumber)
    {
        if (end.streams.empty()) {
            return;
        }
        const auto stream = std::next(end.streams.begin(), static_cast<long>(pickNumber % end.streams.size()))->second;
        Body &reader = end.bodies[stream->id];
        if (reader.readToEnd || reader.failed) {
            return;
        }
        const auto result = readBody(end.table, *stream);
        if (!result) {
            reader.failed = true;
            return;
        }
        if (!result.value()) {
            return;
        }
        if (result.value()->credit) {
            post(end, *result.value()->credit);
        }
        reader.read += result.value()->chunk.bytes;
        const Body &writer = ends_[&end == &ends_[0] ? 1 : 0].bodies[stream->id];
        if (writer.written.compare(0, reader.read.size(), reader.read) != 0) {
            problem_ = "stream " + std::to_string(stream->id) + " read bytes that were not written there";
        }
        if (result.value()->chunk.last) {
            reader.readToEnd = true;
            if (!writer.finished || reader.read != writer.written) {
                problem_ = "stream " + std::to_string(stream->id) + " ended before its writer";
            }
        }
        if (stream->unreadBytes > kWindow) {
            problem_ = "stream " + std::to_string(stream->id) + " holds more than its window";
        }
    }

    void deliver(size_t index, bool withFaults)
    {
        End &end = ends_[index];
        if (withFaults && !end.delivered.empty() && drawBelow(random_, 30) == 0) {
            receive(end, end.delivered[drawBelow(random_, end.delivered.size())]);
            return;
        }
        if (end.incoming.empty()) {
            return;
        }
        size_t at = 0;
        if (withFaults && drawBelow(random_, 15) == 0) {
            at = drawBelow(random_, std::min<size_t>(end.incoming.size(), 4));
        }
        const std::string bytes = end.incoming[at];
        end.incoming.erase(end.incoming.begin() + static_cast<long>(at));
        end.delivered.push_back(bytes);
        receive(end, bytes);
    }

    void receive(End &end, std::string_view bytes)
    {
        auto frame = decodeFrame(bytes);
        if (!frame) {
            problem_ = "a frame did not decode";
            return;
        }
        const StreamEvent event = apply(end, std::move(frame.value()));
        if (event.verdict == FrameVerdict::Violation) {
            closed_ = true;
            closeReason_ = event.reason;
            for (End &each : ends_) {
                abortAll(each.table, {ErrorCode::Closed, "link closed"});
                // Bytes received before the close can still be read and must be correct.
                for (uint64_t i = 0; i < 300; ++i) {
                    readAny(each, i);
                }
            }
        }
    }

    auto apply(End &end, Frame &&frame) -> StreamEvent
    {
        if (const auto *open = std::get_if<OpenFrame>(&frame)) {
            if (!admitInboundId(end.table, open->id)) {
                return {FrameVerdict::Violation, nullptr, "open"};
            }
            end.streams[open->id] = startStream(end.table, open->id);
            return {};
        }
        if (auto *head = std::get_if<HeadFrame>(&frame)) {
            return receiveHead(end.table, std::move(*head));
        }
        if (auto *chunk = std::get_if<ChunkFrame>(&frame)) {
            return receivers_.chunk(end.table, std::move(*chunk));
        }
        if (const auto *credit = std::get_if<CreditFrame>(&frame)) {
            return receiveCredit(end.table, *credit);
        }
        if (const auto *last = std::get_if<EndFrame>(&frame)) {
            return receivers_.end(end.table, *last);
        }
        return receivers_.abort(end.table, std::get<AbortFrame>(frame));
    }

    Random random_;
    bool hasFaults_;
    Receivers receivers_;
    std::array<End, 2> ends_;
    std::string problem_;
    std::string closeReason_;
    bool closed_ = false;
};

/// Returns in how many of 300 runs with faults the oracle found a problem.
auto countProblems(const Receivers &receivers) -> int
{
    int count = 0;
    for (uint64_t seed = 0; seed < 300; ++seed) {
        count += LinkSimulation(seed, true, receivers).run(400).empty() ? 0 : 1;
    }
    return count;
}

} // namespace

/// Guards against a body that is changed or ended early by a duplicate, reordered, late or foreign frame.
class StreamTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamTableTest);
    CPPUNIT_TEST(testFaultyNetwork);
    CPPUNIT_TEST(testOracleSeesFaults);
    CPPUNIT_TEST(testViolations);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFaultyNetwork()
    {
        section("frames in order", [] {
            CPPUNIT_ASSERT(rc::check([](uint64_t seed) {
                RC_ASSERT(LinkSimulation(seed, false, {}).run(600) == std::string());
            }));
        });
        section("frames duplicated, reordered and late", [] {
            CPPUNIT_ASSERT(rc::check([](uint64_t seed) {
                RC_ASSERT(LinkSimulation(seed, true, {}).run(600) == std::string());
            }));
        });
    }

    /// Each replaced function has a fault that the code could have; the oracle must detect all of them.
    void testOracleSeesFaults()
    {
        CPPUNIT_ASSERT_EQUAL(0, countProblems({}));
        section("chunks are accepted at any offset", [] {
            Receivers receivers;
            receivers.chunk = [](StreamTable &table, ChunkFrame frame) {
                const auto found = table.live.find(frame.id);
                frame.offset = found == table.live.end() ? 0 : found->second->received;
                return receiveChunk(table, std::move(frame));
            };
            CPPUNIT_ASSERT(countProblems(receivers) > 0);
        });
        section("the length in the end frame is not compared", [] {
            Receivers receivers;
            receivers.end = [](StreamTable &table, EndFrame frame) {
                const auto found = table.live.find(frame.id);
                frame.length = found == table.live.end() ? 0 : found->second->received;
                return receiveEnd(table, frame);
            };
            CPPUNIT_ASSERT(countProblems(receivers) > 0);
        });
        section("an abort ends a body regularly", [] {
            Receivers receivers;
            receivers.abort = [](StreamTable &table, const AbortFrame &frame) {
                const auto found = table.live.find(frame.id);
                if (found != table.live.end()) {
                    found->second->inboundEnded = true;
                }
                return receiveAbort(table, frame);
            };
            CPPUNIT_ASSERT(countProblems(receivers) > 0);
        });
        section("a chunk goes to another stream", [] {
            Receivers receivers;
            receivers.chunk = [](StreamTable &table, ChunkFrame frame) {
                for (const auto &[id, stream] : table.live) {
                    if (id != frame.id && stream->received == frame.offset) {
                        frame.id = id;
                        break;
                    }
                }
                return receiveChunk(table, std::move(frame));
            };
            CPPUNIT_ASSERT(countProblems(receivers) > 0);
        });
    }

    void testViolations()
    {
        StreamTable table;
        table.role = LinkRole::Acceptor;
        CPPUNIT_ASSERT(admitInboundId(table, 5));
        const auto stream = startStream(table, 5);
        const auto isViolation = [](const StreamEvent &event) {
            return event.verdict == FrameVerdict::Violation;
        };
        section("ids must grow, so a duplicate open frame does not run a request again", [&] {
            CPPUNIT_ASSERT(!admitInboundId(table, 5));
            CPPUNIT_ASSERT(!admitInboundId(table, 4));
        });
        section("frames of a stream that was never opened", [&] {
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {6, 0, "x"})));
            CPPUNIT_ASSERT(isViolation(receiveEnd(table, {0, 0})));
        });
        section("frames of a stream that has ended are dropped", [&] {
            CPPUNIT_ASSERT(receiveChunk(table, {4, 0, "x"}).verdict == FrameVerdict::Dropped);
            CPPUNIT_ASSERT(receiveAbort(table, {3, {}, false}).verdict == FrameVerdict::Dropped);
        });
        section("chunks of a wrong size, at a wrong offset or beyond the credit", [&] {
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 0, ""})));
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 0, std::string(kMaxChunkBytes + 1, 'x')})));
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 1, "x"})));
            stream->receiveLimit = 10;
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 0, std::string(11, 'x')})));
            CPPUNIT_ASSERT(receiveChunk(table, {5, 0, std::string(10, 'x')}).verdict == FrameVerdict::Accepted);
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 10, "x"})));
        });
        section("credit for bytes that were never sent, and a head at the wrong end", [&] {
            CPPUNIT_ASSERT(isViolation(receiveCredit(table, {5, table.peerWindow + 1})));
            CPPUNIT_ASSERT(isViolation(receiveHead(table, {5, {}})));
        });
        section("a chunk after the end", [&] {
            CPPUNIT_ASSERT(receiveEnd(table, {5, 10}).verdict == FrameVerdict::Accepted);
            CPPUNIT_ASSERT(isViolation(receiveChunk(table, {5, 10, "x"})));
            CPPUNIT_ASSERT(isViolation(receiveEnd(table, {5, 10})));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTableTest);

} // namespace snipestream
