#include "tests/lease/lease_world.h"

#include "core/hash.h"

#include <utility>

namespace snipestream::testing
{

namespace
{

auto nodeName(size_t index) -> NodeName
{
    return NodeName("n" + std::to_string(index));
}

} // namespace

LeaseWorld::LeaseWorld(uint64_t seed, const LeaseParams &params)
    : params_(params)
    , random_(seed)
{
    // The fastest clock runs 1.15/0.85 = 1.35 times as fast as the slowest, less than W/F = 1.5 (vouchDelay /
    // confirmationLifetime).
    constexpr std::array<double, 3> kRates = {0.85, 1.0, 1.15};
    for (size_t i = 0; i < kNodes; ++i) {
        machines_[i].rate = kRates[drawBelow(random_, kRates.size())];
        start(machines_[i], i);
    }
}

void LeaseWorld::apply(const LeaseCommand &command)
{
    auto &machine = machines_[static_cast<size_t>(command.a) % kNodes];
    const size_t other = static_cast<size_t>(command.b) % kNodes;
    const Duration until = now_ + command.length;
    switch (command.kind) {
    case LeaseCommand::Kill:
        machine.down = true;
        machine.downUntil = until;
        break;
    case LeaseCommand::Restart:
        machine.down = true;
        machine.downUntil = now_ + kStep;
        break;
    case LeaseCommand::RestartOthers:
        for (auto &each : machines_) {
            if (&each != &machine) {
                each.down = true;
                each.downUntil = now_ + kStep;
            }
        }
        break;
    case LeaseCommand::Pause:
        machine.pausedUntil = until;
        break;
    case LeaseCommand::CutLink:
        machine.linkCutUntil[other] = until;
        break;
    case LeaseCommand::CutIncoming:
        machine.inboundCutUntil = until;
        break;
    case LeaseCommand::CutOutgoing:
        machine.outboundCutUntil = until;
        break;
    case LeaseCommand::Delay:
        machine.slowUntil = until;
        break;
    case LeaseCommand::Duplicate:
        duplicateUntil_ = until;
        break;
    case LeaseCommand::StallLogReads:
        machine.stalledUntil = until;
        break;
    case LeaseCommand::LogDown:
        logDownUntil_ = until;
        break;
    case LeaseCommand::LoseAppendResponse:
        loseResponseUntil_ = until;
        break;
    case LeaseCommand::Suspect:
        machine.suspectedUntil = until;
        break;
    case LeaseCommand::ShutDown: {
        if (machine.down || machine.pausedUntil > now_) {
            break;
        }
        const size_t index = static_cast<size_t>(command.a) % kNodes;
        auto handOver = handOverLeases(machine.node.holder, liveNodes(index), localTime(machine));
        for (const auto &[to, release] : handOver.releases) {
            send(index, to, release);
        }
        if (logDownUntil_ <= now_) {
            for (const auto &record : handOver.records) {
                append(record);
            }
        }
        break;
    }
    default:
        break;
    }
}

void LeaseWorld::run(Duration length)
{
    const Duration end = now_ + length;
    while (now_ < end) {
        now_ += kStep;
        step();
        check();
    }
}

auto LeaseWorld::violation() const -> const std::optional<std::string> &
{
    return violation_;
}

auto LeaseWorld::heldRanges() const -> size_t
{
    size_t held = 0;
    for (uint32_t range = 0; range < kRangeCount; ++range) {
        held += validHolder(range) ? 1 : 0;
    }
    return held;
}

auto LeaseWorld::validHolder(uint32_t range) const -> std::optional<size_t>
{
    for (size_t i = 0; i < kNodes; ++i) {
        const auto &machine = machines_[i];
        if (!machine.down && isLeaseValid(machine.node.holder, LeaseKey{DomainName("d"), range}, localTime(machine))) {
            return i;
        }
    }
    return std::nullopt;
}

auto LeaseWorld::appended() const -> size_t
{
    return log_.size();
}

auto LeaseWorld::localTime(const Machine &machine) const -> TimePoint
{
    return TimePoint(Duration(static_cast<int64_t>(static_cast<double>(now_.count()) * machine.rate)));
}

void LeaseWorld::start(Machine &machine, size_t index)
{
    ++machine.incarnation;
    machine.node = makeLeaseNode(nodeName(index), DomainName("d"), machine.incarnation, localTime(machine), params_);
    machine.leaseTable = {};
    machine.applied = 0;
    machine.down = false;
}

void LeaseWorld::send(size_t from, const NodeName &to, const Payload &payload)
{
    const auto target = static_cast<size_t>(std::stoi(to.value.substr(1)));
    const auto &sender = machines_[from];
    if (sender.outboundCutUntil > now_ || machines_[target].inboundCutUntil > now_ || sender.linkCutUntil[target] > now_) {
        return;
    }
    const auto jitter = [&](uint64_t ms) {
        return milliseconds(drawBelow(random_, ms));
    };
    const Duration delay = jitter(20) + (sender.slowUntil > now_ ? jitter(3000) : milliseconds(0));
    packets_.push_back(Packet{now_ + delay, from, target, payload});
    if (duplicateUntil_ > now_) {
        packets_.push_back(Packet{now_ + delay + jitter(4000), from, target, payload});
    }
}

void LeaseWorld::deliver(const Packet &packet)
{
    auto &machine = machines_[packet.to];
    const TimePoint now = localTime(machine);
    if (const auto *ping = std::get_if<LeasePing>(&packet.payload)) {
        send(packet.to, ping->holder, answerPing(machine.node.witness, machine.leaseTable, params_, *ping, now));
    } else if (const auto *pong = std::get_if<LeasePong>(&packet.payload)) {
        applyPong(machine.node.holder, params_, *pong, now);
    } else {
        applyRelease(machine.node.witness, std::get<LeaseRelease>(packet.payload));
    }
}

void LeaseWorld::append(const LeaseRecord &record)
{
    log_.push_back(record);
    if (loseResponseUntil_ > now_) {
        log_.push_back(record);
    }
}

void LeaseWorld::readLog(Machine &machine)
{
    if (logDownUntil_ > now_ || machine.stalledUntil > now_ || machine.nextReadAt > now_) {
        return;
    }
    // Nodes read new records at different times, as they do from relays that poll.
    machine.nextReadAt = now_ + milliseconds(drawBelow(random_, 800));
    for (; machine.applied < log_.size(); ++machine.applied) {
        applyLeaseRecord(machine.leaseTable, log_[machine.applied]);
    }
    markLogRead(machine.node.witness, machine.leaseTable);
}

auto LeaseWorld::liveNodes(size_t viewer) const -> LiveNodes
{
    LiveNodes live;
    for (size_t i = 0; i < kNodes; ++i) {
        const auto &machine = machines_[i];
        const bool reachable = !machine.down && machine.pausedUntil <= now_ && machine.inboundCutUntil <= now_ && machine.outboundCutUntil <= now_
            && machine.suspectedUntil <= now_ && machine.linkCutUntil[viewer] <= now_ && machines_[viewer].linkCutUntil[i] <= now_;
        if (i == viewer || reachable) {
            live[nodeName(i)] = machine.incarnation;
        }
    }
    return live;
}

void LeaseWorld::step()
{
    std::vector<Packet> waiting;
    for (auto &packet : std::exchange(packets_, {})) {
        const auto &machine = machines_[packet.to];
        if (machine.down) {
            continue;
        }
        if (packet.due > now_ || machine.pausedUntil > now_) {
            waiting.push_back(std::move(packet));
            continue;
        }
        deliver(packet);
    }
    packets_.insert(packets_.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
    for (size_t i = 0; i < kNodes; ++i) {
        auto &machine = machines_[i];
        if (machine.down && machine.downUntil <= now_) {
            start(machine, i);
        }
        if (machine.down || machine.pausedUntil > now_) {
            continue;
        }
        readLog(machine);
        const bool canAppend = logDownUntil_ <= now_;
        const auto out = tickLease(machine.node, machine.leaseTable, localTime(machine), LeaseInputs{canAppend, liveNodes(i)});
        for (const auto &[to, ping] : out.pings) {
            send(i, to, ping);
        }
        for (const auto &record : out.appends) {
            append(record);
        }
        // These simulations have no claims, so there is nothing to resolve from earlier epochs.
        for (const auto &key : out.acquired) {
            markPriorResolved(machine.node.holder, key);
        }
    }
}

void LeaseWorld::check()
{
    for (uint32_t range = 0; range < kRangeCount && !violation_; ++range) {
        std::string holders;
        int count = 0;
        for (size_t i = 0; i < kNodes; ++i) {
            const auto &machine = machines_[i];
            const LeaseKey key{DomainName("d"), range};
            if (!machine.down && isLeaseValid(machine.node.holder, key, localTime(machine))) {
                ++count;
                holders += " n" + std::to_string(i) + " in epoch " + std::to_string(findHeldLease(machine.node.holder, key)->epoch);
            }
        }
        if (count > 1) {
            violation_ =
                "range " + std::to_string(range) + " has two valid holders at " + std::to_string(duration_cast<milliseconds>(now_).count()) + " ms:" + holders;
        }
    }
}

} // namespace snipestream::testing
