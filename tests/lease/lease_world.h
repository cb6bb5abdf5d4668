#pragma once

#include "lease/lease.h"

#include "core/random.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipestream::testing
{

/// A fault or an operator action in a run. `a` and `b` are node indexes, `length` is the duration of a fault.
struct LeaseCommand {
    enum Kind {
        Kill,
        Restart,
        /// All nodes except `a` restart at the same time, as after a power failure of a rack.
        RestartOthers,
        Pause,
        CutLink,
        CutIncoming,
        CutOutgoing,
        Delay,
        Duplicate,
        StallLogReads,
        LogDown,
        LoseAppendResponse,
        Suspect,
        ShutDown,
        KindCount,
    };
    int kind = Kill;
    int a = 0;
    int b = 0;
    Duration length{};
    /// Time that passes after the command.
    Duration wait{};
};

/// Simulates the nodes of one failure domain, the links among them and the log in virtual time, with clocks of
/// different rates. It counts the valid holders from outside and uses only the interface of the lease package.
class LeaseWorld
{
public:
    static constexpr size_t kNodes = 5;
    static constexpr Duration kStep = milliseconds(50);

    LeaseWorld(uint64_t seed, const LeaseParams &params);

    void apply(const LeaseCommand &command);
    /// Advances the time and checks after every step that no lease has two valid holders.
    void run(Duration length);

    /// The first violation found.
    [[nodiscard]] auto violation() const -> const std::optional<std::string> &;
    /// Returns the number of ranges with a valid holder now.
    [[nodiscard]] auto heldRanges() const -> size_t;
    [[nodiscard]] auto validHolder(uint32_t range) const -> std::optional<size_t>;
    [[nodiscard]] auto appended() const -> size_t;

private:
    using Payload = std::variant<LeasePing, LeasePong, LeaseRelease>;
    struct Packet {
        Duration due{};
        size_t from = 0;
        size_t to = 0;
        Payload payload;
    };
    struct Machine {
        LeaseNode node;
        LeaseTable leaseTable;
        size_t applied = 0;
        uint64_t incarnation = 0;
        double rate = 1;
        Duration downUntil{};
        Duration pausedUntil{};
        Duration inboundCutUntil{};
        Duration outboundCutUntil{};
        Duration stalledUntil{};
        Duration suspectedUntil{};
        Duration slowUntil{};
        Duration nextReadAt{};
        bool down = false;
        std::array<Duration, kNodes> linkCutUntil{};
    };

    [[nodiscard]] auto localTime(const Machine &machine) const -> TimePoint;
    void start(Machine &machine, size_t index);
    void send(size_t from, const NodeName &to, const Payload &payload);
    void deliver(const Packet &packet);
    void append(const LeaseRecord &record);
    void readLog(Machine &machine);
    [[nodiscard]] auto liveNodes(size_t viewer) const -> LiveNodes;
    void step();
    void check();

    LeaseParams params_;
    Random random_;
    Duration now_ = seconds(100);
    std::array<Machine, kNodes> machines_;
    std::vector<Packet> packets_;
    std::vector<LeaseRecord> log_;
    Duration logDownUntil_{};
    Duration duplicateUntil_{};
    Duration loseResponseUntil_{};
    std::optional<std::string> violation_;
};

} // namespace snipestream::testing
