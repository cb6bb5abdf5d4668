#pragma once

#include "idempotency/attempt_state.h"
#include "idempotency/claim_table.h"
#include "tests/idempotency/oracle.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// A defect injected into the simulated nodes around the system under test, to check that the oracle detects it.
enum class Defect {
    None,
    RunBeforeAcknowledged,
    GrantWithoutLease,
    NoFence,
    ClaimsDroppedOnTakeover,
    ResendAfterByte,
    NotRunWhileUnknown,
    QuarantineSkipped,
    UnloggedWithoutWitnesses,
    ReplayTruncated,
};

/// Steps of an attempt at which a fault can be injected.
enum class Step {
    BeginSent,
    BeginArrived,
    AppendSent,
    AppendStored,
    GrantSent,
    Dispatched,
    Running,
    ResponseSent,
    EndSent,
    OutcomeStored,
};
constexpr int kStepCount = 10;

enum class Fault {
    OwnerKilled,
    OwnerRestarted,
    OwnerPaused,
    EntryKilled,
    LogDown,
    LogSlow,
    AppendResponseLost,
    /// The append is reported as lost, and its record is stored 6 s later.
    AppendLostThenStored,
    /// The record is stored and acknowledged 6 s later.
    AppendAndResponseDelayed,
    MessageLost,
    MessageDuplicated,
    MessageDelayed,
    HomeLinkClosed,
    AdmissionRefused,
    LogDownPastRetention,
    LogDownThenOwnerKilled,
};
constexpr int kFaultCount = 16;

/// Simulation in virtual time of two candidate owners of one range, two entry nodes, two home nodes, a target, a log and a
/// lease.
struct World {
    explicit World(Defect defect);
    /// Advances the virtual time in steps of 10 ms and runs everything that is due.
    void advanceTime(Duration duration);
    /// Sends the next attempt of the key to an entry node.
    void request(const std::string &key, size_t entry);
    /// Lets an entry node refuse the next attempt of the key without a claim, after a peek at the owner.
    void refuseAfterPeek(const std::string &key);
    void inject(Fault fault);
    [[nodiscard]] auto activeFaults() const -> int;
    /// Ends all faults and waits 20 s for takeovers and flushes to finish.
    void clearFaults();

    Oracle oracle;
    /// Called when an attempt reaches a step.
    std::function<void(Step)> onStep = [](Step) {};
    /// Time left to the deadline of each new request.
    Duration requestTime = seconds(2);
    size_t quarantines = 0;
    size_t unloggedModes = 0;
    size_t takeovers = 0;

private:
    struct OwnerNode {
        ClaimTable table;
        bool isAlive = true;
        TimePoint pausedUntil{};
        uint64_t epoch = 0;
        uint64_t incarnation = 0;
        uint64_t readId = 0;
        size_t readOffset = 0;
        std::pair<uint64_t, uint64_t> lastBitRequest;
        std::map<RequestId, size_t> queuedClaims;
    };
    struct Attempt {
        AttemptState state;
        BeginRequest begin;
        TimePoint deadline;
        int dispatches = 0;
    };
    struct PendingOutcome {
        ClaimKey key;
        Outcome outcome;
        TimePoint nextRetryAt;
        TimePoint giveUpAt;
    };
    struct EntryNode {
        std::map<RequestId, Attempt> attempts;
        std::map<RequestId, PendingOutcome> pendingOutcomes;
    };
    struct Log {
        std::deque<std::pair<TimePoint, std::string>> records;
        size_t earliest = 0;
        TimePoint downUntil{};
        TimePoint slowUntil{};
        bool loseResponse = false;
        bool storeLostAppend = false;
        bool delayAppendAndResponse = false;
    };
    struct Lease {
        size_t holder = 0;
        uint64_t epoch = 1;
        bool isHeld = true;
        TimePoint validUntil{};
        bool unloggedBit = false;
        bool unloggedBitAtStart = false;
        uint64_t lastBitRequest = 0;
    };

    void tick();
    void tickLease();
    void tickOwner(size_t index);
    void tickEntry(size_t index);
    void schedule(Duration delay, std::function<void()> action);
    void send(std::function<void()> deliver);
    auto view(size_t index) const -> OwnerView;
    auto isPaused(const OwnerNode &node) const -> bool;
    void applyOutputs(size_t index, const OwnerOutputs &outputs);
    void append(size_t index, const ClaimsRecord &record);
    void readLog(size_t index);
    void reply(size_t entry, const RequestId &attempt, const ClaimDecision &decision);
    void applyAction(size_t entry, const RequestId &id, const EntryAction &action);
    void dispatch(size_t entry, const RequestId &id);
    void runAtHome(size_t home, size_t entry, const RequestId &id, const ClaimKey &key, unsigned number);
    void report(size_t entry, const RequestId &id, HomeReport report, const std::string &body);
    void runAtOwner(size_t index, uint64_t incarnation, const std::function<void()> &action);
    void killOwner(bool restarts);

    ClaimSettings settings_;
    Defect defect_;
    TimePoint now_{seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> scheduledActions_;
    std::array<OwnerNode, 2> owners_;
    std::array<EntryNode, 2> entries_;
    std::array<HomeAttempts, 2> homes_;
    Log log_;
    Lease lease_;
    std::map<std::string, unsigned> attemptNumbers_;
    uint64_t nextAttemptId_ = 1;
    bool loseNextMessage_ = false;
    bool duplicateNextMessage_ = false;
    bool delayNextMessage_ = false;
    bool closeNextHomeLink_ = false;
    int refusedAdmissions_ = 0;
};

auto stepName(Step step) -> std::string;
auto faultName(Fault fault) -> std::string;
auto defectName(Defect defect) -> std::string;

} // namespace snipestream::testing
