#include "review/standins/deployment.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using nlohmann::json;

auto bigEndian(uint64_t value, int width) -> std::string
{
    std::string bytes;
    for (int i = width - 1; i >= 0; --i) {
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(8 * i)) & 0xFFU));
    }
    return bytes;
}

auto toBase64(const std::string &bytes) -> std::string
{
    static const char *const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            text.push_back(i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=');
        }
    }
    return text;
}

auto queryParameter(const std::string &path, const std::string &name) -> std::string
{
    const auto at = path.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 1;
    return path.substr(start, path.find('&', start) - start);
}

auto response(int status, std::string body = {}) -> Message
{
    Message message;
    message.status = status;
    message.body = std::move(body);
    return message;
}

auto endpoint(const std::string &address, uint16_t port) -> std::string
{
    return address + ":" + std::to_string(port);
}

} // namespace

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "we"))
    , start_(nowSeconds())
{
    if (file_ == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::add(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", nowSeconds() - start_, line.c_str());
    std::fflush(file_);
}

Store::Store(const std::string &address, uint16_t port)
    : Store(std::vector<std::string>{address}, port)
{
}

Store::Store(const std::vector<std::string> &addresses, uint16_t port)
{
    for (const auto &address : addresses) {
        fronts_[address] = Front();
    }
    for (const auto &address : addresses) {
        servers_.push_back(std::make_unique<Server>(address, port, [this, address](const Message &request) {
            return handle(address, request);
        }));
    }
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isEnding_ = true;
    }
    changed_.notify_all();
    servers_.clear();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].push_back({key, value});
    changed_.notify_all();
}

void Store::turnAway(const std::string &address, bool isTurnedAway)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    fronts_.at(address).isTurnedAway = isTurnedAway;
}

auto Store::readerAddresses() -> std::vector<std::string>
{
    constexpr double kRecentSeconds = 2;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> readers;
    for (const auto &[address, front] : fronts_) {
        if (nowSeconds() - front.lastLongPollAt < kRecentSeconds) {
            readers.push_back(address);
        }
    }
    return readers;
}

auto Store::handle(const std::string &address, const Message &request) -> std::optional<Message>
{
    Message result = answer(address, request);
    std::unique_lock<std::mutex> lock(mutex_);
    if (!fronts_.at(address).isTurnedAway) {
        return result;
    }
    // The caller gets no answer. Its connection stays open until it gives up.
    changed_.wait_for(lock, std::chrono::seconds(4), [this] {
        return isEnding_;
    });
    return std::nullopt;
}

auto Store::answer(const std::string &address, const Message &request) -> Message
{
    const std::string topic = queryParameter(request.path, "Topic");
    const int waitMs = std::atoi(queryParameter(request.path, "WaitMs").c_str());
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Front &front = fronts_.at(address);
        if (front.isTurnedAway) {
            return response(503);
        }
        front.lastLongPollAt = topic == "keyed.op" && waitMs > 0 ? nowSeconds() : front.lastLongPollAt;
    }
    if (request.path.rfind("/-/log-newest", 0) == 0) {
        return newest(topic);
    }
    if (request.path.rfind("/-/log-read", 0) == 0) {
        return changes(topic, std::strtoull(queryParameter(request.path, "StartRev").c_str(), nullptr, 10), waitMs);
    }
    return request.path.rfind("/-/log-append", 0) == 0 && request.body.size() > 4 ? append(request, topic) : response(404);
}

auto Store::append(const Message &request, const std::string &topic) -> Message
{
    const auto keyLength = static_cast<unsigned char>(request.body[4]);
    put(topic, request.body.substr(5, keyLength), request.body.substr(5 + keyLength));
    const std::lock_guard<std::mutex> lock(mutex_);
    const size_t end = topics_[topic].size();
    return response(200, json{{"Offset", end - 1}, {"EndOffset", end}}.dump());
}

