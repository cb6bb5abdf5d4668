#pragma once

#include "config/catch_up.h"
#include "config/fold.h"
#include "config/relay.h"
#include "config/snapshot.h"
#include "tests/config/fold_oracle.h"
#include "tests/standins/fake_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// One step of a run. The numbers choose among what is possible, so that every value is a valid step and a failing run
/// can be shrunk.
struct WorldStep {
    uint8_t kind = 0;
    uint32_t a = 0;
    uint32_t b = 0;
    uint32_t c = 0;
};

/// The functions under test. A test double replaces one by a faulty one.
struct WorldHooks {
    std::function<FoldOutcome(ConfigFold &, const LogRecord &)> apply;
    std::function<void(ConfigFold &, const Snapshot &)> adopt;
    std::function<CatchUp(uint64_t, const RecordsResponse &)> plan;
    std::function<Result<TeamName>(ConfigFold &, const std::string &)> authenticate;
};

/// Returns the functions of the product.
auto productHooks() -> WorldHooks;

/// Names of the checks, for doubles that show what each one catches.
inline constexpr const char *kStateCheck = "state as the oracle's";
inline constexpr const char *kSameTextCheck = "same text at the same offset";
inline constexpr const char *kForwardCheck = "offset and revisions never fall";
inline constexpr const char *kWithdrawnCheck = "withdrawn keys never authenticate";
inline constexpr const char *kRaceCheck = "one of two racing changes wins";

/// Operators that race, nodes that restart and learn from the log, from snapshots and from peers, and a log that loses
/// answers, is down and expires records.
class FoldWorld
{
public:
    /// `checks` are the checks to make; empty means all.
    FoldWorld(WorldHooks hooks, std::set<std::string> checks);

    /// Runs the steps; returns the name and place of the first check that fails.
    auto run(const std::vector<WorldStep> &steps) -> std::optional<std::string>;

    /// Returns how often each situation occurred in the run: verdicts, adoptions, records from peers.
    [[nodiscard]] auto situations() const -> const std::map<std::string, uint64_t> &;

private:
    struct Node {
        ConfigFold fold;
        RecordHistory history;
        std::vector<int> numbers;
        uint64_t highestOffset = 0;
        std::map<std::string, uint64_t> revisions;
    };

    void act(const WorldStep &step);
    void publish(const WorldStep &step);
    void append(const std::string &payload, const OracleRecord &record);
    void readLog(Node &node, size_t pages);
    void learnFromPeer(Node &node, const Node &peer, const WorldStep &step);
    void takeState(Node &node, const Node &peer);
    void publishState(const Node &node, uint32_t seed);
    void restart(Node &node);
    void foldInto(Node &node, const LogRecord &record);
    void check(Node &node);
    void checkRaces();
    void checkKeys(Node &node, const OracleState &expected);
    void expect(bool holds, const char *name, const std::string &place);

    WorldHooks hooks_;
    std::set<std::string> checks_;
    FakeLog log_;
    FoldOracle oracle_;
    std::vector<Node> nodes_;
    std::map<uint64_t, std::string> textAt_;
    /// Verdicts as the nodes reported them, by offset.
    std::map<uint64_t, ChangeVerdict> verdicts_;
    std::vector<std::string> sent_;
    std::vector<OracleRecord> sentRecords_;
    uint64_t changes_ = 0;
    std::map<std::string, uint64_t> situations_;
    std::optional<std::string> failed_;
};

} // namespace snipestream::testing
