#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

constexpr size_t kUploadBytes = size_t{20} * 1000 * 1000;
constexpr long kMaxNodeMemoryKb = 64 * 1024;

/// Returns a pseudorandom body, so that a lost, duplicated or reordered chunk changes the hash.
auto makeBody() -> std::string
{
    std::string body(kUploadBytes, '\0');
    uint64_t state = 1;
    for (char &byte : body) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        byte = static_cast<char>(state >> 56U);
    }
    return body;
}

/// Returns the FNV-1a hash, as the target stand-in computes it.
auto hashOf(const std::string &body) -> uint64_t
{
    uint64_t hash = 14695981039346656037ULL;
    for (const char byte : body) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
    }
    return hash;
}

} // namespace

/// Uploads over two nodes. Guards against lost or reordered chunks, against a node that buffers whole bodies in memory,
/// and against a truncated body that looks complete to the target.
class UploadProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UploadProcessTest);
    CPPUNIT_TEST(testUploads);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUploads()
    {
        const Cluster cluster(2, 1, {{"catalogue", 1}, {"measures", 1}});
        const CallerRequest request{"PUT", "/photos/9", {{"Authorization", cluster.studio}}, makeBody()};
        eventually("the entry node can reach the upload target", seconds(10), [&] {
            const Reply small = sendOnce(cluster.nodes[0].callerPort, {"PUT", "/photos/0", {{"Authorization", cluster.studio}}, "x"});
            return small.status == 200;
        });
        section("a 20 MB upload arrives completely and is not buffered in memory", [&] {
            const Reply reply = sendOnce(cluster.nodes[0].callerPort, request, seconds(30));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.error, 200, reply.status);
            const auto json = nlohmann::json::parse(reply.body);
            CPPUNIT_ASSERT_EQUAL(static_cast<uint64_t>(kUploadBytes), json["bytes"].get<uint64_t>());
            CPPUNIT_ASSERT_EQUAL(hashOf(request.body), json["hash"].get<uint64_t>());
            for (size_t node = 0; node < 2; ++node) {
                CPPUNIT_ASSERT(cluster.peakMemoryKb(node) > 0);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.peakMemoryKb(node)) + " KiB at node " + std::to_string(node),
                                       cluster.peakMemoryKb(node) < kMaxNodeMemoryKb);
            }
        });
        section("an upload whose caller leaves before its end never looks complete to the target", [&] {
            const uint64_t before = cluster.totalAt(1);
            for (const bool chunked : {false, true}) {
                for (const size_t prefixBytes : {size_t{0}, size_t{1000}, kUploadBytes / 2}) {
                    // A chunk of length zero would end the body normally.
                    if (chunked && prefixBytes == 0) {
                        continue;
                    }
                    for (size_t node = 0; node < 2; ++node) {
                        HttpCaller caller(cluster.nodes[node].callerPort);
                        CPPUNIT_ASSERT(caller.sendTruncated(request, prefixBytes, chunked));
                    }
                }
            }
            std::this_thread::sleep_for(seconds(2));
            CPPUNIT_ASSERT_EQUAL(before, cluster.totalAt(1));
            CPPUNIT_ASSERT_EQUAL(200, sendOnce(cluster.nodes[0].callerPort, request, seconds(30)).status);
            CPPUNIT_ASSERT_EQUAL(before + 1, cluster.totalAt(1));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadProcessTest);

} // namespace snipestream::testing
