#include "tests/node/cluster.h"

#include "config/keys.h"
#include "core/hash.h"
#include "idempotency/claim.h"
#include "lease/table.h"
#include "platform/blocking_transport.h"
#include "platform/http_log_client.h"

#include "tests/support/child_process.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

namespace snipestream::testing
{

namespace
{

const RequestedBy kRequestedBy{"test", "process test"};

/// Returns a port that nothing listens on. It is below the kernel's range of ephemeral ports, so that no outgoing
/// connection uses it before the program binds it.
auto freePort() -> uint16_t
{
    static std::set<uint16_t> taken;
    static std::mt19937 random{std::random_device{}()};
    boost::asio::io_context context;
    while (true) {
        const auto port = static_cast<uint16_t>(std::uniform_int_distribution<int>(10000, 32000)(random));
        boost::asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code code;
        acceptor.open(boost::asio::ip::tcp::v4(), code);
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, code);
        if (!code && taken.insert(port).second) {
            return port;
        }
    }
}

auto loopback(uint16_t port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto isAnswering(uint16_t port) -> bool
{
    const auto response = makeBlockingTransport({"127.0.0.1", port})("GET", "/", "", seconds(1));
    return response || response.error().code != ErrorCode::Unavailable;
}

} // namespace

void eventually(const std::string &what, Duration limit, const std::function<bool()> &condition)
{
    const TimePoint end = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() >= end) {
            CPPUNIT_FAIL("not within " + std::to_string(duration_cast<milliseconds>(limit).count()) + " ms: " + what);
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

Cluster::Cluster(size_t nodeCount, size_t domains, const std::vector<TargetPlan> &plans)
    : domainCount_(domains)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipestream-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
    directory_ = pattern;
    logPort_ = freePort();
    log_ = spawn("log", {(buildDirectory() / "standins/log_standin").string(), "--port=" + std::to_string(logPort_)});
    eventually("the log stand-in listens", seconds(10), [this] {
        return isAnswering(logPort_);
    });
    client_ = makeHttpLogClient(makeBlockingTransport({"127.0.0.1", logPort_}), seconds(5));
    publishRules();
    for (size_t i = 0; i < nodeCount; ++i) {
        NodeProcess node;
        node.name = "node-" + std::to_string(i);
        node.domain = "d" + std::to_string(i % domains);
        node.callerPort = freePort();
        node.peerPort = freePort();
        node.targetPort = freePort();
        nodes.push_back(node);
        startNode(i);
    }
    for (const auto &plan : plans) {
        TargetProcess target;
        target.name = "target-" + std::to_string(targets.size());
        target.plan = plan;
        target.port = freePort();
        target.pid = spawn(target.name,
                           {(buildDirectory() / "standins/target_standin").string(), "--name=" + target.name, "--service=" + plan.service,
                            "--port=" + std::to_string(target.port), "--node_port=" + std::to_string(plan.announces ? nodes.at(plan.node).targetPort : 0),
                            "--slots=" + std::to_string(plan.slots), "--service_ms=" + std::to_string(plan.serviceMs)});
        targets.push_back(target);
    }
    awaitReady();
}

Cluster::~Cluster()
{
    for (auto &node : nodes) {
        killProcess(node.pid);
    }
    for (auto &target : targets) {
        killProcess(target.pid);
    }
    killProcess(log_);
    // The directory can be kept on request, to find the cause of a failure.
    if (std::getenv("SNIPESTREAM_KEEP_TEST_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

auto Cluster::spawn(const std::string &name, const std::vector<std::string> &arguments) const -> pid_t
{
    ChildOptions options;
    options.arguments = arguments;
    options.output = directory_ + "/" + name + ".log";
    return startChild(options);
}

void Cluster::startNode(size_t index)
{
    NodeProcess &node = nodes.at(index);
    const nlohmann::json settings = {{"node", node.name},
                                     {"domain", node.domain},
                                     {"fleetSecret", "0123456789abcdef"},
                                     {"callerListen", loopback(node.callerPort)},
                                     {"peerListen", loopback(node.peerPort)},
                                     {"targetListen", loopback(node.targetPort)},
                                     {"log", loopback(logPort_)}};
    const std::string path = directory_ + "/" + node.name + ".json";
    std::ofstream(path) << settings.dump(2) << "\n";
    node.pid = spawn(node.name, {(buildDirectory() / "snipestreamd").string(), "--settings=" + path});
}

void Cluster::killNode(size_t index)
{
    killProcess(nodes.at(index).pid);
}

auto Cluster::stopNode(size_t index, Duration limit) -> int
{
    NodeProcess &node = nodes.at(index);
    kill(node.pid, SIGTERM);
    const auto ended = awaitExit(node.pid, limit);
    if (!ended) {
        killProcess(node.pid);
        return -1;
    }
    node.pid = 0;
    return WIFEXITED(*ended) ? WEXITSTATUS(*ended) : -1;
}

void Cluster::signalNode(size_t index, int signal) const
{
    CPPUNIT_ASSERT(nodes.at(index).pid > 0);
    kill(nodes.at(index).pid, signal);
}

void Cluster::signalTarget(size_t index, int signal) const
{
    CPPUNIT_ASSERT(targets.at(index).pid > 0);
    kill(targets.at(index).pid, signal);
}

void Cluster::publishRules()
{
    std::vector<Rule> rules;
    for (size_t i = 0; i < domainCount_; ++i) {
        rules.emplace_back(DomainRule{DomainName("d" + std::to_string(i)), 1, kRequestedBy});
    }
    rules.emplace_back(TeamRule{TeamName("studio"), 100'000, 100'000, kRequestedBy});
    const NewKey key = createKey(TeamName("studio"), KeyId("studio-key"), kRequestedBy);
    studio = "Bearer " + key.bearer;
    rules.emplace_back(key.rule);
    rules.emplace_back(RouteRule{RouteName("stock"), "GET", "/stock", ServiceName("catalogue"), Priority::Normal, true, false, kRequestedBy});
    rules.emplace_back(RouteRule{RouteName("open"), "GET", "/open", ServiceName("catalogue"), Priority::Low, true, true, kRequestedBy});
    rules.emplace_back(RouteRule{RouteName("book"), "POST", "/bookings", ServiceName("bookings"), Priority::Critical, false, false, kRequestedBy});
    rules.emplace_back(RouteRule{RouteName("photo"), "PUT", "/photos", ServiceName("measures"), Priority::High, true, false, kRequestedBy});
    publish(rules, {}, 0);
}

auto Cluster::publish(const std::vector<Rule> &upserts, const std::vector<std::string> &removals, std::optional<uint64_t> baseRevision) -> ChangeRecord
{
    ChangeRecord change;
    change.id = newChangeId();
    change.by = "test";
    change.upserts = upserts;
    change.removals = removals;
    change.baseRevision = baseRevision ? *baseRevision : status(0)["revision"].get<uint64_t>();
    const auto appended = client_.append(kConfigStream, encodeChange(change));
    CPPUNIT_ASSERT_MESSAGE(appended ? "" : appended.error().message, appended.has_value());
    return change;
}

auto Cluster::addTeam(const std::string &name, uint64_t rate, uint64_t burst) -> std::string
{
    const NewKey key = createKey(TeamName(name), KeyId(name + "-key"), kRequestedBy);
    const ChangeRecord change = publish({TeamRule{TeamName(name), rate, burst, kRequestedBy}, key.rule});
    awaitRevision(change.baseRevision + 1);
    return "Bearer " + key.bearer;
}

auto Cluster::appendToLog(const std::string &payload) const -> Result<uint64_t>
{
    return client_.append(kConfigStream, payload);
}

void Cluster::awaitRevision(uint64_t revision, Duration limit)
{
    eventually("revision " + std::to_string(revision) + " is in force at every node", limit, [&] {
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].pid > 0 && status(i).value("revision", uint64_t{0}) < revision) {
                return false;
            }
        }
        return true;
    });
}

void Cluster::awaitReady()
{
    eventually("all nodes know each other and the rules", seconds(30), [this] {
        for (size_t i = 0; i < nodes.size(); ++i) {
            const auto seen = status(i);
            if (seen.value("revision", 0) < 1 || seen.value("knownNodes", size_t{0}) < nodes.size()) {
                return false;
            }
        }
        return true;
    });
    for (size_t i = 0; i < nodes.size(); ++i) {
        eventually("node " + std::to_string(i) + " answers a lookup", seconds(30), [this, i] {
            return lookUp(i).status == 200;
        });
    }
    const bool hasBookings = std::any_of(targets.begin(), targets.end(), [](const auto &target) {
        return target.plan.service == "bookings";
    });
    if (hasBookings) {
        bookUntilAnswered(0, "ready", seconds(30));
    }
}

auto Cluster::getJson(uint16_t port, const std::string &path) const -> nlohmann::json
{
    const Reply reply = sendOnce(port, {"GET", path, {}, ""}, seconds(2));
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

auto Cluster::status(size_t index) const -> nlohmann::json
{
    return getJson(nodes.at(index).targetPort, "/snipestream/v1/status");
}

auto Cluster::audit(size_t index) const -> nlohmann::json
{
    return getJson(nodes.at(index).targetPort, "/snipestream/v1/audit");
}

auto Cluster::runsAt(size_t target, const std::string &idempotencyKey) const -> int
{
    const auto json = getJson(targets.at(target).port, "/standin/runs");
    CPPUNIT_ASSERT_MESSAGE("the target reports its runs", json.contains("runs"));
    return json["runs"].value(idempotencyKey, 0);
}

auto Cluster::runs(const std::string &idempotencyKey) const -> int
{
    int sum = 0;
    for (size_t i = 0; i < targets.size(); ++i) {
        sum += runsAt(i, idempotencyKey);
    }
    return sum;
}

auto Cluster::totalAt(size_t target) const -> uint64_t
{
    return getJson(targets.at(target).port, "/standin/runs").value("total", uint64_t{0});
}

void Cluster::setServiceTime(size_t target, int ms) const
{
    const Reply reply = sendOnce(targets.at(target).port, {"GET", "/standin/service-ms/" + std::to_string(ms), {}, ""});
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
}

void Cluster::setLogFaults(const nlohmann::json &faults) const
{
    const Reply reply = sendOnce(logPort_, {"PUT", "/faults", {}, faults.dump()});
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
}

auto Cluster::holderOf(const std::string &domain, uint32_t range) const -> std::optional<size_t>
{
    LeaseTable table;
    uint64_t offset = 0;
    while (true) {
        const auto page = client_.read(kConfigStream, offset, 1000);
        CPPUNIT_ASSERT_MESSAGE("the log can be read", page.has_value());
        for (const auto &record : page.value().records) {
            offset = record.offset + 1;
            const auto json = nlohmann::json::parse(record.payload, nullptr, false);
            if (json.is_object()) {
                if (const auto lease = leaseRecordFromJson(json)) {
                    applyLeaseRecord(table, lease.value());
                }
            }
        }
        if (offset >= page.value().head) {
            break;
        }
    }
    const LeaseEntry *const entry = findLease(table, LeaseKey{DomainName(domain), range});
    for (size_t i = 0; entry != nullptr && i < nodes.size(); ++i) {
        if (nodes[i].name == entry->record.holder.value) {
            return i;
        }
    }
    return std::nullopt;
}

auto Cluster::claimOwnerOf(const std::string &team, const std::string &key) const -> std::optional<size_t>
{
    std::vector<DomainName> domains;
    for (size_t i = 0; i < domainCount_; ++i) {
        domains.emplace_back("d" + std::to_string(i));
    }
    const uint32_t range = claimRange(ClaimKey{TeamName(team), key});
    return holderOf(homeDomainOf(range, domains).value, range);
}

auto Cluster::peakMemoryKb(size_t index) const -> long
{
    return peakResidentKb(nodes.at(index).pid);
}

auto Cluster::lookUp(size_t node) const -> Reply
{
    return sendOnce(nodes.at(node).callerPort, {"GET", "/stock/7", {{"Authorization", studio}}, ""});
}

auto Cluster::book(size_t node, const std::string &key, int attempt, Duration timeout) const -> Reply
{
    return sendOnce(nodes.at(node).callerPort,
                    {"POST", "/bookings", {{"Authorization", studio}, {"Idempotency-Key", key}, {"Snipestream-Attempt", std::to_string(attempt)}}, "chair 4"},
                    timeout);
}

auto Cluster::bookUntilAnswered(size_t node, const std::string &key, Duration limit) const -> Reply
{
    Reply reply;
    int attempt = 0;
    const TimePoint end = BootClock::now() + limit;
    while (true) {
        reply = book(node, key, ++attempt);
        if (reply.status == 200) {
            return reply;
        }
        if (BootClock::now() >= end) {
            CPPUNIT_FAIL("booking " + key + " is not answered; last: " + std::to_string(reply.status) + " " + reply.body + reply.error);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
}

} // namespace snipestream::testing
