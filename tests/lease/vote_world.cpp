#include "tests/lease/vote_world.h"

#include <algorithm>

namespace snipestream::testing
{

VoteWorld::VoteWorld(uint64_t seed, const VoteParams &params)
    : params_(params)
    , random_(seed)
    , machines_(kNodes)
    , linkCutUntil_(kNodes, std::vector<Duration>(kNodes))
{
    for (size_t i = 0; i < kNodes; ++i) {
        names_.emplace_back("n" + std::to_string(i));
    }
    for (auto &machine : machines_) {
        // Clocks differ by up to 2%.
        machine.rate = 0.99 + 0.02 * static_cast<double>(drawBelow(random_, 1000)) / 1000;
        machine.clockOffset = milliseconds(drawBelow(random_, 1000000));
        restart(machine);
    }
}

auto VoteWorld::ranges() -> std::vector<uint32_t>
{
    return {3, 17, 29};
}

auto VoteWorld::localTime(const Machine &machine) const -> TimePoint
{
    return TimePoint(machine.clockOffset + Duration(static_cast<int64_t>(static_cast<double>(now_.count()) * machine.rate)));
}

void VoteWorld::restart(Machine &machine)
{
    const auto index = static_cast<size_t>(&machine - machines_.data());
    machine.table = makeVoteTable(names_[index], localTime(machine));
    setMembers(machine.table, params_, names_, ranges(), localTime(machine));
    machine.inbox.clear();
}

void VoteWorld::apply(const VoteCommand &command)
{
    auto &machine = machines_[static_cast<size_t>(command.a) % kNodes];
    const Duration until = now_ + command.length;
    switch (command.kind) {
    case VoteCommand::Restart:
        machine.downUntil = until;
        break;
    case VoteCommand::RestartAll:
        for (auto &other : machines_) {
            other.downUntil = until;
        }
        break;
    case VoteCommand::Pause:
        machine.pausedUntil = until;
        break;
    case VoteCommand::CutOutgoing:
        machine.outgoingCutUntil = until;
        break;
    case VoteCommand::CutLink:
        linkCutUntil_[static_cast<size_t>(command.a) % kNodes][static_cast<size_t>(command.b) % kNodes] = until;
        break;
    case VoteCommand::Isolate:
        for (size_t i = 0; i < kNodes; ++i) {
            linkCutUntil_[static_cast<size_t>(command.a) % kNodes][i] = until;
            linkCutUntil_[i][static_cast<size_t>(command.a) % kNodes] = until;
        }
        break;
    case VoteCommand::Delay:
        delayUntil_ = until;
        break;
    case VoteCommand::Duplicate:
        duplicateUntil_ = until;
        break;
    default:
        lossUntil_ = until;
        break;
    }
    run(command.wait);
}

void VoteWorld::send(size_t from, const VoteOutputs &out)
{
    const auto post = [&](const NodeName &to, const std::variant<VoteClaim, Vote> &payload) {
        const auto index = static_cast<size_t>(std::find(names_.begin(), names_.end(), to) - names_.begin());
        ++messageCount_;
        const bool isLost = now_ < lossUntil_ && drawBelow(random_, 3) == 0;
        if (isLost || now_ < machines_[from].outgoingCutUntil || now_ < linkCutUntil_[from][index]) {
            return;
        }
        const int copies = now_ < duplicateUntil_ && drawBelow(random_, 2) == 0 ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const Duration delay = now_ < delayUntil_ ? milliseconds(drawBelow(random_, 2000)) : microseconds(500);
            packets_.push_back({now_ + delay, from, index, payload});
        }
    };
    for (const auto &[to, claim] : out.claims) {
        post(to, claim);
    }
    for (const auto &[to, vote] : out.votes) {
        post(to, vote);
    }
}

void VoteWorld::step()
{
    for (auto packet = packets_.begin(); packet != packets_.end();) {
        if (packet->due > now_) {
            ++packet;
            continue;
        }
        auto &machine = machines_[packet->to];
        // A paused process reads what has arrived when it goes on; a process that does not run loses it.
        if (now_ >= machine.downUntil) {
            machine.inbox.push_back(*packet);
        }
        packet = packets_.erase(packet);
    }
    for (size_t i = 0; i < kNodes; ++i) {
        auto &machine = machines_[i];
        if (machine.downUntil > now_ || machine.pausedUntil > now_) {
            continue;
        }
        if (machine.downUntil != Duration{}) {
            machine.downUntil = {};
            restart(machine);
        }
        const auto inbox = std::exchange(machine.inbox, {});
        for (const auto &packet : inbox) {
            if (const auto *const claim = std::get_if<VoteClaim>(&packet.payload)) {
                send(i, handleClaim(machine.table, params_, *claim, localTime(machine)));
            } else {
                handleVote(machine.table, params_, std::get<Vote>(packet.payload), localTime(machine));
            }
        }
        send(i, tickVotes(machine.table, params_, localTime(machine)));
    }
    check();
}

void VoteWorld::check()
{
    for (const uint32_t range : ranges()) {
        size_t votes = 0;
        size_t committee = 1;
        std::string holders;
        for (size_t i = 0; i < kNodes; ++i) {
            const VoteCount count = votesOf(i, range);
            votes += count.votes;
            committee = std::max(committee, count.committee);
            holders += " " + std::to_string(count.votes);
        }
        if (votes > committee && !violation_) {
            violation_ = "range " + std::to_string(range) + " has more votes than members:" + holders;
        }
    }
}

void VoteWorld::run(Duration length)
{
    const Duration end = now_ + length;
    while (now_ < end) {
        now_ += kStep;
        step();
    }
}

auto VoteWorld::violation() const -> const std::optional<std::string> &
{
    return violation_;
}

auto VoteWorld::votesOf(size_t node, uint32_t range) const -> VoteCount
{
    const auto &machine = machines_[node];
    // A process that does not run uses no votes.
    return now_ < machine.downUntil ? VoteCount{0, 1} : countVotes(machine.table, range, localTime(machine));
}

auto VoteWorld::firstCandidate(uint32_t range) const -> size_t
{
    const auto committee = committeeOf(range, names_, params_);
    return static_cast<size_t>(std::find(names_.begin(), names_.end(), committee.front()) - names_.begin());
}

auto VoteWorld::messageCount() const -> uint64_t
{
    return messageCount_;
}

} // namespace snipestream::testing