auto Store::newest(const std::string &topic) -> Message
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, json> items;
    const auto &entries = topics_[topic];
    for (size_t i = 0; i < entries.size(); ++i) {
        items.erase(entries[i].key);
        if (!entries[i].value.empty()) {
            items[entries[i].key] = {{"Key", entries[i].key}, {"Value", toBase64(entries[i].value)}, {"Offset", i}};
        }
    }
    json list = json::array();
    for (const auto &[key, item] : items) {
        list.push_back(item);
    }
    return response(200, json{{"items", list}, {"HasMore", false}, {"EndOffset", entries.size()}}.dump());
}

auto Store::changes(const std::string &topic, size_t from, int waitMs) -> Message
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [this, &topic, from] {
        return isEnding_ || topics_[topic].size() > from;
    });
    const auto &entries = topics_[topic];
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (size_t i = from; i < entries.size(); ++i) {
        const auto &entry = entries[i];
        body += bigEndian(1 + entry.key.size() + entry.value.size(), 4) + bigEndian(entry.key.size(), 1) + entry.key + entry.value;
    }
    return response(200, body);
}

auto findPorts(const std::vector<std::string> &addresses) -> Ports
{
    constexpr uint16_t kPortCount = 8;
    for (uint16_t base = 21000; base < 31000; base += 40) {
        bool free = true;
        for (uint16_t port = base; port < base + kPortCount; ++port) {
            for (const auto &address : addresses) {
                free = free && isPortFree(address, port);
            }
        }
        if (free) {
            const auto at = [base](int offset) {
                return static_cast<uint16_t>(base + offset);
            };
            return {at(0), at(1), at(2), at(3), at(4), at(5), at(6), at(7)};
        }
    }
    throw std::runtime_error("no free ports");
}

Target::Target(Record &record, const Machine &machine, const Ports &ports, std::string instance, int slots, Plan plan)
    : record_(record)
    , machine_(machine)
    , ports_(ports)
    , instance_(std::move(instance))
    , slots_(slots)
    , plan_(std::move(plan))
    , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    server_ = std::make_unique<Server>(machine_.address, ports_.app, [this](const Message &request) {
        return handle(request);
    });
    heartbeats_ = std::thread([this] {
        beat();
    });
}

Target::~Target()
{
    beating_ = false;
    heartbeats_.join();
    server_->stop();
}

auto Target::handle(const Message &request) -> std::optional<Message>
{
    Message answer = response(200);
    const std::string id = headerOf(request, "X-Snipestream-Request-Id");
    answer.headers.emplace_back("X-Snipestream-Request-Id", id);
    const std::string wanted = headerOf(request, "X-Snipestream-Target-Instance");
    if (!wanted.empty() && wanted != instance_) {
        answer.status = 421;
        answer.headers.emplace_back("X-Snipestream-Instance-Id", instance_);
        return answer;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_.push_back({id, nowSeconds()});
    }
    record_.add("target " + instance_ + " runs " + id);
    Reply reply = plan_(request);
    sleepSeconds(reply.workSeconds);
    answer.headers.emplace_back("X-Snipestream-Response-Signature", "signed-by-" + instance_);
    answer.body = std::move(reply.body);
    return answer;
}

auto Target::nextHeartbeat() -> std::string
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return json{{"Service", machine_.service},
                {"Address", endpoint(machine_.address, ports_.app)},
                {"Zone", machine_.domain},
                {"Version", "v1"},
                {"Slots", slots_},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Seq", ++sequence_},
                {"born", bornMs_}}
        .dump();
}

auto Target::post(const std::string &path, const std::string &body) -> int
{
    const auto connection = connectTo(machine_.address, ports_.target);
    if (!connection) {
        return 0;
    }
    Message request;
    request.method = "POST";
    request.path = path;
    request.headers = {{"Host", endpoint(machine_.address, ports_.target)}, {"Content-Type", "application/json"}};
    request.body = body;
    const auto answer = connection->send(serialize(request)) ? connection->readMessage() : std::nullopt;
    return answer ? answer->status : 0;
}

auto Target::sendHeartbeat(const std::string &body) -> int
{
    return post("/-/Instances.Heartbeat/" + instance_, body);
}

