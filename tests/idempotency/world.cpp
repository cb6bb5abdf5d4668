#include "tests/idempotency/world.h"

#include <glog/logging.h>

namespace snipestream::testing
{

namespace
{
constexpr Duration kTick = milliseconds(10);

const TeamName kTeam{"studio"};
} // namespace

World::World(Defect defect)
    : defect_(defect)
{
    settings_.retention = std::chrono::minutes(20);
    // Short enough that records expire and claims are renewed within a simulation.
    settings_.logRetention = seconds(20);
    settings_.maxBatchClaims = 3;
    for (auto &owner : owners_) {
        owner.table = makeClaimTable(settings_, DomainName("a"), 7);
    }
    owners_[0].epoch = 1;
    lease_.validUntil = now_ + seconds(2);
    advanceTime(seconds(1));
}

void World::schedule(Duration delay, std::function<void()> action)
{
    scheduledActions_.emplace(now_ + delay, std::move(action));
}

void World::send(std::function<void()> deliver)
{
    if (std::exchange(loseNextMessage_, false)) {
        return;
    }
    if (std::exchange(duplicateNextMessage_, false)) {
        schedule(kTick, deliver);
        schedule(seconds(3), std::move(deliver));
        return;
    }
    schedule(std::exchange(delayNextMessage_, false) ? Duration(seconds(4)) : kTick, std::move(deliver));
}

auto World::isPaused(const OwnerNode &node) const -> bool
{
    return now_ < node.pausedUntil;
}

/// Runs an action at an owner unless the owner has been killed in the meantime. A paused owner runs it after it resumes.
void World::runAtOwner(size_t index, uint64_t incarnation, const std::function<void()> &action)
{
    auto &node = owners_[index];
    if (!node.isAlive || node.incarnation != incarnation) {
        return;
    }
    if (isPaused(node)) {
        scheduledActions_.emplace(node.pausedUntil, [=] {
            runAtOwner(index, incarnation, action);
        });
        return;
    }
    action();
}

auto World::view(size_t index) const -> OwnerView
{
    const auto &node = owners_[index];
    OwnerView view;
    view.epoch = node.epoch;
    const bool isHolder = lease_.isHeld && lease_.holder == index && node.epoch == lease_.epoch;
    view.valid = isHolder && now_ < lease_.validUntil;
    if (isHolder) {
        view.predecessorMayBeUnlogged = lease_.unloggedBitAtStart && defect_ != Defect::QuarantineSkipped;
        view.unloggedConfirmed = lease_.unloggedBit && lease_.lastBitRequest == node.table.bitRequestNumber && node.table.unloggedBitRequested;
    }
    if (defect_ == Defect::UnloggedWithoutWitnesses) {
        view.unloggedConfirmed = node.table.unloggedBitRequested;
    }
    return view;
}

void World::tickLease()
{
    auto &holder = owners_[lease_.holder];
    const bool isPinging = lease_.isHeld && holder.isAlive && !isPaused(holder) && holder.epoch == lease_.epoch;
    if (isPinging) {
        lease_.validUntil = now_ + seconds(2);
        return;
    }
    // A takeover requires a record on the log, and witnesses that have not confirmed the old epoch for 3 s.
    if (now_ < lease_.validUntil + seconds(1) || now_ < log_.downUntil) {
        return;
    }
    for (size_t i = 1; i <= owners_.size(); ++i) {
        const size_t candidate = (lease_.holder + i) % owners_.size();
        if (owners_[candidate].isAlive && !isPaused(owners_[candidate])) {
            lease_ = Lease{candidate, lease_.epoch + 1, true, now_ + seconds(2), lease_.unloggedBit, lease_.unloggedBit, 0};
            owners_[candidate].epoch = lease_.epoch;
            ++takeovers;
            return;
        }
    }
}

void World::applyOutputs(size_t index, const OwnerOutputs &outputs)
{
    auto &node = owners_[index];
    for (const auto event : outputs.events) {
        quarantines += event == OwnerEvent::RangeQuarantined ? 1 : 0;
        unloggedModes += event == OwnerEvent::UnloggedModeEntered ? 1 : 0;
    }
    for (const auto &deferred : outputs.decisions) {
        const auto queued = node.queuedClaims.find(deferred.attempt);
        if (queued != node.queuedClaims.end()) {
            reply(queued->second, deferred.attempt, deferred.decision);
            node.queuedClaims.erase(queued);
        }
    }
    const std::pair<uint64_t, uint64_t> request{node.epoch, outputs.bitRequestNumber};
    if (request != node.lastBitRequest && node.table.epoch == node.epoch) {
        node.lastBitRequest = request;
        schedule(milliseconds(30), [this, request, requested = outputs.unloggedBitRequested] {
            const bool reachesWitnesses = defect_ != Defect::UnloggedWithoutWitnesses;
            if (reachesWitnesses && lease_.epoch == request.first && request.second > lease_.lastBitRequest) {
                lease_.unloggedBit = requested;
                lease_.lastBitRequest = request.second;
            }
        });
    }
    if (outputs.append) {
        append(index, *outputs.append);
    }
}

void World::append(size_t index, const ClaimsRecord &record)
{
    const bool hasClaim = !record.claims.empty() && record.claims[0].state == ClaimState::Claimed;
    const bool hasOutcome = !record.claims.empty() && record.claims[0].state == ClaimState::Done;
    if (hasClaim) {
        onStep(Step::AppendSent);
    }
    const auto offset = std::make_shared<uint64_t>(0);
    const auto store = [this, offset, text = toJson(record), hasClaim, hasOutcome] {
        *offset = log_.earliest + log_.records.size();
        log_.records.emplace_back(now_, text);
        if (hasClaim) {
            onStep(Step::AppendStored);
        }
        if (hasOutcome) {
            onStep(Step::OutcomeStored);
        }
    };
    const uint64_t incarnation = owners_[index].incarnation;
    const auto reportResult = [=, epoch = record.epoch, sequence = record.sequence](AppendResult result) {
        runAtOwner(index, incarnation, [=] {
            OwnerView ownerView = view(index);
            ownerView.valid = ownerView.valid || defect_ == Defect::GrantWithoutLease;
            applyOutputs(index, onAppendResult(owners_[index].table, epoch, sequence, result, *offset, ownerView, now_));
        });
    };
    if (now_ < log_.downUntil) {
        schedule(milliseconds(20), [=] {
            reportResult(AppendResult::Failed);
        });
        return;
    }
    const bool isSlow = now_ < log_.slowUntil;
    const bool isLost = std::exchange(log_.loseResponse, false);
    const bool isLostThenStored = std::exchange(log_.storeLostAppend, false);
    const bool isDelayed = std::exchange(log_.delayAppendAndResponse, false);
    schedule(isLostThenStored || isDelayed ? seconds(6) : isSlow ? Duration(milliseconds(400)) : Duration(kTick), store);
    schedule(isDelayed                        ? Duration(seconds(6) + kTick)
                 : isLost || isLostThenStored ? Duration(milliseconds(700))
                 : isSlow                     ? milliseconds(600)
                                              : milliseconds(20),
             [=] {
                 reportResult(isLost || isLostThenStored ? AppendResult::Lost : AppendResult::Acknowledged);
             });
}

void World::readLog(size_t index)
{
    auto &node = owners_[index];
    auto &table = node.table;
    if (now_ < log_.downUntil) {
        return;
    }
    if (node.readId != table.readId) {
        node.readId = table.readId;
        node.readOffset = log_.earliest;
    }
    node.readOffset = std::max(node.readOffset, log_.earliest);
    std::vector<ClaimsRecord> records;
    const size_t end = log_.earliest + log_.records.size();
    while (node.readOffset < end && records.size() < 5) {
        auto parsed = claimsRecordFromJson(log_.records[node.readOffset++ - log_.earliest].second);
        CHECK(parsed) << parsed.error().message;
        records.push_back(std::move(parsed.value()));
    }
    const bool isOwnFence = !records.empty() && records.back().kind == RecordKind::Fence && records.back().epoch == table.epoch;
    if (defect_ == Defect::ClaimsDroppedOnTakeover && !isOwnFence) {
        records.clear();
    }
    if (defect_ == Defect::NoFence) {
        // Applies every record in log order, regardless of its epoch.
        for (auto &record : records) {
            if (record.kind != RecordKind::Fence) {
                record.epoch = std::max<uint64_t>(table.fold.epoch, 1);
                record.sequence = table.fold.lastSequence + 1;
                record.liveFrom = 0;
                applyClaimsRecord(table.fold, record, settings_.retention);
                record.range = kRangeCount;
            }
        }
    }
    const bool isAtEnd = node.readOffset == end;
    const LogRead read{table.readId, records, log_.earliest, node.readOffset, isAtEnd};
    applyOutputs(index, onLogRecords(table, read, view(index), now_));
}

void World::tickOwner(size_t index)
{
    auto &node = owners_[index];
    if (!node.isAlive || isPaused(node)) {
        return;
    }
    const auto outputs = tickClaims(node.table, view(index), 1, now_);
    applyOutputs(index, outputs);
    if (outputs.readRequested) {
        readLog(index);
    }
}

void World::tick()
{
    now_ += kTick;
    while (!scheduledActions_.empty() && scheduledActions_.begin()->first <= now_) {
        const auto node = scheduledActions_.extract(scheduledActions_.begin());
        node.mapped()();
    }
    while (!log_.records.empty() && log_.records.front().first + settings_.logRetention < now_) {
        log_.records.pop_front();
        ++log_.earliest;
    }
    tickLease();
    for (size_t i = 0; i < owners_.size(); ++i) {
        tickOwner(i);
        tickEntry(i);
    }
}

void World::advanceTime(Duration duration)
{
    for (const TimePoint end = now_ + duration; now_ < end;) {
        tick();
    }
}

void World::request(const std::string &key, size_t entry)
{
    const RequestId id{entry, nextAttemptId_++};
    const unsigned number = ++attemptNumbers_[key];
    Attempt attempt;
    attempt.state.key = {kTeam, key};
    attempt.state.attempt = id;
    attempt.deadline = now_ + requestTime;
    attempt.begin = BeginRequest{attempt.state.key, requestFingerprint("POST", "/" + key, 3), id, number, NodeName("e"), requestTime};
    onClaimRequested(attempt.state);
    const BeginRequest begin = attempt.begin;
    entries_[entry].attempts.emplace(id, std::move(attempt));
    const size_t owner = lease_.holder;
    const uint64_t incarnation = owners_[owner].incarnation;
    onStep(Step::BeginSent);
    send([=] {
        runAtOwner(owner, incarnation, [=] {
            auto &node = owners_[owner];
            const ClaimDecision decision = beginClaim(node.table, begin, view(owner), now_);
            onStep(Step::BeginArrived);
            if (!std::holds_alternative<Wait>(decision)) {
                reply(entry, begin.attempt, decision);
                return;
            }
            node.queuedClaims[begin.attempt] = entry;
            if (defect_ == Defect::RunBeforeAcknowledged) {
                reply(entry, begin.attempt, Granted{});
            }
        });
    });
}

void World::refuseAfterPeek(const std::string &key)
{
    const unsigned number = ++attemptNumbers_[key];
    AttemptState state;
    state.key = {kTeam, key};
    const auto &node = owners_[lease_.holder];
    const bool canRespond = node.isAlive && !isPaused(node);
    const RunState run = canRespond ? peekClaim(node.table, state.key, number, view(lease_.holder), now_) : RunState::Unknown;
    const auto action =
        onLocalRefusal(state, RefusalReason::DeadlinePassed, {}, run == RunState::NotRun ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun);
    oracle.refusals.push_back({key, number, "peek", action.refusal->run == RunState::NotRun});
}

void World::reply(size_t entry, const RequestId &attempt, const ClaimDecision &decision)
{
    if (std::holds_alternative<Granted>(decision)) {
        onStep(Step::GrantSent);
    }
    send([=] {
        const auto found = entries_[entry].attempts.find(attempt);
        if (found != entries_[entry].attempts.end()) {
            applyAction(entry, attempt, onClaimDecision(found->second.state, decision));
        }
    });
}

void World::applyAction(size_t entry, const RequestId &id, const EntryAction &action)
{
    auto &attempt = entries_[entry].attempts.at(id);
    const std::string &key = attempt.state.key.idempotencyKey;
    const unsigned number = attempt.begin.attemptNumber;
    if (action.kind == EntryActionKind::Refuse) {
        const bool notRun = action.refusal->run == RunState::NotRun || defect_ == Defect::NotRunWhileUnknown;
        oracle.refusals.push_back({key, number, std::string(refusalReasonName(action.refusal->reason)), notRun});
    } else if (action.kind == EntryActionKind::RespondRecorded) {
        std::string body = action.recorded->body;
        body.resize(body.size() - (defect_ == Defect::ReplayTruncated ? 1 : 0));
        oracle.responses.push_back({key, number, body});
    } else if (action.kind == EntryActionKind::Dispatch) {
        dispatch(entry, id);
    }
    if (action.outcome) {
        entries_[entry].pendingOutcomes[id] = {attempt.state.key, *action.outcome, now_, now_ + seconds(15)};
    }
}

void World::dispatch(size_t entry, const RequestId &id)
{
    auto &attempt = entries_[entry].attempts.at(id);
    if (defect_ != Defect::ResendAfterByte || mayDispatch(attempt.state)) {
        onDispatched(attempt.state);
    }
    const size_t home = static_cast<size_t>(attempt.dispatches++) % homes_.size();
    send([=, key = attempt.state.key, number = attempt.begin.attemptNumber] {
        runAtHome(home, entry, id, key, number);
    });
    onStep(Step::Dispatched);
}

void World::runAtHome(size_t home, size_t entry, const RequestId &id, const ClaimKey &key, unsigned number)
{
    if (!acceptAttempt(homes_[home], id, now_)) {
        return;
    }
    if (refusedAdmissions_ > 0) {
        --refusedAdmissions_;
        report(entry, id, HomeReport::RefusedNotRun, {});
        return;
    }
    const std::string &name = key.idempotencyKey;
    const std::string body = "answer " + std::to_string(oracle.runs.size()) + " to " + name;
    oracle.runs.push_back({name, number, body});
    onStep(Step::Running);
    schedule(milliseconds(100), [=] {
        if (std::exchange(closeNextHomeLink_, false)) {
            report(entry, id, HomeReport::LinkClosed, {});
            return;
        }
        onStep(Step::ResponseSent);
        report(entry, id, HomeReport::Answered, body);
    });
}

void World::report(size_t entry, const RequestId &id, HomeReport report, const std::string &body)
{
    send([=] {
        const auto found = entries_[entry].attempts.find(id);
        if (found == entries_[entry].attempts.end()) {
            return;
        }
        auto &attempt = found->second;
        if (report == HomeReport::LinkClosed && defect_ == Defect::ResendAfterByte && attempt.dispatches == 1) {
            dispatch(entry, id);
            return;
        }
        const RecordedResponse response{201, {}, body};
        const auto action = onHomeReport(attempt.state, report, std::nullopt, recordableResponse(response, settings_));
        if (action.kind == EntryActionKind::ForwardResponse) {
            oracle.responses.push_back({attempt.state.key.idempotencyKey, attempt.begin.attemptNumber, body});
        }
        applyAction(entry, id, action);
        if (report == HomeReport::RefusedNotRun && mayDispatch(attempt.state)) {
            if (attempt.dispatches < 2) {
                dispatch(entry, id);
                return;
            }
            applyAction(entry, id, onLocalRefusal(attempt.state, RefusalReason::Overloaded, {}));
        }
    });
}

void World::tickEntry(size_t index)
{
    auto &entry = entries_[index];
    for (auto &[id, attempt] : entry.attempts) {
        if (attempt.state.closed || now_ < attempt.deadline) {
            continue;
        }
        if (attempt.state.step == AttemptStep::ClaimRequested) {
            applyAction(index, id, onClaimCallFailed(attempt.state));
        } else {
            applyAction(index, id, onHomeReport(attempt.state, HomeReport::Timeout));
        }
    }
    for (auto it = entry.pendingOutcomes.begin(); it != entry.pendingOutcomes.end();) {
        auto &[id, pending] = *it;
        if (now_ >= pending.giveUpAt) {
            it = entry.pendingOutcomes.erase(it);
            continue;
        }
        if (now_ >= pending.nextRetryAt) {
            pending.nextRetryAt = now_ + milliseconds(500);
            onStep(Step::EndSent);
            const size_t owner = lease_.holder;
            send([this, owner, index, id = id, pending = pending, incarnation = owners_[owner].incarnation] {
                runAtOwner(owner, incarnation, [=] {
                    if (endClaim(owners_[owner].table, pending.key, id, pending.outcome, view(owner), now_)) {
                        send([=] {
                            entries_[index].pendingOutcomes.erase(id);
                        });
                    }
                });
            });
        }
        ++it;
    }
}

} // namespace snipestream::testing
