#pragma once

#include "lease/votes.h"

#include "core/random.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipestream::testing
{

/// A fault in a run. `a` and `b` are node indexes, `length` is the duration of the fault.
struct VoteCommand {
    enum Kind {
        Restart,
        RestartAll,
        Pause,
        CutOutgoing,
        CutLink,
        Isolate,
        Delay,
        Duplicate,
        Lose,
        KindCount,
    };
    int kind = Restart;
    int a = 0;
    int b = 0;
    Duration length{};
    /// Time that passes after the command.
    Duration wait{};
};

/// Simulates the members of one failure domain in virtual time, with clocks of different rates and a network that loses,
/// delays, reorders and duplicates messages. It adds up the votes that all candidates count.
class VoteWorld
{
public:
    static constexpr size_t kNodes = 6;
    static constexpr Duration kStep = milliseconds(5);

    VoteWorld(uint64_t seed, const VoteParams &params);

    void apply(const VoteCommand &command);
    /// Advances the time and checks after every step that no committee has given more votes than it has members.
    void run(Duration length);

    /// The first violation found.
    [[nodiscard]] auto violation() const -> const std::optional<std::string> &;
    /// Returns the votes of a node for a range now.
    [[nodiscard]] auto votesOf(size_t node, uint32_t range) const -> VoteCount;
    /// Returns the index of the first candidate of a range.
    [[nodiscard]] auto firstCandidate(uint32_t range) const -> size_t;
    [[nodiscard]] auto messageCount() const -> uint64_t;
    [[nodiscard]] static auto ranges() -> std::vector<uint32_t>;

private:
    struct Packet {
        Duration due{};
        size_t from = 0;
        size_t to = 0;
        std::variant<VoteClaim, Vote> payload;
    };
    struct Machine {
        VoteTable table;
        double rate = 1;
        Duration clockOffset{};
        Duration downUntil{};
        Duration pausedUntil{};
        Duration outgoingCutUntil{};
        std::vector<Packet> inbox;
    };

    [[nodiscard]] auto localTime(const Machine &machine) const -> TimePoint;
    void restart(Machine &machine);
    void send(size_t from, const VoteOutputs &out);
    void step();
    void check();

    VoteParams params_;
    Random random_;
    Duration now_ = seconds(100);
    std::vector<NodeName> names_;
    std::vector<Machine> machines_;
    std::vector<std::vector<Duration>> linkCutUntil_;
    std::vector<Packet> packets_;
    Duration delayUntil_{};
    Duration duplicateUntil_{};
    Duration lossUntil_{};
    uint64_t messageCount_ = 0;
    std::optional<std::string> violation_;
};

} // namespace snipestream::testing