auto Target::deregister() -> bool
{
    beating_ = false;
    return post("/-/Instances.Deregister/" + instance_, json{{"born", bornMs_}}.dump()) == 200;
}

void Target::beat()
{
    constexpr double kHeartbeatSeconds = 1.5;
    constexpr double kRetrySeconds = 0.2;
    while (beating_) {
        const bool acknowledged = sendHeartbeat(nextHeartbeat()) / 100 == 2;
        const double end = nowSeconds() + (acknowledged ? kHeartbeatSeconds : kRetrySeconds);
        while (beating_ && nowSeconds() < end) {
            sleepSeconds(0.02);
        }
    }
}

auto Target::runs() -> std::vector<Run>
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

Node::Node(Record &record, const Machine &machine, const Ports &ports, const std::string &storeAddress, const std::string &folder)
    : record_(record)
    , machine_(machine)
    , ports_(ports)
    , storeAddress_(storeAddress)
    , folder_(folder)
{
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    const std::string settingsPath = folder_ + "/" + machine_.address + ".json";
    const json settings{{"node", "node-" + machine_.address},
                        {"domain", machine_.domain},
                        {"address", machine_.address},
                        {"service", machine_.service},
                        {"target", endpoint(machine_.address, ports_.app)},
                        {"callerListen", endpoint(machine_.address, ports_.caller)},
                        {"peerListen", endpoint(machine_.address, ports_.peer)},
                        {"readyListen", endpoint(machine_.address, ports_.ready)},
                        {"targetListen", endpoint(machine_.address, ports_.target)},
                        {"reportPort", ports_.report},
                        {"metricsPort", ports_.metrics},
                        {"firstStart", starts_ == 0},
                        {"memoryMb", machine_.memoryMb},
                        {"maxDescriptors", 4100},
                        {"keyWithdrawalMs", 5000},
                        {"stopSeconds", 6},
                        {"retryRatio", 0.2},
                        {"retrySlack", 48},
                        {"rateWindowSeconds", 5},
                        {"rateOvershoot", 0.1},
                        {"rateSlack", 20},
                        {"store", endpoint(storeAddress_, ports_.store)}};
    std::ofstream(settingsPath) << settings.dump(1);
    const std::string logPath = folder_ + "/" + machine_.address + "-" + std::to_string(starts_++) + ".log";
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    process_ = ::fork();
    if (process_ == 0) {
        ::setenv("SNIPESTREAM_CONFIG", settingsPath.c_str(), 1);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl("target/snipestreamd", "target/snipestreamd", "sidecar", nullptr);
        ::_exit(127);
    }
    ::close(log);
    record_.add("node " + machine_.address + " started");
}

auto Node::signal(int number) -> double
{
    record_.add("node " + machine_.address + " gets signal " + std::to_string(number));
    ::kill(process_, number);
    return nowSeconds();
}

auto Node::awaitEnd(double timeout) -> std::optional<int>
{
    const double end = nowSeconds() + timeout;
    while (process_ > 0) {
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            record_.add("node " + machine_.address + " ended, "
                        + (WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status)) : "signal " + std::to_string(WTERMSIG(status))));
            return status;
        }
        if (nowSeconds() >= end) {
            return std::nullopt;
        }
        sleepSeconds(0.005);
    }
    return std::nullopt;
}

auto Node::isReady() const -> bool
{
    const auto connection = connectTo(machine_.address, ports_.ready);
    if (!connection) {
        return false;
    }
    Message request;
    request.method = "GET";
    request.path = "/-/readyz";
    request.headers = {{"Host", machine_.address}};
    const auto answer = connection->send(serialize(request)) ? connection->readMessage() : std::nullopt;
    return answer && answer->status == 200;
}

auto Node::memoryMb() const -> int
{
    if (process_ <= 0) {
        return 0;
    }
    std::ifstream statm("/proc/" + std::to_string(process_) + "/statm");
    int64_t size = 0;
    int64_t resident = 0;
    statm >> size >> resident;
    return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024));
}

