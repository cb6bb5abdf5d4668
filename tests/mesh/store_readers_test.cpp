#include "mesh/store_readers.h"

#include "tests/support/section.h"

#include <set>

namespace snipestream
{

using testing::section;

namespace
{

auto addressOf(int i) -> std::string
{
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
}

auto makePeers(int self, int nodes, int domains) -> PeerTable
{
    PeerTable peers;
    peers.ownAddress = addressOf(self);
    peers.ownDomain = DomainName("d" + std::to_string(self % domains));
    for (int i = 0; i < nodes; ++i) {
        addMember(peers, {addressOf(i), NodeName(addressOf(i)), DomainName("d" + std::to_string(i % domains)), ServiceName("diary")});
    }
    return peers;
}

auto countReaders(int nodes, int domains) -> int
{
    int readers = 0;
    for (int i = 0; i < nodes; ++i) {
        readers += isReader(makePeers(i, nodes, domains), ReaderSettings()) ? 1 : 0;
    }
    return readers;
}

} // namespace

/// Guards against calls to the store that grow with every node, and against a follower that waits for a reader that is gone.
class StoreReadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReadersTest);
    CPPUNIT_TEST(testNumber);
    CPPUNIT_TEST(testPolls);
    CPPUNIT_TEST(testOldConfirmation);
    CPPUNIT_TEST_SUITE_END();

public:
    void testNumber()
    {
        section("each failure domain has one reader for 64 members", [] {
            CPPUNIT_ASSERT_EQUAL(3, countReaders(13, 3));
            CPPUNIT_ASSERT_EQUAL(6, countReaders(195, 6));
            CPPUNIT_ASSERT_EQUAL(12, countReaders(600, 6));
        });
        section("followers of a large domain spread over its readers", [] {
            std::set<std::string> asked;
            for (int i = 0; i < 600; i += 6) {
                asked.insert(readerCandidates(makePeers(i, 600, 6), ReaderSettings()).front());
            }
            CPPUNIT_ASSERT_EQUAL(size_t{2}, asked.size());
        });
        section("a node that knows no other member reads for itself", [] {
            CPPUNIT_ASSERT(isReader(makePeers(0, 1, 1), ReaderSettings()));
            CPPUNIT_ASSERT(readerCandidates(makePeers(0, 1, 1), ReaderSettings()).empty());
        });
    }

    void testPolls()
    {
        const ReaderSettings settings;
        PeerTable peers = makePeers(0, 40, 4);
        if (isReader(peers, settings)) {
            peers = makePeers(4, 40, 4);
        }
        ReaderPolls polls;
        TimePoint now = TimePoint() + seconds(1);
        const auto candidates = readerCandidates(peers, settings);
        const auto poll = [&] {
            now += settings.pollInterval;
            const auto due = duePolls(polls, peers, settings, true, now);
            CPPUNIT_ASSERT(due.size() <= 1);
            return due.empty() ? std::string("nobody") : due.front();
        };
        section("the reader of the own failure domain is asked while it answers", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("d0"), peers.rows.at(candidates[0]).member.domain.value);
            for (int i = 0; i < 10; ++i) {
                CPPUNIT_ASSERT(poll() == candidates[0]);
                observeAnswer(polls, candidates[0]);
            }
        });
        section("one lost answer does not matter", [&] {
            CPPUNIT_ASSERT(poll() == candidates[0]);
            CPPUNIT_ASSERT(poll() == candidates[0]);
            observeAnswer(polls, candidates[0]);
        });
        section("after two lost answers, the reader of another domain is asked, and the former one later again", [&] {
            poll();
            poll();
            CPPUNIT_ASSERT(poll() == candidates[1]);
            observeAnswer(polls, candidates[1]);
            now += settings.avoidDuration;
            CPPUNIT_ASSERT(poll() == candidates[0]);
        });
        section("while all readers are silent, each is asked in turn", [&] {
            std::set<std::string> asked;
            for (int i = 0; i < 20; ++i) {
                asked.insert(poll());
            }
            CPPUNIT_ASSERT(asked.size() >= candidates.size());
        });
        section("a removed member is no candidate", [&] {
            removeMember(peers, candidates[0]);
            for (const auto &candidate : readerCandidates(peers, settings)) {
                CPPUNIT_ASSERT(candidate != candidates[0]);
            }
        });
    }

    /// Guards against a follower that goes on with a reader which answers without a confirmed configuration.
    void testOldConfirmation()
    {
        const ReaderSettings settings;
        PeerTable peers = makePeers(0, 600, 6);
        if (isReader(peers, settings)) {
            peers = makePeers(6, 600, 6);
        }
        ReaderPolls polls;
        TimePoint now = TimePoint() + seconds(1);
        const auto reader = duePolls(polls, peers, settings, true, now);
        section("all candidates are asked as soon as the confirmation is too old, before the next poll is due", [&] {
            now += milliseconds(10);
            const auto asked = duePolls(polls, peers, settings, false, now);
            CPPUNIT_ASSERT(asked == readerCandidates(peers, settings));
            CPPUNIT_ASSERT(duePolls(polls, peers, settings, false, now + milliseconds(10)).empty());
        });
        section("once it is fresh again, the former reader is not the one that is asked", [&] {
            now += settings.pollInterval;
            const auto next = duePolls(polls, peers, settings, true, now);
            CPPUNIT_ASSERT(next.size() == 1 && next != reader);
        });
        section("the number of readers that are asked is bounded in the largest fleets", [&] {
            PeerTable large = makePeers(0, 10000, 6);
            ReaderPolls others;
            CPPUNIT_ASSERT(duePolls(others, large, settings, false, now).size() <= settings.maxOwnCandidates + 5);
        });
        section("a confirmation that is renewed in the usual way is never too old", [] {
            for (const auto &[policyApply, keyWithdrawal] : std::vector<std::pair<Duration, Duration>>{{seconds(2), seconds(5)},
                                                                                                       {milliseconds(2500), seconds(5)},
                                                                                                       {seconds(7), seconds(5)},
                                                                                                       {seconds(1), seconds(30)},
                                                                                                       {seconds(30), seconds(5)}}) {
                const FreshnessLimits limits = freshnessLimits(policyApply, keyWithdrawal, 1);
                const Duration poll = std::min(std::min(policyApply, keyWithdrawal) / 5, ReaderSettings().pollInterval);
                CPPUNIT_ASSERT(limits.readWait * 2 + poll < limits.askAllAge);
                CPPUNIT_ASSERT(limits.askAllAge < limits.ownReadAge);
                CPPUNIT_ASSERT(limits.ownReadAge < policyApply * 3 / 4 && limits.ownReadAge < keyWithdrawal * 3 / 4);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReadersTest);

} // namespace snipestream
