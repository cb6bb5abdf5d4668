#pragma once

#include "quota/voted_quota.h"

#include "core/random.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace snipestream::testing
{

/// Token bucket of one team over the whole fleet: what an ideal enforcement would admit.
struct IdealBucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    Duration updatedAt{};
};

/// What happened to the requests of one team.
struct TeamTally {
    uint64_t requests = 0;
    uint64_t admitted = 0;
    /// Spent a token and were refused later.
    uint64_t refusedLater = 0;
    /// Refused although the ideal bucket had a token.
    uint64_t refusedInRate = 0;
    /// Decided without waiting for a holder.
    uint64_t immediate = 0;
    std::deque<Duration> admittedAt;
};

/// Simulates the quota of a fleet whose ranges are held by votes, in virtual time, with a network that loses, delays and
/// duplicates messages and is cut between failure domains. It runs the code of quota/ and lease/ and counts from outside what
/// is admitted.
class VotedWorld
{
public:
    VotedWorld(uint64_t seed, size_t domains, size_t nodes);

    /// Adds a team. Must be called before the first run.
    void addTeam(const TeamName &team, double rate, double burst);

    /// Submits a request at a node.
    void submit(size_t node, const TeamName &team);
    /// Submits the requests of a team as a Poisson process at random nodes while time passes.
    void setLoad(const TeamName &team, double perSecond);
    void run(Duration length);

    /// Ends the process of a node; it starts again after `length` without memory.
    void kill(size_t node, Duration length);
    /// The node does nothing for the time, then reads the messages that have arrived.
    void pause(size_t node, Duration length);
    /// Cuts a node off from all others.
    void cutNode(size_t node, Duration length);
    /// Cuts a failure domain off from the others.
    void cutDomain(size_t domain, Duration length);

    /// Returns the highest number of requests admitted in any window of this length.
    [[nodiscard]] auto maxAdmittedIn(const TeamName &team, Duration window) const -> size_t;
    [[nodiscard]] auto tally(const TeamName &team) const -> const TeamTally &;
    /// Forgets what was counted so far.
    void resetTallies();
    /// Returns the sum of the shares that all nodes hold of the team's rate now.
    [[nodiscard]] auto sumOfShares(const TeamName &team) const -> double;
    [[nodiscard]] auto nodeCount() const -> size_t;
    [[nodiscard]] auto now() const -> Duration;

    /// Fraction of the messages that are lost or doubled.
    double lossFraction = 0;
    double duplicateFraction = 0;
    /// Fraction of the requests that are refused without a run after they have spent a token, and how much later at most.
    double refusedFraction = 0;
    Duration maxRefusalDelay{};
    /// Delay of messages within a failure domain and between domains.
    Duration localDelay = microseconds(200);
    Duration remoteDelay = microseconds(1400);
    uint64_t messages = 0;
    uint64_t remoteMessages = 0;

private:
    using Payload = std::variant<VoteClaim, Vote, QuotaRequest, std::pair<QuotaSide, QuotaResponse>>;
    struct Packet {
        Duration due{};
        uint64_t order = 0;
        size_t to = 0;
        Payload payload;

        friend auto operator<(const Packet &a, const Packet &b) -> bool
        {
            return a.due != b.due ? a.due > b.due : a.order > b.order;
        }
    };
    struct RefusedRequest {
        size_t node = 0;
        uint64_t incarnation = 0;
        TeamName team;
        std::vector<TokenPart> token;
    };
    struct Machine {
        NodeName name;
        size_t domain = 0;
        VotedQuota quota;
        uint64_t incarnation = 0;
        Duration downUntil{};
        Duration pausedUntil{};
        Duration cutUntil{};
        Duration nextTickAt{};
        std::deque<Payload> inbox;
        size_t waiting = 0;
    };

    void start(Machine &machine);
    void send(size_t from, const NodeName &to, Payload payload);
    void apply(size_t node, const VotedQuotaOutputs &out);
    void applyQuota(size_t node, const QuotaNodeOutputs &out);
    void deliver(size_t node, const Payload &payload);
    void decide(size_t node, const TokenDecision &decision);
    void tick(size_t node);
    void returnTokens();
    void submitLoad();
    [[nodiscard]] auto isRunning(const Machine &machine) const -> bool;
    [[nodiscard]] auto localTime() const -> TimePoint;

    Random random_;
    Duration now_ = seconds(100);
    std::vector<Machine> machines_;
    std::map<NodeName, size_t> indexes_;
    FleetMembers members_;
    std::map<TeamName, TeamQuota> rules_;
    std::vector<Duration> domainCutUntil_;
    std::priority_queue<Packet> packets_;
    std::map<TeamName, TeamTally> tallies_;
    std::map<TeamName, IdealBucket> ideals_;
    std::map<TeamName, double> loads_;
    std::map<TeamName, Duration> nextArrivals_;
    std::map<uint64_t, TeamName> teamOfRequest_;
    std::multimap<Duration, RefusedRequest> refused_;
    uint64_t lastRequest_ = 0;
    uint64_t lastPacket_ = 0;
};

} // namespace snipestream::testing
