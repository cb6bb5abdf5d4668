#include "sidecar/token_service.h"

#include "core/cbor_item.h"
#include "core/events.h"
#include "lease/vote_messages.h"
#include "sidecar/state.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

/// Fraction of the tolerated excess over a team's rate that is added to its burst. The rest covers tokens that are in use
/// while the holder of a range changes.
constexpr double kBurstToleranceFraction = 0.4;

auto quotaParams() -> QuotaParams
{
    QuotaParams params;
    // The operator tolerates some excess over the rate. It covers the tokens that the former holder has granted, so a new
    // holder need not wait until they have expired.
    params.takeoverDelay = Duration::zero();
    // Datagrams get lost, and a holder in the same failure domain responds within a few milliseconds.
    params.requestTimeout = milliseconds(40);
    params.timeoutsBeforeBackoff = 2;
    params.silentHolderBackoff = seconds(3);
    params.peerBackoff = milliseconds(300);
    params.exhaustedRequestInterval = milliseconds(50);
    params.shortLoanBackoff = milliseconds(25);
    params.demandWindow = milliseconds(500);
    params.returnGrantAfter = milliseconds(600);
    return params;
}

auto encode(const json &message) -> std::vector<uint8_t>
{
    return json::to_cbor(message);
}

auto decode(std::string_view bytes) -> json
{
    return parseCborItem(bytes);
}

void logInvalid(const std::string &from, const Error &error)
{
    logEvent(EventId::DatagramInvalid, {{"from", from}, {"error", error.message}});
}

/// Returns the burst that holders may grant, which includes a part of the tolerated excess.
auto effectiveBurst(const SidecarSettings &settings, const TeamPolicy &team) -> double
{
    const double window = std::chrono::duration<double>(settings.rateWindow).count();
    const double excess = (team.ratePerSecond * window + team.burst) * settings.rateOvershoot + settings.rateSlack;
    return team.burst + kBurstToleranceFraction * excess;
}

auto toMicroTokens(double tokens) -> MicroTokens
{
    return static_cast<MicroTokens>(std::llround(tokens * static_cast<double>(kOneToken)));
}

/// Logs the ranges that this node has started or stopped to hold.
void logHeldRanges(SidecarState &state)
{
    auto &before = state.tokens.heldRanges;
    const auto &held = state.tokens.quota.node.holderInputs.validRanges;
    if (held == before) {
        return;
    }
    const auto logChange = [&state](EventId event, uint32_t range) {
        logEvent(event, {{"domain", state.settings.domain.value}, {"range", std::to_string(range)}});
    };
    for (const auto &[range, since] : held) {
        if (before.find(range) == before.end()) {
            logChange(EventId::LeaseAcquired, range);
        }
    }
    for (const auto &[range, since] : before) {
        if (held.find(range) == held.end()) {
            logChange(EventId::LeaseLost, range);
        }
    }
    before = held;
}

void sendVoteMessages(SidecarState &state, const VoteOutputs &out)
{
    for (const auto &[to, claim] : out.claims) {
        state.datagrams.send(to.value, DatagramKind::VoteClaim, encodeClaim(claim));
    }
    for (const auto &[to, vote] : out.votes) {
        state.datagrams.send(to.value, DatagramKind::Vote, encodeVote(vote));
    }
}

void applyOutputs(SidecarState &state, const QuotaNodeOutputs &out)
{
    logHeldRanges(state);
    for (const auto &decision : out.decisions) {
        const auto wait = state.tokens.waits.find(decision.tokenRequestId);
        if (wait != state.tokens.waits.end()) {
            wait->second->decide(decision);
        }
    }
    for (const auto &[to, request] : out.requests) {
        state.datagrams.send(to.value, DatagramKind::QuotaRequest, encode(toJson(request)));
    }
    for (const auto &[to, side, response] : out.responses) {
        state.datagrams.send(to.value, side == QuotaSide::Entry ? DatagramKind::QuotaGrant : DatagramKind::QuotaLoan, encode(toJson(response)));
    }
}

void processTokens(SidecarState &state, TimePoint now)
{
    applyOutputs(state, processVotedQuota(state.tokens.quota, now));
}

/// Returns whether the node has sent reports, but none recently.
auto isSilent(const SidecarState &state, const NodeName &node, TimePoint now) -> bool
{
    const auto row = state.peers.rows.find(node.value);
    return row != state.peers.rows.end() && row->second.report && node.value != state.peers.ownAddress && !isAlive(row->second, now);
}

void handleQuotaRequest(SidecarState &state, const std::string &from, std::string_view bytes)
{
    const auto request = quotaRequestFromJson(decode(bytes));
    if (!request) {
        logInvalid(from, request.error());
        return;
    }
    const TimePoint now = BootClock::now();
    receiveQuotaRequest(state.tokens.quota.node, request.value(), now);
    processTokens(state, now);
}

