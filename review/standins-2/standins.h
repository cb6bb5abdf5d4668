#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the platform's store, backends and clients, and the start of nodes as processes. Everything listens on loopback
/// addresses. One thread serves each connection.
namespace review
{

/// Returns the time since the start of the program in seconds, on the steady clock.
auto now() -> double;

/// Sleeps until the time on the clock of now().
void sleepUntil(double time);

/// Writes lines with the time to the file that the program was started with.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Address {
    std::string ip;
    uint16_t port = 0;
};

auto toText(const Address &address) -> std::string;

/// Request or response of HTTP/1.1.
struct Message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Returns the value of the header field, or an empty string.
auto header(const Message &message, const std::string &name) -> std::string;

/// Server that handles one request at a time on each connection. It closes the connection if the handler returns nothing.
class Server
{
public:
    using Handler = std::function<std::optional<Message>(const Message &)>;

    Server(Address address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

private:
    void acceptConnections();
    void serve(int socket);

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isEnding_{false};
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> sockets_;
    size_t threads_ = 0;
    std::thread acceptor_;
};

/// Client with one connection, which it keeps while it can.
class Client
{
public:
    explicit Client(Address server);
    ~Client();
    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    /// Sends the request and waits for the response. Returns nothing if there is none within the time, and closes the connection then.
    auto call(const Message &request, double timeoutSeconds) -> std::optional<Message>;

private:
    void close();

    Address server_;
    int socket_ = -1;
};

/// Keyed topics of the platform's store with one partition, in memory. Every node has a door of its own, so that one can be treated
/// apart from the others.
class Store
{
public:
    /// How the store treats the calls at one door.
    struct Access {
        /// Every call is answered 503 and not done.
        bool refuses = false;
        /// Time that an answer takes.
        double answerSeconds = 0.004;
        /// Number of the next appends that are not answered and that are done after `lateSeconds`.
        int lateAppends = 0;
        double lateSeconds = 0;
    };

    explicit Store(Record &record);
    ~Store();
    Store(const Store &) = delete;
    auto operator=(const Store &) -> Store & = delete;

    void openDoor(const Address &address);
    void setAccess(const Address &door, const Access &access);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Returns the newest value of the key.
    auto newestValue(const std::string &topic, const std::string &key) -> std::string;

private:
    struct Entry {
        std::string key;
        std::string value;
    };

    auto handle(const std::string &door, const Message &request) -> std::optional<Message>;
    auto newest(const std::string &topic) -> Message;
    auto changes(const std::string &topic, uint64_t from, double waitSeconds, uint64_t maxBytes) -> Message;

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isEnding_ = false;
    std::map<std::string, std::vector<Entry>> topics_;
    std::map<std::string, Access> access_;
    std::vector<std::thread> lateWriters_;
    std::vector<std::unique_ptr<Server>> servers_;
};

/// A request that a backend ran.
struct Run {
    std::string id;
    std::string tenant;
    double at = 0;
};

/// A backend, with its heartbeats to the node on its machine.
class Backend
{
public:
    struct Options {
        std::string service;
        Address listen;
        /// Control address of the node.
        Address node;
        std::string zone;
        int slots = 100;
        double workSeconds = 0.02;
    };

    Backend(Record &record, Options options);
    ~Backend();
    Backend(const Backend &) = delete;
    auto operator=(const Backend &) -> Backend & = delete;

    /// Starts a new incarnation, which sends heartbeats every 1.5 s.
    void start();
    /// Ends like a process that crashes: its connections break and its port is closed.
    void crash();
    /// Sends the heartbeat of this moment, or one that was made before. Returns the status of the answer, or 0.
    auto sendHeartbeat() -> int;
    auto makeHeartbeat() -> Message;
    auto send(const Message &message) -> int;
    /// Tells the node that the backend leaves; it goes on serving. No more heartbeats follow.
    auto deregister() -> int;
    auto runs() -> std::vector<Run>;

private:
    auto handle(const Message &request) -> std::optional<Message>;
    void beat();

    Record &record_;
    Options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string instance_;
    int64_t born_ = 0;
    int sequence_ = 0;
    int running_ = 0;
    bool isBeating_ = false;
    std::vector<Run> runs_;
    std::unique_ptr<Server> server_;
    std::thread beats_;
};

/// A machine of a deployment: the addresses of a node and its backend.
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    uint16_t basePort = 0;

    [[nodiscard]] auto at(int offset) const -> Address;
    [[nodiscard]] auto app() const -> Address;
    [[nodiscard]] auto outbound() const -> Address;
    [[nodiscard]] auto inbound() const -> Address;
    [[nodiscard]] auto ready() const -> Address;
    [[nodiscard]] auto control() const -> Address;
};

/// The node of a machine, a process that is started with the command of the deploy file.
class Node
{
public:
    Node(Record &record, Machine machine, Address store, std::string folder);
    ~Node();
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /// Starts the process. Only the first start of a whole deployment has `isBootstrap`.
    void start(bool isBootstrap);
    void kill();
    /// Returns whether the process has ended by itself.
    auto hasEnded() -> bool;
    /// Asks the node whether it is ready.
    auto isReady() -> bool;

private:
    Record &record_;
    Machine machine_;
    Address store_;
    std::string folder_;
    pid_t pid_ = 0;
};

/// Returns machines with addresses and ports that no other process uses. Each element names zone and service.
auto makeMachines(const std::vector<std::pair<std::string, std::string>> &zonesAndServices) -> std::vector<Machine>;

/// Returns an address for a door of the store beside the machine.
auto storeDoor(const Machine &machine) -> Address;

/// Creates a folder for settings and logs.
auto makeFolder() -> std::string;

/// Removes the folder, or tells its name if the variable KEEP_LOGS is set.
void removeFolder(const std::string &folder);

/// Returns whether all nodes became ready within the time.
auto waitUntilReady(const std::vector<std::unique_ptr<Node>> &nodes, double seconds) -> bool;

/// What a client sent and got.
struct Attempt {
    std::string id;
    double sentAt = 0;
    double answeredAt = 0;
    /// 0 if the connection ended without a response.
    int status = 0;
};

/// Clients of a machine that send requests at set times, each on a connection of its own.
class Load
{
public:
    struct Options {
        Address node;
        std::string host;
        std::string path;
        std::string method = "GET";
        std::string key;
        int deadlineMs = 5000;
        int clients = 48;
    };

    Load(Record &record, Options options);
    /// Sends requests at the rate from one time to another and waits for the answers.
    void run(double from, double to, double perSecond);
    auto attempts() -> std::vector<Attempt>;

private:
    void sendOne(Client &client, double at);

    Record &record_;
    Options options_;
    std::mutex mutex_;
    std::vector<Attempt> attempts_;
};

/// Returns true if the variable TROUBLE is not 0.
auto hasTrouble() -> bool;

} // namespace review
