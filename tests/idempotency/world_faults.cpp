#include "tests/idempotency/world.h"

namespace snipestream::testing
{

void World::killOwner(bool restarts)
{
    auto &node = owners_[lease_.holder];
    node.isAlive = restarts;
    ++node.incarnation;
    node.table = makeClaimTable(settings_, DomainName("a"), 7);
    node.epoch = 0;
    node.readId = 0;
    node.lastBitRequest = {};
    node.queuedClaims.clear();
    node.pausedUntil = {};
    if (!restarts) {
        schedule(seconds(8), [&node] {
            node.isAlive = true;
        });
    }
}

void World::inject(Fault fault)
{
    switch (fault) {
    case Fault::OwnerKilled:
        // onStep is called in the middle of an action of this node, so the node is killed after the action.
        schedule({}, [this] {
            killOwner(false);
        });
        break;
    case Fault::OwnerRestarted:
        schedule({}, [this] {
            killOwner(true);
        });
        break;
    case Fault::OwnerPaused:
        owners_[lease_.holder].pausedUntil = now_ + seconds(5);
        break;
    case Fault::EntryKilled:
        schedule({}, [this] {
            entries_ = {};
        });
        break;
    case Fault::LogDown:
        log_.downUntil = now_ + seconds(6);
        break;
    case Fault::LogSlow:
        log_.slowUntil = now_ + seconds(6);
        break;
    case Fault::AppendResponseLost:
        log_.loseResponse = true;
        break;
    case Fault::AppendLostThenStored:
        log_.storeLostAppend = true;
        break;
    case Fault::AppendAndResponseDelayed:
        log_.delayAppendAndResponse = true;
        break;
    case Fault::MessageLost:
        loseNextMessage_ = true;
        break;
    case Fault::MessageDuplicated:
        duplicateNextMessage_ = true;
        break;
    case Fault::MessageDelayed:
        delayNextMessage_ = true;
        break;
    case Fault::HomeLinkClosed:
        closeNextHomeLink_ = true;
        break;
    case Fault::AdmissionRefused:
        refusedAdmissions_ = 2;
        break;
    case Fault::LogDownPastRetention:
        // The owner cannot renew its claims on the log for longer than the log keeps them.
        log_.downUntil = now_ + settings_.logRetention + seconds(5);
        break;
    case Fault::LogDownThenOwnerKilled:
        log_.downUntil = now_ + seconds(4);
        schedule(seconds(2), [this] {
            killOwner(false);
        });
        break;
    }
}

auto World::activeFaults() const -> int
{
    int active = 0;
    for (const auto &node : owners_) {
        active += !node.isAlive || isPaused(node) ? 1 : 0;
    }
    for (const bool isSet : {loseNextMessage_, duplicateNextMessage_, delayNextMessage_, closeNextHomeLink_, refusedAdmissions_ > 0, log_.loseResponse,
                             log_.storeLostAppend, log_.delayAppendAndResponse, now_ < log_.downUntil, now_ < log_.slowUntil}) {
        active += isSet ? 1 : 0;
    }
    return active;
}

void World::clearFaults()
{
    loseNextMessage_ = duplicateNextMessage_ = delayNextMessage_ = closeNextHomeLink_ = false;
    refusedAdmissions_ = 0;
    log_.loseResponse = log_.storeLostAppend = log_.delayAppendAndResponse = false;
    log_.downUntil = log_.slowUntil = now_;
    advanceTime(seconds(20));
}

auto stepName(Step step) -> std::string
{
    static const std::vector<const char *> names = {
        "claim sent", //
        "claim at the owner", "append sent",  "append stored",  "grant sent", "request sent", "request at the target",
        "answer sent",        "outcome sent", "outcome stored",
    };
    return names.at(static_cast<size_t>(step));
}

auto faultName(Fault fault) -> std::string
{
    static const std::vector<const char *> names = {
        "owner killed", //
        "owner restarted",
        "owner paused 5 s",
        "entry nodes killed",
        "log down 6 s",
        "log slow 6 s",
        "append answer lost",
        "append lost, stored 6 s later",
        "append and answer 6 s late",
        "next message lost",
        "next message doubled",
        "next message 4 s late",
        "link to home closed",
        "admission refused",
        "log down past its retention",
        "log down, then owner killed",
    };
    return names.at(static_cast<size_t>(fault));
}

auto defectName(Defect defect) -> std::string
{
    static const std::vector<const char *> names = {
        "none", //
        "run before the append is acknowledged",
        "grant although the lease was not valid at the acknowledgement",
        "no fence",
        "forget on takeover",
        "resend after a byte was sent",
        "not-run reported while an attempt is unknown",
        "quarantine skipped",
        "unlogged mode without the witnesses",
        "replay cut short",
    };
    return names.at(static_cast<size_t>(defect));
}

} // namespace snipestream::testing
