#pragma once

#include "config/change.h"
#include "config/rule.h"
#include "lease/record.h"
#include "platform/log_client.h"
#include "tests/node/http_caller.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace snipestream::testing
{

/// Polls until the condition holds and fails the running test if it does not within `limit`.
void eventually(const std::string &what, Duration limit, const std::function<bool()> &condition);

/// Configuration of a target that runs beside one of the nodes.
struct TargetPlan {
    std::string service;
    size_t node = 0;
    /// Service time per request, in milliseconds.
    int serviceMs = 1;
    int slots = 50;
    /// Whether the target announces itself to its node; false if the test does that.
    bool announces = true;
};

/// A running snipestreamd process.
struct NodeProcess {
    std::string name;
    std::string domain;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    uint16_t targetPort = 0;
    pid_t pid = 0;
};

/// A running stand-in for a target.
struct TargetProcess {
    std::string name;
    TargetPlan plan;
    uint16_t port = 0;
    pid_t pid = 0;
};

/// Runs a stand-in for the log, nodes and targets as separate processes on loopback. Nodes are spread over the failure
/// domains d0, d1, ... in turn. The routes are: GET /stock (catalogue, needs a key), GET /open (catalogue, public),
/// POST /bookings (bookings, not idempotent) and PUT /photos (measures, idempotent). The team "studio" has one key and
/// a rate that no test reaches. The destructor ends all processes.
class Cluster
{
public:
    Cluster(size_t nodes, size_t domains, const std::vector<TargetPlan> &targets);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    auto operator=(const Cluster &) -> Cluster & = delete;

    /// Appends a change to the log and returns it.
    auto publish(const std::vector<Rule> &upserts, const std::vector<std::string> &removals = {}, std::optional<uint64_t> baseRevision = std::nullopt)
        -> ChangeRecord;
    /// Appends a payload to the configuration stream without retries.
    [[nodiscard]] auto appendToLog(const std::string &payload) const -> Result<uint64_t>;
    /// Waits until every running node has the revision in force; fails the test after `limit`.
    void awaitRevision(uint64_t revision, Duration limit = seconds(7));
    /// Adds a team with one key and returns what its callers send as Authorization.
    auto addTeam(const std::string &name, uint64_t rate, uint64_t burst) -> std::string;

    void startNode(size_t index);
    /// Sends SIGKILL and waits for the process to exit.
    void killNode(size_t index);
    /// Sends SIGTERM, waits for the process to exit and returns its exit code; -1 if it did not exit by itself.
    auto stopNode(size_t index, Duration limit = seconds(40)) -> int;
    void signalNode(size_t index, int signal) const;
    void signalTarget(size_t index, int signal) const;

    [[nodiscard]] auto status(size_t index) const -> nlohmann::json;
    [[nodiscard]] auto audit(size_t index) const -> nlohmann::json;
    /// Returns how often the target ran requests with this idempotency key.
    [[nodiscard]] auto runsAt(size_t target, const std::string &idempotencyKey) const -> int;
    /// Returns how often all targets together ran requests with this idempotency key.
    [[nodiscard]] auto runs(const std::string &idempotencyKey) const -> int;
    /// Returns the number of all requests that a target ran.
    [[nodiscard]] auto totalAt(size_t target) const -> uint64_t;
    void setServiceTime(size_t target, int ms) const;
    /// Sets the faults that the log stand-in injects; an empty object turns them off.
    void setLogFaults(const nlohmann::json &faults) const;

    /// Returns the index of the node that the log names as the holder of a range in a failure domain.
    [[nodiscard]] auto holderOf(const std::string &domain, uint32_t range) const -> std::optional<size_t>;
    /// Returns the index of the node that owns the idempotency key of a team.
    [[nodiscard]] auto claimOwnerOf(const std::string &team, const std::string &key) const -> std::optional<size_t>;
    /// Returns the peak resident set size of a node, in KiB.
    [[nodiscard]] auto peakMemoryKb(size_t index) const -> long;

    /// Sends a lookup of team studio to a node.
    [[nodiscard]] auto lookUp(size_t node) const -> Reply;
    [[nodiscard]] auto book(size_t node, const std::string &key, int attempt = 1, Duration timeout = seconds(10)) const -> Reply;
    /// Retries a booking as a caller would until the response has status 200; fails the test after `limit`.
    auto bookUntilAnswered(size_t node, const std::string &key, Duration limit = seconds(15)) const -> Reply;

    std::vector<NodeProcess> nodes;
    std::vector<TargetProcess> targets;
    /// Value of the Authorization header of team studio.
    std::string studio;

private:
    auto spawn(const std::string &name, const std::vector<std::string> &arguments) const -> pid_t;
    [[nodiscard]] auto getJson(uint16_t port, const std::string &path) const -> nlohmann::json;
    void awaitReady();
    void publishRules();

    std::string directory_;
    uint16_t logPort_ = 0;
    pid_t log_ = 0;
    size_t domainCount_ = 0;
    LogClient client_;
};

} // namespace snipestream::testing
