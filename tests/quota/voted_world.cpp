#include "tests/quota/voted_world.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace snipestream::testing
{

namespace
{

constexpr Duration kStep = microseconds(500);
constexpr Duration kTickInterval = milliseconds(25);
constexpr Duration kBusyTickInterval = milliseconds(10);

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto toMicro(double tokens) -> MicroTokens
{
    return static_cast<MicroTokens>(tokens * static_cast<double>(kOneToken));
}

} // namespace

VotedWorld::VotedWorld(uint64_t seed, size_t domains, size_t nodes)
    : random_(seed)
    , machines_(nodes)
    , domainCutUntil_(domains)
{
    for (size_t i = 0; i < nodes; ++i) {
        auto &machine = machines_[i];
        machine.name = NodeName("10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256));
        machine.domain = i % domains;
        machine.nextTickAt = now_ + microseconds(drawBelow(random_, 25000));
        indexes_[machine.name] = i;
        members_[DomainName("d" + std::to_string(machine.domain))].push_back(machine.name);
    }
}

void VotedWorld::addTeam(const TeamName &team, double rate, double burst)
{
    rules_[team] = {toMicro(rate), toMicro(burst)};
    ideals_[team] = {rate, burst, burst, now_};
    tallies_[team];
    for (auto &machine : machines_) {
        start(machine);
    }
}

void VotedWorld::start(Machine &machine)
{
    machine.downUntil = {};
    machine.inbox.clear();
    machine.waiting = 0;
    machine.quota = VotedQuota();
    auto &params = machine.quota.node.params;
    params.takeoverDelay = {};
    params.requestTimeout = milliseconds(40);
    params.timeoutsBeforeBackoff = 2;
    params.silentHolderBackoff = seconds(3);
    params.peerBackoff = milliseconds(300);
    params.exhaustedRequestInterval = milliseconds(50);
    params.shortLoanBackoff = milliseconds(25);
    params.demandWindow = milliseconds(500);
    params.returnGrantAfter = milliseconds(600);
    startVotedQuota(machine.quota, machine.name, DomainName("d" + std::to_string(machine.domain)), ++machine.incarnation, localTime());
    setFleet(machine.quota, members_, rules_, localTime());
}

auto VotedWorld::localTime() const -> TimePoint
{
    return TimePoint(now_);
}

auto VotedWorld::isRunning(const Machine &machine) const -> bool
{
    return now_ >= machine.downUntil && now_ >= machine.pausedUntil;
}

void VotedWorld::send(size_t from, const NodeName &to, Payload payload)
{
    const auto found = indexes_.find(to);
    if (found == indexes_.end()) {
        return;
    }
    const Machine &sender = machines_[from];
    const Machine &receiver = machines_[found->second];
    const bool isRemote = sender.domain != receiver.domain;
    ++messages;
    remoteMessages += isRemote ? 1 : 0;
    const bool isCut =
        now_ < sender.cutUntil || now_ < receiver.cutUntil || (isRemote && (now_ < domainCutUntil_[sender.domain] || now_ < domainCutUntil_[receiver.domain]));
    const auto draw = [this](double fraction) {
        return fraction > 0 && static_cast<double>(drawBelow(random_, 1000000)) < fraction * 1000000;
    };
    if (isCut || draw(lossFraction)) {
        return;
    }
    const Duration due = now_ + (isRemote ? remoteDelay : localDelay);
    if (draw(duplicateFraction)) {
        packets_.push({due + milliseconds(drawBelow(random_, 300)), ++lastPacket_, found->second, payload});
    }
    packets_.push({due, ++lastPacket_, found->second, std::move(payload)});
}

void VotedWorld::apply(size_t node, const VotedQuotaOutputs &out)
{
    for (const auto &[to, claim] : out.votes.claims) {
        send(node, to, claim);
    }
    for (const auto &[to, vote] : out.votes.votes) {
        send(node, to, vote);
    }
    applyQuota(node, out.quota);
}

void VotedWorld::applyQuota(size_t node, const QuotaNodeOutputs &out)
{
    for (const auto &decision : out.decisions) {
        --machines_[node].waiting;
        decide(node, decision);
    }
    for (const auto &[to, request] : out.requests) {
        send(node, to, request);
    }
    for (const auto &[to, side, response] : out.responses) {
        send(node, to, std::make_pair(side, response));
    }
}

void VotedWorld::decide(size_t node, const TokenDecision &decision)
{
    const auto found = teamOfRequest_.find(decision.tokenRequestId);
    if (found == teamOfRequest_.end()) {
        return;
    }
    auto &tally = tallies_[found->second];
    auto &ideal = ideals_[found->second];
    ideal.level = std::min(ideal.burst, ideal.level + ideal.rate * toSeconds(now_ - ideal.updatedAt));
    ideal.updatedAt = now_;
    const bool isRefused = refusedFraction > 0 && static_cast<double>(drawBelow(random_, 1000000)) < refusedFraction * 1000000;
    if (decision.state == TokenState::Admitted && isRefused) {
        ++tally.refusedLater;
        const auto delay = Duration(drawBelow(random_, static_cast<uint64_t>(maxRefusalDelay.count()) + 1));
        refused_.emplace(now_ + delay, RefusedRequest{node, machines_[node].incarnation, found->second, decision.token});
    } else if (decision.state == TokenState::Admitted) {
        ++tally.admitted;
        tally.admittedAt.push_back(now_);
        ideal.level -= 1;
    } else if (ideal.level >= 1) {
        ++tally.refusedInRate;
    }
    teamOfRequest_.erase(found);
}

void VotedWorld::submit(size_t node, const TeamName &team)
{
    auto &machine = machines_[node];
    if (!isRunning(machine)) {
        return;
    }
    auto &tally = tallies_[team];
    ++tally.requests;
    const uint64_t id = ++lastRequest_;
    teamOfRequest_[id] = team;
    const TokenDecision first = requestToken(machine.quota.node.entry, machine.quota.node.params, team, id, localTime(), localTime() + milliseconds(500));
    if (first.state != TokenState::Queued) {
        ++tally.immediate;
        decide(node, first);
        return;
    }
    ++machine.waiting;
    applyQuota(node, processVotedQuota(machine.quota, localTime()));
}

void VotedWorld::setLoad(const TeamName &team, double perSecond)
{
    loads_[team] = perSecond;
    nextArrivals_[team] = now_;
}

void VotedWorld::submitLoad()
{
    for (const auto &[team, perSecond] : loads_) {
        auto &next = nextArrivals_[team];
        while (perSecond > 0 && next <= now_) {
            submit(drawBelow(random_, machines_.size()), team);
            const double uniform = (static_cast<double>(drawBelow(random_, 1000000)) + 1) / 1000001;
            next += Duration(static_cast<int64_t>(-std::log(uniform) / perSecond * 1e9));
        }
    }
}

void VotedWorld::deliver(size_t node, const Payload &payload)
{
    auto &machine = machines_[node];
    VotedQuota &quota = machine.quota;
    if (const auto *const claim = std::get_if<VoteClaim>(&payload)) {
        apply(node, {handleClaim(quota.votes, quota.voteParams, *claim, localTime()), {}});
        return;
    }
    if (const auto *const vote = std::get_if<Vote>(&payload)) {
        handleVote(quota.votes, quota.voteParams, *vote, localTime());
        return;
    }
    if (const auto *const request = std::get_if<QuotaRequest>(&payload)) {
        receiveQuotaRequest(quota.node, *request, localTime());
    } else {
        const auto &[side, response] = std::get<std::pair<QuotaSide, QuotaResponse>>(payload);
        receiveQuotaResponse(quota.node, side, response);
    }
    applyQuota(node, processVotedQuota(quota, localTime()));
}

void VotedWorld::tick(size_t node)
{
    auto &machine = machines_[node];
    machine.nextTickAt = now_ + (machine.waiting > 0 ? kBusyTickInterval : kTickInterval);
    if (!isRunning(machine)) {
        return;
    }
    if (machine.downUntil != Duration{}) {
        start(machine);
    }
    const auto inbox = std::exchange(machine.inbox, {});
    for (const auto &payload : inbox) {
        deliver(node, payload);
    }
    apply(node, tickVotedQuota(machine.quota, localTime()));
}

void VotedWorld::returnTokens()
{
    while (!refused_.empty() && refused_.begin()->first <= now_) {
        const auto item = refused_.extract(refused_.begin());
        const RefusedRequest &request = item.mapped();
        auto &machine = machines_[request.node];
        if (machine.incarnation == request.incarnation && isRunning(machine)) {
            returnToken(machine.quota.node.entry, machine.quota.node.params, request.team, request.token, localTime());
        }
    }
}

void VotedWorld::run(Duration length)
{
    const Duration end = now_ + length;
    while (now_ < end) {
        now_ += kStep;
        while (!packets_.empty() && packets_.top().due <= now_) {
            const Packet packet = packets_.top();
            packets_.pop();
            auto &machine = machines_[packet.to];
            // A process that does not run loses its messages; a paused one reads them later.
            if (now_ < machine.pausedUntil) {
                machine.inbox.push_back(packet.payload);
            } else if (now_ >= machine.downUntil && machine.downUntil == Duration{}) {
                deliver(packet.to, packet.payload);
            }
        }
        for (size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].nextTickAt <= now_) {
                tick(i);
            }
        }
        returnTokens();
        submitLoad();
    }
}

