#include "core/events.h"

#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipestream
{

using testing::Fleet;
using testing::section;

namespace
{

/// Memory limit of a node in these tests, and the body size of an upload, of which the node may hold a few.
constexpr uint64_t kMemoryMb = 4;
constexpr size_t kUploadBytes = size_t{256} * 1024;

/// Lowers the memory limit of a node beside a target.
void limitMemory(Fleet &fleet, size_t index, int number)
{
    SidecarSettings settings = testing::makeSettings(number, "catalogue", fleet.store.endpoint());
    settings.memoryMb = kMemoryMb;
    fleet.nodes[index]->reload(settings);
}

auto upload(Fleet &fleet, const std::string &id) -> CallResult
{
    RequestMessage request;
    request.method = "POST";
    request.target = "/deposit/" + id;
    request.headers = {{"Host", "studio.example"}, {"X-Snipestream-Request-Id", id}, {"X-Snipestream-Deadline-Ms", "4000"}, {"Api-Key", "k1"}};
    request.body = std::string(kUploadBytes, 'u');
    CancelSignal cancel;
    return fleet.callers.call({"127.0.0.2", testing::kCallerPort}, request, cancel, BootClock::now() + seconds(5));
}

struct Upload {
    std::string id;
    CallResult result;
};

/// Sends uploads at once and waits for their responses.
auto uploadAtOnce(Fleet &fleet, const std::string &name, int count) -> std::vector<Upload>
{
    std::vector<Upload> uploads;
    for (int i = 0; i < count; ++i) {
        fleet.runtime.spawn([&fleet, &uploads, id = name + "-" + std::to_string(i)] {
            CallResult result = upload(fleet, id);
            uploads.push_back({id, std::move(result)});
        });
    }
    fleet.waitUntil([&uploads, count] {
        return uploads.size() == static_cast<size_t>(count);
    });
    return uploads;
}

auto countStatus(const std::vector<Upload> &uploads, int status) -> size_t
{
    return static_cast<size_t>(std::count_if(uploads.begin(), uploads.end(), [status](const Upload &sent) {
        return sent.result.status == CallStatus::Answered && sent.result.response.status == status;
    }));
}

/// Returns how many lines contain the text.
auto countLines(const std::vector<std::string> &lines, const std::string &text) -> size_t
{
    return static_cast<size_t>(std::count_if(lines.begin(), lines.end(), [&text](const std::string &line) {
        return line.find(text) != std::string::npos;
    }));
}

void withSlowTargets(const std::function<void(Fleet &)> &body)
{
    testing::withFleet([&body](Fleet &fleet) {
        fleet.forEachTarget([](auto &behaviour) {
            behaviour.runTime = milliseconds(700);
        });
        for (auto *const target : {&fleet.firstTarget, &fleet.secondTarget}) {
            target->slots = 100;
            CPPUNIT_ASSERT_EQUAL(200, target->announce({target->endpoint().address, testing::kTargetPort}, "catalogue", "ready"));
        }
        body(fleet);
    });
}

} // namespace

/// Guards against a node beside a slow target that takes requests of other nodes until it exceeds its memory.
class MemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryTest);
    CPPUNIT_TEST(testOneNodeShort);
    CPPUNIT_TEST(testAllNodesShort);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOneNodeShort()
    {
        withSlowTargets([](Fleet &fleet) {
            section("a node that holds as much as it may refuses further requests, which then run at another target", [&fleet] {
                limitMemory(fleet, 1, 3);
                const auto uploads = uploadAtOnce(fleet, "one", 24);
                CPPUNIT_ASSERT_EQUAL(size_t{24}, countStatus(uploads, 200));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.firstTarget.runs.size()), fleet.firstTarget.runs.size() <= 4);
                CPPUNIT_ASSERT(!fleet.firstTarget.runs.empty());
                CPPUNIT_ASSERT_EQUAL(size_t{24}, fleet.runs());
            });
            section("once they have ended it takes requests again", [&fleet] {
                const size_t before = fleet.firstTarget.runs.size();
                CPPUNIT_ASSERT_EQUAL(200, fleet.secondTarget.announce({"127.0.0.4", testing::kTargetPort}, "catalogue", "draining"));
                fleet.runtime.sleepFor(milliseconds(500));
                CPPUNIT_ASSERT_EQUAL(size_t{3}, countStatus(uploadAtOnce(fleet, "later", 3), 200));
                CPPUNIT_ASSERT_EQUAL(before + 3, fleet.firstTarget.runs.size());
            });
        });
    }

    void testAllNodesShort()
    {
        withSlowTargets([](Fleet &fleet) {
            const auto lines = std::make_shared<std::vector<std::string>>();
            setEventSink([lines](Severity, const std::string &line) {
                lines->push_back(line);
            });
            section("what no node has memory for is refused as not run, with a time to retry", [&fleet] {
                limitMemory(fleet, 1, 3);
                limitMemory(fleet, 2, 4);
                const auto uploads = uploadAtOnce(fleet, "all", 40);
                const size_t refused = countStatus(uploads, 503);
                CPPUNIT_ASSERT_EQUAL(size_t{40}, countStatus(uploads, 200) + refused);
                CPPUNIT_ASSERT(refused >= 30);
                for (const auto &sent : uploads) {
                    const bool isRefused = sent.result.response.status == 503;
                    CPPUNIT_ASSERT_EQUAL(size_t{isRefused ? 0U : 1U}, fleet.runsOf(sent.id));
                    CPPUNIT_ASSERT(!isRefused || findHeader(sent.result.response.headers, "Retry-After"));
                }
            });
            section("the log says so, with a few lines for all of them", [&lines] {
                const size_t events = countLines(*lines, "SNS1009");
                CPPUNIT_ASSERT(events >= 2);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(events) + " lines", events <= 8);
            });
            setEventSink(nullptr);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryTest);

} // namespace snipestream
