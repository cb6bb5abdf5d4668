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
    // Short enough that a run of commands sees records expire and claims renewed.
    settings_.logRetention = seconds(20);
    settings_.maxBatchClaims = 3;
    for (auto &owner : owners_) {
        owner.table = makeClaimTable(settings_, DomainName("a"), 7);
    }
    owners_[0].epoch = 1;
    lease_.validUntil = now_ + seconds(2);
    advance(seconds(1));
}

void World::after(Duration delay, std::function<void()> action)
{
    actions_.emplace(now_ + delay, std::move(action));
}

void World::send(std::function<void()> deliver)
{
    if (std::exchange(loseMessage_, false)) {
        return;
    }
    if (std::exchange(duplicateMessage_, false)) {
        after(kTick, deliver);
        after(seconds(3), std::move(deliver));
        return;
    }
    after(std::exchange(delayMessage_, false) ? Duration(seconds(4)) : kTick, std::move(deliver));
}

auto World::isPaused(const OwnerNode &node) const -> bool
{
    return now_ < node.pausedUntil;
}

/// Runs an action at an owner unless it has died meanwhile; a paused owner gets to it when it resumes.
void World::atOwner(size_t index, uint64_t incarnation, const std::function<void()> &action)
{
    auto &node = owners_[index];
    if (!node.isAlive || node.incarnation != incarnation) {
        return;
    }
    if (isPaused(node)) {
        actions_.emplace(node.pausedUntil, [=] {
            atOwner(index, incarnation, action);
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
        view.predecessorMayBeUnlogged = lease_.bitAtStart && defect_ != Defect::QuarantineSkipped;
        view.unloggedConfirmed = lease_.bit && lease_.lastBitRequest == node.table.bitRequestNumber && node.table.unloggedBitRequested;
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
    // A takeover needs a record on the log and witnesses that have not confirmed the old epoch for W = 3 s.
    if (now_ < lease_.validUntil + seconds(1) || now_ < log_.downUntil) {
        return;
    }
    for (size_t i = 1; i <= owners_.size(); ++i) {
        const size_t candidate = (lease_.holder + i) % owners_.size();
        if (owners_[candidate].isAlive && !isPaused(owners_[candidate])) {
            lease_ = Lease{candidate, lease_.epoch + 1, true, now_ + seconds(2), lease_.bit, lease_.bit, 0};
            owners_[candidate].epoch = lease_.epoch;
            ++takeovers;
            return;
        }
    }
}

void World::handle(size_t index, const OwnerOutputs &outputs)
{
    auto &node = owners_[index];
    for (const auto event : outputs.events) {
        quarantines += event == OwnerEvent::RangeQuarantined ? 1 : 0;
        unloggedModes += event == OwnerEvent::UnloggedModeEntered ? 1 : 0;
    }
    for (const auto &late : outputs.decisions) {
        const auto waiting = node.waiting.find(late.attempt);
        if (waiting != node.waiting.end()) {
            reply(waiting->second, late.attempt, late.decision);
            node.waiting.erase(waiting);
        }
    }
    const std::pair<uint64_t, uint64_t> request{node.epoch, outputs.bitRequestNumber};
    if (request != node.lastBitRequest && node.table.epoch == node.epoch) {
        node.lastBitRequest = request;
        after(milliseconds(30), [this, request, want = outputs.unloggedBitRequested] {
            const bool isReached = defect_ != Defect::UnloggedWithoutWitnesses;
            if (isReached && lease_.epoch == request.first && request.second > lease_.lastBitRequest) {
                lease_.bit = want;
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
    const auto answer = [=, epoch = record.epoch, sequence = record.sequence](AppendResult result) {
        atOwner(index, incarnation, [=] {
            OwnerView seen = view(index);
            seen.valid = seen.valid || defect_ == Defect::GrantWithoutLease;
            handle(index, onAppendResult(owners_[index].table, epoch, sequence, result, *offset, seen, now_));
        });
    };
    if (now_ < log_.downUntil) {
        after(milliseconds(20), [=] {
            answer(AppendResult::Failed);
        });
        return;
    }
    const bool isSlow = now_ < log_.slowUntil;
    const bool isLost = std::exchange(log_.loseAnswer, false);
    const bool isDelayed = std::exchange(log_.delayAppend, false);
    const bool isLate = std::exchange(log_.delayAnswer, false);
    after(isDelayed || isLate ? seconds(6) : isSlow ? Duration(milliseconds(400)) : Duration(kTick), store);
    after(isLate                    ? Duration(seconds(6) + kTick)
              : isLost || isDelayed ? Duration(milliseconds(700))
              : isSlow              ? milliseconds(600)
                                    : milliseconds(20),
          [=] {
              answer(isLost || isDelayed ? AppendResult::Lost : AppendResult::Acknowledged);
          });
}

void World::feed(size_t index)
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
    if (defect_ == Defect::ForgetOnTakeover && !isOwnFence) {
        records.clear();
    }
    if (defect_ == Defect::NoFence) {
        // A fold that takes every record in log order, whatever epoch wrote it.
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
    handle(index, onLogRecords(table, read, view(index), now_));
}

void World::tickOwner(size_t index)
{
    auto &node = owners_[index];
    if (!node.isAlive || isPaused(node)) {
        return;
    }
    const auto outputs = tickClaims(node.table, view(index), 1, now_);
    handle(index, outputs);
    if (outputs.readRequested) {
        feed(index);
    }
}

void World::tick()
{
    now_ += kTick;
    while (!actions_.empty() && actions_.begin()->first <= now_) {
        const auto node = actions_.extract(actions_.begin());
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

void World::advance(Duration duration)
{
    for (const TimePoint end = now_ + duration; now_ < end;) {
        tick();
    }
}

void World::request(const std::string &key, size_t entry)
{
    const RequestId id{entry, nextAttempt_++};
    const unsigned number = ++numbers_[key];
    Attempt attempt;
    attempt.trace.key = {kTeam, key};
    attempt.trace.attempt = id;
    attempt.deadline = now_ + requestTime;
    attempt.begin = BeginRequest{attempt.trace.key, requestFingerprint("POST", "/" + key, 3), id, number, NodeName("e"), requestTime};
    onClaimRequested(attempt.trace);
    const BeginRequest begin = attempt.begin;
    entries_[entry].attempts.emplace(id, std::move(attempt));
    const size_t owner = lease_.holder;
    const uint64_t incarnation = owners_[owner].incarnation;
    onStep(Step::BeginSent);
    send([=] {
        atOwner(owner, incarnation, [=] {
            auto &node = owners_[owner];
            const ClaimDecision verdict = beginClaim(node.table, begin, view(owner), now_);
            onStep(Step::BeginArrived);
            if (!std::holds_alternative<Wait>(verdict)) {
                reply(entry, begin.attempt, verdict);
                return;
            }
            node.waiting[begin.attempt] = entry;
            if (defect_ == Defect::RunBeforeAcknowledged) {
                reply(entry, begin.attempt, Granted{});
            }
        });
    });
}

void World::refuseAfterPeek(const std::string &key)
{
    const unsigned number = ++numbers_[key];
    AttemptState trace;
    trace.key = {kTeam, key};
    const auto &node = owners_[lease_.holder];
    const bool canAnswer = node.isAlive && !isPaused(node);
    const RunState run = canAnswer ? peekClaim(node.table, trace.key, number, view(lease_.holder), now_) : RunState::Unknown;
    const auto action =
        onLocalRefusal(trace, RefusalReason::DeadlinePassed, {}, run == RunState::NotRun ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun);
    oracle.refusals.push_back({key, number, "peek", action.refusal->run == RunState::NotRun});
}

void World::reply(size_t entry, const RequestId &attempt, const ClaimDecision &verdict)
{
    if (std::holds_alternative<Granted>(verdict)) {
        onStep(Step::GrantSent);
    }
    send([=] {
        const auto found = entries_[entry].attempts.find(attempt);
        if (found != entries_[entry].attempts.end()) {
            act(entry, attempt, onClaimDecision(found->second.trace, verdict));
        }
    });
}

void World::act(size_t entry, const RequestId &id, const EntryAction &action)
{
    auto &attempt = entries_[entry].attempts.at(id);
    const std::string &key = attempt.trace.key.idempotencyKey;
    const unsigned number = attempt.begin.attemptNumber;
    if (action.kind == EntryActionKind::Refuse) {
        const bool notRun = action.refusal->run == RunState::NotRun || defect_ == Defect::NotRunWhileUnknown;
        oracle.refusals.push_back({key, number, std::string(refusalReasonName(action.refusal->reason)), notRun});
    } else if (action.kind == EntryActionKind::RespondRecorded) {
        std::string body = action.recorded->body;
        body.resize(body.size() - (defect_ == Defect::ReplayCut ? 1 : 0));
        oracle.answers.push_back({key, number, body});
    } else if (action.kind == EntryActionKind::Dispatch) {
        dispatch(entry, id);
    }
    if (action.outcome) {
        entries_[entry].ends[id] = {attempt.trace.key, *action.outcome, now_, now_ + seconds(15)};
    }
}

void World::dispatch(size_t entry, const RequestId &id)
{
    auto &attempt = entries_[entry].attempts.at(id);
    if (defect_ != Defect::ResendAfterByte || mayDispatch(attempt.trace)) {
        onDispatched(attempt.trace);
    }
    const size_t home = static_cast<size_t>(attempt.dispatches++) % homes_.size();
    send([=, key = attempt.trace.key, number = attempt.begin.attemptNumber] {
        atHome(home, entry, id, key, number);
    });
    onStep(Step::Dispatched);
}

void World::atHome(size_t home, size_t entry, const RequestId &id, const ClaimKey &key, unsigned number)
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
    after(milliseconds(100), [=] {
        if (std::exchange(closeHomeLink_, false)) {
            report(entry, id, HomeReport::LinkClosed, {});
            return;
        }
        onStep(Step::AnswerSent);
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
        const auto action = onHomeReport(attempt.trace, report, std::nullopt, recordableResponse(response, settings_));
        if (action.kind == EntryActionKind::RespondAnswer) {
            oracle.answers.push_back({attempt.trace.key.idempotencyKey, attempt.begin.attemptNumber, body});
        }
        act(entry, id, action);
        if (report == HomeReport::RefusedNotRun && mayDispatch(attempt.trace)) {
            if (attempt.dispatches < 2) {
                dispatch(entry, id);
                return;
            }
            act(entry, id, onLocalRefusal(attempt.trace, RefusalReason::Overloaded, {}));
        }
    });
}

void World::tickEntry(size_t index)
{
    auto &entry = entries_[index];
    for (auto &[id, attempt] : entry.attempts) {
        if (attempt.trace.closed || now_ < attempt.deadline) {
            continue;
        }
        if (attempt.trace.step == AttemptStep::ClaimRequested) {
            act(index, id, onClaimCallFailed(attempt.trace));
        } else {
            act(index, id, onHomeReport(attempt.trace, HomeReport::Timeout));
        }
    }
    for (auto it = entry.ends.begin(); it != entry.ends.end();) {
        auto &[id, end] = *it;
        if (now_ >= end.until) {
            it = entry.ends.erase(it);
            continue;
        }
        if (now_ >= end.nextTry) {
            end.nextTry = now_ + milliseconds(500);
            onStep(Step::EndSent);
            const size_t owner = lease_.holder;
            send([this, owner, index, id = id, end = end, incarnation = owners_[owner].incarnation] {
                atOwner(owner, incarnation, [=] {
                    if (endClaim(owners_[owner].table, end.key, id, end.outcome, view(owner), now_)) {
                        send([=] {
                            entries_[index].ends.erase(id);
                        });
                    }
                });
            });
        }
        ++it;
    }
}

} // namespace snipestream::testing