void Node::kill()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        awaitEnd(5);
    }
}

auto exchange(Connection &connection, const std::string &method, const std::string &path, const std::string &requestId, int deadlineMs, const std::string &body,
              double bytesPerSecond) -> Exchange
{
    Message request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "studio.example"},
                       {"X-Snipestream-Request-Id", requestId},
                       {"X-Snipestream-Deadline-Ms", std::to_string(deadlineMs)},
                       {"Api-Key", "key-of-studio"}};
    request.body = body;
    Exchange result;
    result.requestId = requestId;
    const bool isSent = connection.send(serialize(request));
    result.sentAt = nowSeconds();
    auto answer = isSent ? connection.readSlowly(bytesPerSecond) : std::nullopt;
    result.endedAt = nowSeconds();
    result.bodyBytesRead = connection.bodyBytesRead();
    if (answer) {
        result.status = answer->status;
        result.body = std::move(answer->body);
    }
    return result;
}

auto describe(const Exchange &exchange) -> std::string
{
    const auto ms = static_cast<int>((exchange.endedAt - exchange.sentAt) * 1000);
    const std::string outcome =
        exchange.status != 0 ? "answered " + std::to_string(exchange.status) : std::string("connection ended without a complete answer");
    return "client request " + exchange.requestId + ": " + outcome + " after " + std::to_string(ms) + " ms, " + std::to_string(exchange.bodyBytesRead)
        + " bytes of body read";
}

auto hasTrouble() -> bool
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

auto pickAddresses(size_t count) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    const std::string prefix = "127." + std::to_string(10 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250) + ".";
    for (size_t i = 0; i < count; ++i) {
        addresses.push_back(prefix + std::to_string(i + 1));
    }
    return addresses;
}

auto studioConfiguration(const std::string &version, int timeoutMs, const std::string &stockService) -> std::string
{
    json resources = json::array();
    const auto addRoute = [&resources, timeoutMs](const char *name, const char *prefix, const char *kind, const std::string &service) {
        resources.push_back({{"Type", "Routes"},
                             {"Metadata", {{"Name", name}}},
                             {"Spec",
                              {{"Authority", "studio.example"},
                               {"PathPrefix", prefix},
                               {"Kind", kind},
                               {"TimeoutMs", timeoutMs},
                               {"TargetLatencyMs", 1500},
                               {"Priority", 1},
                               {"Service", service},
                               {"MaxAttempts", 2},
                               {"Public", false}}}});
    };
    addRoute("r-stock", "/stock/", "idempotent", stockService);
    addRoute("r-deposit", "/deposit/", "non_idempotent", "catalogue");
    addRoute("r-photos", "/photos/", "idempotent", "measures");
    addRoute("r-upload", "/upload/", "upload", "measures");
    for (const char *const service : {"catalogue", "measures", "diary"}) {
        resources.push_back({{"Type", "Services"},
                             {"Metadata", {{"Name", service}}},
                             {"Spec", {{"HealthPath", "/healthz"}, {"MaxConnections", 1312}, {"Protocol", "h1"}, {"Tls", false}}}});
    }
    resources.push_back(
        {{"Type", "Tenants"}, {"Metadata", {{"Name", "studio"}}}, {"Spec", {{"ApiKeys", {"key-of-studio"}}, {"Priority", 1}, {"RatePerS", 0}, {"Burst", 0}}}});
    resources.push_back({{"Type", "Limits"},
                         {"Metadata", json::object()},
                         {"Spec", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 67108864}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}});
    return json{{"Version", version}, {"Resources", resources}}.dump();
}

auto runCase(const std::function<int()> &body) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return kNotRun;
    }
}

void require(const std::string &what, double timeout, const std::function<bool()> &condition)
{
    const double end = nowSeconds() + timeout;
    while (!condition()) {
        if (nowSeconds() > end) {
            throw std::runtime_error(what + " did not happen in time");
        }
        sleepSeconds(0.05);
    }
}

} // namespace review
