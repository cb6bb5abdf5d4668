#pragma once

#include "review/standins/http.h"

#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// Writes what happens in a case to a file, each line with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    auto operator=(const Record &) -> Record & = delete;

    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::FILE *file_;
    double start_;
};

/// The platform's store with keyed topics, in memory. Every machine reaches it at an address of its own, so that it can serve
/// some machines and turn others away.
class Store
{
public:
    /// Serves one address.
    Store(const std::string &address, uint16_t port);
    Store(const std::vector<std::string> &addresses, uint16_t port);
    ~Store();
    Store(const Store &) = delete;
    auto operator=(const Store &) -> Store & = delete;

    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Leaves the calls at this address without an answer from now on, those in progress included, or serves them again.
    void turnAway(const std::string &address, bool isTurnedAway);
    /// Returns the addresses at which reads of the configuration with a wait arrived in the last two seconds.
    auto readerAddresses() -> std::vector<std::string>;

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Front {
        bool isTurnedAway = false;
        double lastLongPollAt = -1e9;
    };

    auto handle(const std::string &address, const Message &request) -> std::optional<Message>;
    auto answer(const std::string &address, const Message &request) -> Message;
    auto append(const Message &request, const std::string &topic) -> Message;
    auto newest(const std::string &topic) -> Message;
    auto changes(const std::string &topic, size_t from, int waitMs) -> Message;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Entry>> topics_;
    std::map<std::string, Front> fronts_;
    bool isEnding_ = false;
    std::vector<std::unique_ptr<Server>> servers_;
};

/// Ports of the nodes. They are the same on all addresses.
struct Ports {
    uint16_t caller = 0;
    uint16_t peer = 0;
    uint16_t ready = 0;
    uint16_t target = 0;
    uint16_t app = 0;
    uint16_t report = 0;
    uint16_t metrics = 0;
    uint16_t store = 0;
};

/// Returns ports that are free on all of the addresses.
auto findPorts(const std::vector<std::string> &addresses) -> Ports;

/// A machine of the deployment: an address, a failure domain and the service of its target.
struct Machine {
    std::string address;
    std::string domain;
    std::string service;
    int memoryMb = 260;
};

/// Behaviour of a target for one request.
struct Reply {
    double workSeconds = 0;
    std::string body;
};

/// A run of a request at a target.
struct Run {
    std::string requestId;
    double at = 0;
};

/// A target. It sends heartbeats to the node on its machine and answers requests with a signature.
class Target
{
public:
    using Plan = std::function<Reply(const Message &request)>;

    Target(Record &record, const Machine &machine, const Ports &ports, std::string instance, int slots, Plan plan);
    ~Target();
    Target(const Target &) = delete;
    auto operator=(const Target &) -> Target & = delete;

    /// Announces that the target leaves, and sends no more heartbeats. Returns whether the node acknowledged it in a second.
    auto deregister() -> bool;
    /// Sends this heartbeat once more, or for the first time if it was delayed. Returns the status, or 0 without a response.
    auto sendHeartbeat(const std::string &body) -> int;
    /// Returns the body of the next heartbeat.
    auto nextHeartbeat() -> std::string;

    auto runs() -> std::vector<Run>;

private:
    auto handle(const Message &request) -> std::optional<Message>;
    auto post(const std::string &path, const std::string &body) -> int;
    void beat();

    Record &record_;
    Machine machine_;
    Ports ports_;
    std::string instance_;
    int slots_;
    Plan plan_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    int sequence_ = 0;
    int64_t bornMs_;
    std::atomic<bool> beating_{true};
    std::unique_ptr<Server> server_;
    std::thread heartbeats_;
};

/// The process `snipestreamd sidecar` of one machine, started as the deploy file says. The platform starts it again 0.5 s after
/// it has ended.
class Node
{
public:
    Node(Record &record, const Machine &machine, const Ports &ports, const std::string &storeAddress, const std::string &folder);
    ~Node();
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    void start();
    /// Sends the signal. Returns the time at which it was sent.
    auto signal(int number) -> double;
    /// Waits until the process has ended, at most for the given time. Returns the wait status, or an empty value.
    auto awaitEnd(double timeout) -> std::optional<int>;
    [[nodiscard]] auto isReady() const -> bool;
    /// Resident memory in MB; zero if the process does not run.
    [[nodiscard]] auto memoryMb() const -> int;
    /// Ends the process with SIGKILL if it runs.
    void kill();

private:
    Record &record_;
    Machine machine_;
    Ports ports_;
    std::string storeAddress_;
    std::string folder_;
    pid_t process_ = -1;
    int starts_ = 0;
};

/// A client's request and what came back.
struct Exchange {
    std::string requestId;
    double sentAt = 0;
    double endedAt = 0;
    /// Status of the complete response; 0 if the connection ended without one.
    int status = 0;
    std::string body;
    size_t bodyBytesRead = 0;
};

/// Sends a request on the connection and reads the response. `bytesPerSecond` limits how fast it is read, unless it is zero.
auto exchange(Connection &connection, const std::string &method, const std::string &path, const std::string &requestId, int deadlineMs,
              const std::string &body = {}, double bytesPerSecond = 0) -> Exchange;

/// Describes the exchange for the record.
auto describe(const Exchange &exchange) -> std::string;

/// Returns whether the case runs with its disruption: unless the variable TROUBLE is 0.
auto hasTrouble() -> bool;

/// Returns `count` loopback addresses that other runs are not likely to use.
auto pickAddresses(size_t count) -> std::vector<std::string>;

/// Returns a configuration with one tenant, whose key is `key-of-studio`, and these routes: `/stock/` (idempotent, at
/// `stockService`), `/deposit/` (non_idempotent, catalogue), `/photos/` (idempotent, measures) and `/upload/` (upload, measures).
auto studioConfiguration(const std::string &version, int timeoutMs, const std::string &stockService = "catalogue") -> std::string;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Calls the case and returns its exit code; kNotRun if it throws.
auto runCase(const std::function<int()> &body) -> int;

/// Waits until the condition holds, at most for the given time. Throws if it does not.
void require(const std::string &what, double timeout, const std::function<bool()> &condition);

} // namespace review