void VotedWorld::kill(size_t node, Duration length)
{
    machines_[node].downUntil = now_ + length;
    machines_[node].inbox.clear();
}

void VotedWorld::pause(size_t node, Duration length)
{
    machines_[node].pausedUntil = now_ + length;
}

void VotedWorld::cutNode(size_t node, Duration length)
{
    machines_[node].cutUntil = now_ + length;
}

void VotedWorld::cutDomain(size_t domain, Duration length)
{
    domainCutUntil_[domain] = now_ + length;
}

auto VotedWorld::maxAdmittedIn(const TeamName &team, Duration window) const -> size_t
{
    size_t max = 0;
    std::deque<Duration> recent;
    for (const Duration at : tallies_.at(team).admittedAt) {
        recent.push_back(at);
        while (at - recent.front() > window) {
            recent.pop_front();
        }
        max = std::max(max, recent.size());
    }
    return max;
}

auto VotedWorld::tally(const TeamName &team) const -> const TeamTally &
{
    return tallies_.at(team);
}

void VotedWorld::resetTallies()
{
    for (auto &[team, tally] : tallies_) {
        tally = TeamTally();
    }
    messages = 0;
    remoteMessages = 0;
}

auto VotedWorld::sumOfShares(const TeamName &team) const -> double
{
    double sum = 0;
    for (const auto &machine : machines_) {
        if (!isRunning(machine)) {
            continue;
        }
        for (const auto &[range, since] : machine.quota.node.holderInputs.validRanges) {
            const Share share = heldShare(machine.quota, range, localTime());
            sum += rangeOf(team.value) == range ? static_cast<double>(share.numerator) / static_cast<double>(share.denominator) : 0;
        }
    }
    return sum;
}

auto VotedWorld::nodeCount() const -> size_t
{
    return machines_.size();
}

auto VotedWorld::now() const -> Duration
{
    return now_;
}

} // namespace snipestream::testing
