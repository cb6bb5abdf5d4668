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

/// One step of a run. The numbers select among the possible actions, so that every value is a valid step and RapidCheck
/// can shrink a failing run.
struct WorldStep {
    uint8_t kind = 0;
    uint32_t a = 0;
    uint32_t b = 0;
    uint32_t c = 0;
};

/// The functions under test. Test doubles replace one of them by a faulty one.
struct WorldHooks {
    std::function<FoldOutcome(ConfigFold &, const LogRecord &)> apply;
    std::function<void(ConfigFold &, const Snapshot &)> adopt;
    std::function<CatchUp(uint64_t, const RecordsResponse &)> plan;
    std::function<Result<TeamName>(ConfigFold &, const std::string &)> authenticate;
};

/// Returns the functions of config/.
auto productHooks() -> WorldHooks;

/// Names of the checks, with which tests run a single check against a test double.
inline constexpr const char *kStateCheck = "state equals that of the oracle";
inline constexpr const char *kSameTextCheck = "equal snapshot texts at the same offset";
inline constexpr const char *kForwardCheck = "offset and revisions never decrease";
inline constexpr const char *kWithdrawnCheck = "withdrawn keys never authenticate";
inline constexpr const char *kRaceCheck = "at most one of two concurrent changes of a rule is applied";

/// Simulates operators who publish concurrent changes, nodes that restart and catch up from the log, from snapshots and
/// from peers, and a log that loses responses, is unavailable and expires records.
class FoldWorld
{
public:
    /// `checks` are the names of the checks to run; empty means all.
    FoldWorld(WorldHooks hooks, std::set<std::string> checks);

    /// Runs the steps. Returns the name and location of the first check that fails, or empty if none does.
    auto run(const std::vector<WorldStep> &steps) -> std::optional<std::string>;

    /// Returns how often each situation occurred in the run: verdicts, snapshot adoptions and records from peers.
    [[nodiscard]] auto situations() const -> const std::map<std::string, uint64_t> &;

private:
    struct Node {
        ConfigFold fold;
        RecordHistory history;
        std::vector<int> numbers;
        uint64_t highestOffset = 0;
        std::map<std::string, uint64_t> revisions;
    };

    void runStep(const WorldStep &step);
    void publish(const WorldStep &step);
    void append(const std::string &payload, const OracleRecord &record);
    void readLog(Node &node, size_t pages);
    void catchUpFromPeer(Node &node, const Node &peer, const WorldStep &step);
    void fetchState(Node &node, const Node &peer);
    void publishState(const Node &node, uint32_t seed);
    void restart(Node &node);
    void foldInto(Node &node, const LogRecord &record);
    void check(Node &node);
    void checkRaces();
    void checkKeys(Node &node, const OracleState &expected);
    void expect(bool holds, const char *name, const std::string &location);

    WorldHooks hooks_;
    std::set<std::string> checks_;
    FakeLog log_;
    FoldOracle oracle_;
    std::vector<Node> nodes_;
    std::map<uint64_t, std::string> textAt_;
    /// First verdict that any node reported, by offset.
    std::map<uint64_t, ChangeVerdict> verdicts_;
    std::vector<std::string> sent_;
    std::vector<OracleRecord> sentRecords_;
    uint64_t changes_ = 0;
    std::map<std::string, uint64_t> situations_;
    std::optional<std::string> failed_;
};

} // namespace snipestream::testing
