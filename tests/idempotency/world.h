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

/// A fault put back into the glue around the system, to show that the oracle notices it.
enum class Defect {
    None,
    RunBeforeAcknowledged,
    GrantWithoutLease,
    NoFence,
    ForgetOnTakeover,
    ResendAfterByte,
    NotRunWhileUnknown,
    QuarantineSkipped,
    UnloggedWithoutWitnesses,
    ReplayCut,
};

/// Moments in the life of one attempt at which a fault can strike.
enum class Step {
    BeginSent,
    BeginArrived,
    AppendSent,
    AppendStored,
    GrantSent,
    Dispatched,
    Running,
    AnswerSent,
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
    AppendAnswerLost,
    AppendDelayed,
    AppendLate,
    MessageLost,
    MessageDuplicated,
    MessageDelayed,
    HomeLinkClosed,
    AdmissionRefused,
    LogExpires,
    OutageThenOwnerDeath,
};
constexpr int kFaultCount = 16;

/// Two candidate owners of one range, two entry nodes, two home nodes, a target, a log and a lease, in virtual time.
struct World {
    explicit World(Defect defect);
    /// Lets virtual time pass in steps of 10 ms.
    void advance(Duration duration);
    /// A caller sends the next attempt of the key to an entry node.
    void request(const std::string &key, size_t entry);
    /// An entry node refuses the next attempt of the key before the claim, after a peek at the owner.
    void refuseAfterPeek(const std::string &key);
    void strike(Fault fault);
    [[nodiscard]] auto activeFaults() const -> int;
    /// Ends all faults and lets takeovers and flushes finish.
    void heal();

    Oracle oracle;
    /// Called at each step of each attempt.
    std::function<void(Step)> onStep = [](Step) {};
    /// Time left of the requests that are made from now on.
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
        std::map<RequestId, size_t> waiting;
    };
    struct Attempt {
        AttemptState trace;
        BeginRequest begin;
        TimePoint deadline;
        int dispatches = 0;
    };
    struct PendingEnd {
        ClaimKey key;
        Outcome outcome;
        TimePoint nextTry;
        TimePoint until;
    };
    struct EntryNode {
        std::map<RequestId, Attempt> attempts;
        std::map<RequestId, PendingEnd> ends;
    };
    struct Log {
        std::deque<std::pair<TimePoint, std::string>> records;
        size_t earliest = 0;
        TimePoint downUntil{};
        TimePoint slowUntil{};
        bool loseAnswer = false;
        bool delayAppend = false;
        bool delayAnswer = false;
    };
    struct Lease {
        size_t holder = 0;
        uint64_t epoch = 1;
        bool isHeld = true;
        TimePoint validUntil{};
        bool bit = false;
        bool bitAtStart = false;
        uint64_t lastBitRequest = 0;
    };

    void tick();
    void tickLease();
    void tickOwner(size_t index);
    void tickEntry(size_t index);
    void after(Duration delay, std::function<void()> action);
    void send(std::function<void()> deliver);
    auto view(size_t index) const -> OwnerView;
    auto isPaused(const OwnerNode &node) const -> bool;
    void handle(size_t index, const OwnerOutputs &outputs);
    void append(size_t index, const ClaimsRecord &record);
    void feed(size_t index);
    void reply(size_t entry, const RequestId &attempt, const ClaimDecision &verdict);
    void act(size_t entry, const RequestId &id, const EntryAction &action);
    void dispatch(size_t entry, const RequestId &id);
    void atHome(size_t home, size_t entry, const RequestId &id, const ClaimKey &key, unsigned number);
    void report(size_t entry, const RequestId &id, HomeReport report, const std::string &body);
    void atOwner(size_t index, uint64_t incarnation, const std::function<void()> &action);
    void killOwner(bool restarts);

    ClaimSettings settings_;
    Defect defect_;
    TimePoint now_{seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> actions_;
    std::array<OwnerNode, 2> owners_;
    std::array<EntryNode, 2> entries_;
    std::array<HomeAttempts, 2> homes_;
    Log log_;
    Lease lease_;
    std::map<std::string, unsigned> numbers_;
    uint64_t nextAttempt_ = 1;
    bool loseMessage_ = false;
    bool duplicateMessage_ = false;
    bool delayMessage_ = false;
    bool closeHomeLink_ = false;
    int refusedAdmissions_ = 0;
};

auto stepName(Step step) -> std::string;
auto faultName(Fault fault) -> std::string;
auto defectName(Defect defect) -> std::string;

} // namespace snipestream::testing