void handleQuotaResponse(SidecarState &state, QuotaSide side, const std::string &from, std::string_view bytes)
{
    const auto response = quotaResponseFromJson(decode(bytes));
    if (!response) {
        logInvalid(from, response.error());
        return;
    }
    receiveQuotaResponse(state.tokens.quota.node, side, response.value());
    processTokens(state, BootClock::now());
}

} // namespace

void startTokens(SidecarState &state)
{
    VotedQuota &quota = state.tokens.quota;
    quota.node.params = quotaParams();
    startVotedQuota(quota, NodeName(state.settings.address), state.settings.domain, state.incarnation, BootClock::now());
    quota.isSilent = [&state](const NodeName &node) {
        return isSilent(state, node, BootClock::now());
    };
    state.datagrams.onReceive(DatagramKind::VoteClaim, [&state](const std::string &from, std::string_view bytes) {
        const auto claim = decodeClaim(bytes);
        if (!claim) {
            logInvalid(from, claim.error());
            return;
        }
        sendVoteMessages(state, handleClaim(state.tokens.quota.votes, state.tokens.quota.voteParams, claim.value(), BootClock::now()));
    });
    state.datagrams.onReceive(DatagramKind::Vote, [&state](const std::string &from, std::string_view bytes) {
        const auto vote = decodeVote(bytes);
        if (!vote) {
            logInvalid(from, vote.error());
            return;
        }
        handleVote(state.tokens.quota.votes, state.tokens.quota.voteParams, vote.value(), BootClock::now());
    });
    state.datagrams.onReceive(DatagramKind::QuotaRequest, [&state](const std::string &from, std::string_view bytes) {
        handleQuotaRequest(state, from, bytes);
    });
    state.datagrams.onReceive(DatagramKind::QuotaGrant, [&state](const std::string &from, std::string_view bytes) {
        handleQuotaResponse(state, QuotaSide::Entry, from, bytes);
    });
    state.datagrams.onReceive(DatagramKind::QuotaLoan, [&state](const std::string &from, std::string_view bytes) {
        handleQuotaResponse(state, QuotaSide::Holder, from, bytes);
    });
}

void updateTokenMembers(SidecarState &state)
{
    if (!state.policy) {
        return;
    }
    std::map<TeamName, TeamQuota> rules;
    for (const auto &team : state.policy->teams) {
        if (team.ratePerSecond > 0) {
            rules[team.name] = {toMicroTokens(team.ratePerSecond), toMicroTokens(effectiveBurst(state.settings, team))};
        }
    }
    FleetMembers members;
    for (const auto &[address, row] : state.peers.rows) {
        if (!row.member.domain.empty()) {
            members[row.member.domain].emplace_back(address);
        }
    }
    setFleet(state.tokens.quota, members, rules, BootClock::now());
}

void tickTokens(SidecarState &state, TimePoint now)
{
    const VotedQuotaOutputs out = tickVotedQuota(state.tokens.quota, now);
    sendVoteMessages(state, out.votes);
    applyOutputs(state, out.quota);
}

auto takeToken(SidecarState &state, const TeamPolicy &team, TimePoint deadline, CancelSignal &cancel) -> TokenDecision
{
    SidecarTokens &tokens = state.tokens;
    if (team.ratePerSecond <= 0) {
        return TokenDecision{0, TokenState::Admitted};
    }
    const uint64_t id = tokens.nextTokenRequestId++;
    TokenDecision first = requestToken(tokens.quota.node.entry, tokens.quota.node.params, team.name, id, BootClock::now(), deadline);
    if (first.state != TokenState::Queued) {
        return first;
    }
    DecisionWait<TokenDecision> wait;
    tokens.waits[id] = &wait;
    cancel.onCancel([&state, &wait, name = team.name, id] {
        cancelRequest(state.tokens.quota.node.entry, name, id);
        wait.decide(TokenDecision{id, TokenState::Refused, RefusalReason::QuotaUnavailable});
    });
    processTokens(state, BootClock::now());
    wait.wait();
    cancel.clear();
    tokens.waits.erase(id);
    return wait.decision;
}

void giveBackToken(SidecarState &state, const TeamPolicy &team, const std::vector<TokenPart> &token)
{
    if (!token.empty()) {
        returnToken(state.tokens.quota.node.entry, state.tokens.quota.node.params, team.name, token, BootClock::now());
    }
}

auto describeHolder(const SidecarState &state, const TeamName &team, TimePoint now) -> std::string
{
    const auto found = state.tokens.quota.node.entry.teams.find(team);
    if (found == state.tokens.quota.node.entry.teams.end() || found->second.lastHolder.empty()) {
        return "no-holder-responded";
    }
    const auto age = duration_cast<milliseconds>(now - found->second.lastResponseAt).count();
    return "holder:" + found->second.lastHolder.value + ",age-ms:" + std::to_string(age);
}

void refuseTokenRequests(SidecarState &state)
{
    const auto waits = state.tokens.waits;
    for (const auto &[id, wait] : waits) {
        wait->decide(TokenDecision{id, TokenState::Refused, RefusalReason::QuotaUnavailable});
    }
}

} // namespace snipestream
