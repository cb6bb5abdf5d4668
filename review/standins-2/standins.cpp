#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using SteadyClock = std::chrono::steady_clock;

const SteadyClock::time_point kStart = SteadyClock::now();

auto wallClockMs() -> int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

auto socketAddress(const Address &address) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

auto listenOn(const Address &address) -> int
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in target = socketAddress(address);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 || listen(socket, 1024) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// Waits for bytes until the time. Returns false after it.
auto waitForBytes(int socket, double until) -> bool
{
    const double left = until - now();
    pollfd entry{socket, POLLIN, 0};
    return left > 0 && poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
}

auto sendAll(int socket, const std::string &bytes) -> bool
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

auto serialize(const Message &message, const std::string &firstLine) -> std::string
{
    std::string bytes = firstLine + "\r\n";
    for (const auto &[name, value] : message.headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

/// Reads a message into which `buffer` may already hold bytes. Returns nothing if the connection ends or the time is over.
auto readMessage(int socket, std::string &buffer, double until) -> std::optional<Message>
{
    std::string chunk(65536, '\0');
    const auto more = [&] {
        if (!waitForBytes(socket, until)) {
            return false;
        }
        const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(chunk, 0, static_cast<size_t>(count));
        return true;
    };
    size_t headEnd = std::string::npos;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head(buffer.substr(0, headEnd + 2));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string word;
    first >> word;
    if (word.rfind("HTTP/", 0) == 0) {
        first >> message.status;
    } else {
        message.method = word;
        first >> message.target;
    }
    while (std::getline(head, line) && line.size() > 1) {
        const size_t colon = line.find(':');
        const size_t start = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), line.substr(start, line.find('\r') - start));
    }
    const std::string length = header(message, "Content-Length");
    const size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < headEnd + 4 + bodyBytes) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(headEnd + 4, bodyBytes);
    buffer.erase(0, headEnd + 4 + bodyBytes);
    return message;
}

auto makeResponse(int status, std::string body = {}) -> Message
{
    Message response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

auto queryParameter(const std::string &target, const std::string &name) -> std::string
{
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const size_t start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

auto bigEndian(uint64_t value, int width) -> std::string
{
    std::string bytes;
    for (int i = width - 1; i >= 0; --i) {
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(8 * i)) & 0xFFU));
    }
    return bytes;
}

auto base64(const std::string &bytes) -> std::string
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= bytes.size() ? digits[(group >> (18U - 6U * k)) & 63U] : '=');
        }
    }
    return text;
}

} // namespace

auto now() -> double
{
    return std::chrono::duration<double>(SteadyClock::now() - kStart).count();
}

void sleepUntil(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, time - now())));
}

Record::Record(const std::string &path)
    : file_(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", now());
    file_ << time << text << "\n";
    file_.flush();
}

auto toText(const Address &address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto header(const Message &message, const std::string &name) -> std::string
{
    for (const auto &[key, value] : message.headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

Server::Server(Address address, Handler handler)
    : handler_(std::move(handler))
    , listener_(listenOn(address))
{
    if (listener_ < 0) {
        std::cerr << "cannot listen on " << toText(address) << "\n";
        std::_Exit(2);
    }
    acceptor_ = std::thread([this] {
        acceptConnections();
    });
}

Server::~Server()
{
    isEnding_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    std::unique_lock<std::mutex> lock(mutex_);
    for (const int socket : sockets_) {
        // Like the end of a process: what has not been sent is lost.
        const linger reset{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(socket, SHUT_RDWR);
    }
    ended_.wait(lock, [this] {
        return threads_ == 0;
    });
}

void Server::acceptConnections()
{
    while (!isEnding_) {
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (isEnding_ || errno == EINVAL) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        const int one = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard<std::mutex> lock(mutex_);
        sockets_.insert(socket);
        ++threads_;
        std::thread([this, socket] {
            serve(socket);
        }).detach();
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    while (!isEnding_) {
        const auto request = readMessage(socket, buffer, now() + 60);
        if (!request || isEnding_) {
            break;
        }
        const auto response = handler_(*request);
        if (!response || isEnding_ || !sendAll(socket, serialize(*response, "HTTP/1.1 " + std::to_string(response->status) + " -"))) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
    --threads_;
    ended_.notify_all();
}

Client::Client(Address server)
    : server_(std::move(server))
{
}

Client::~Client()
{
    close();
}

void Client::close()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
    socket_ = -1;
}

auto Client::call(const Message &request, double timeoutSeconds) -> std::optional<Message>
{
    const double until = now() + timeoutSeconds;
    if (socket_ >= 0) {
        pollfd entry{socket_, POLLIN, 0};
        if (poll(&entry, 1, 0) > 0) {
            // The server has closed the connection.
            close();
        }
    }
    if (socket_ < 0) {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const sockaddr_in target = socketAddress(server_);
        if (connect(socket_, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            close();
            return std::nullopt;
        }
    }
    Message copy = request;
    std::string buffer;
    if (!sendAll(socket_, serialize(copy, request.method + " " + request.target + " HTTP/1.1"))) {
        close();
        return std::nullopt;
    }
    auto response = readMessage(socket_, buffer, until);
    if (!response || strcasecmp(header(*response, "Connection").c_str(), "close") == 0) {
        close();
    }
    return response;
}

Store::Store(Record &record)
    : record_(record)
{
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isEnding_ = true;
        changed_.notify_all();
    }
    servers_.clear();
    for (auto &writer : lateWriters_) {
        writer.join();
    }
}

void Store::openDoor(const Address &address)
{
    servers_.push_back(std::make_unique<Server>(address, [this, door = toText(address)](const Message &request) {
        return handle(door, request);
    }));
}

void Store::setAccess(const Address &door, const Access &access)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    access_[toText(door)] = access;
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].push_back({key, value});
    const bool isText = value.size() <= 300 && std::all_of(value.begin(), value.end(), [](char c) {
                            return c >= ' ' && c <= '~';
                        });
    record_.line("store: " + topic + " " + key + " " + (isText ? value : "(" + std::to_string(value.size()) + " bytes)"));
    changed_.notify_all();
}

auto Store::newestValue(const std::string &topic, const std::string &key) -> std::string
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string value;
    for (const Entry &entry : topics_[topic]) {
        value = entry.key == key ? entry.value : value;
    }
    return value;
}

auto Store::handle(const std::string &door, const Message &request) -> std::optional<Message>
{
    Access access;
    bool isLate = false;
    const std::string topic = queryParameter(request.target, "Topic");
    const bool isAppend = request.target.rfind("/-/log-append", 0) == 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Access &current = access_[door];
        access = current;
        if (isAppend && current.lateAppends > 0 && !current.refuses) {
            --current.lateAppends;
            isLate = true;
        }
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(access.answerSeconds));
    if (access.refuses) {
        return makeResponse(503);
    }
    if (request.target.rfind("/-/log-newest", 0) == 0) {
        return newest(topic);
    }
    if (request.target.rfind("/-/log-read", 0) == 0) {
        const std::string wait = queryParameter(request.target, "WaitMs");
        const std::string maxKb = queryParameter(request.target, "MaxKb");
        return changes(topic, std::stoull(queryParameter(request.target, "StartRev")), wait.empty() ? 0 : std::stod(wait) / 1000,
                       (maxKb.empty() ? 1024 : std::stoull(maxKb)) * 1024);
    }
    if (!isAppend || request.body.size() < 5) {
        return makeResponse(404);
    }
    const auto keyLength = static_cast<unsigned char>(request.body[4]);
    const std::string key = request.body.substr(5, keyLength);
    const std::string value = request.body.substr(5 + keyLength);
    if (isLate) {
        record_.line("store: an append for " + key + " is not answered and will be done late");
        const std::lock_guard<std::mutex> lock(mutex_);
        lateWriters_.emplace_back([this, topic, key, value, at = now() + access.lateSeconds] {
            sleepUntil(at);
            put(topic, key, value);
        });
        // A connection on which a response is lost returns nothing further.
        std::this_thread::sleep_for(std::chrono::seconds(1));
        return std::nullopt;
    }
    put(topic, key, value);
    return makeResponse(200, R"({"Offset":0,"EndOffset":1})");
}

auto Store::newest(const std::string &topic) -> Message
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto &entries = topics_[topic];
    std::map<std::string, size_t> offsets;
    for (size_t i = 0; i < entries.size(); ++i) {
        offsets[entries[i].key] = i;
    }
    std::string items;
    for (const auto &[key, offset] : offsets) {
        items += std::string(items.empty() ? "" : ",") + R"({"Key":")" + key + R"(","Value":")" + base64(entries[offset].value) + R"(","Offset":)"
            + std::to_string(offset) + "}";
    }
    return makeResponse(200, R"({"items":[)" + items + R"(],"HasMore":false,"EndOffset":)" + std::to_string(entries.size()) + "}");
}

auto Store::changes(const std::string &topic, uint64_t from, double waitSeconds, uint64_t maxBytes) -> Message
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::duration<double>(waitSeconds), [&] {
        return isEnding_ || topics_[topic].size() > from;
    });
    const auto &entries = topics_[topic];
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (size_t i = from; i < entries.size(); ++i) {
        const Entry &entry = entries[i];
        const std::string content = bigEndian(entry.key.size(), 1) + entry.key + entry.value;
        if (i > from && body.size() + content.size() > maxBytes) {
            break;
        }
        body += bigEndian(content.size(), 4) + content;
    }
    return makeResponse(200, std::move(body));
}

Backend::Backend(Record &record, Options options)
    : record_(record)
    , options_(std::move(options))
{
}

Backend::~Backend()
{
    crash();
}

void Backend::start()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        born_ = wallClockMs();
        instance_ = "i-" + options_.service + "-" + std::to_string(born_ % 1000000);
        sequence_ = 0;
        isBeating_ = true;
    }
    record_.line("backend " + instance_ + " starts at " + toText(options_.listen));
    server_ = std::make_unique<Server>(options_.listen, [this](const Message &request) {
        return handle(request);
    });
    beats_ = std::thread([this] {
        beat();
    });
}

void Backend::crash()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isBeating_ = false;
        changed_.notify_all();
    }
    if (beats_.joinable()) {
        beats_.join();
    }
    if (server_) {
        record_.line("backend " + instance_ + " ends");
        server_.reset();
    }
}

void Backend::beat()
{
    bool isFirst = true;
    while (true) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            const auto pause = std::chrono::milliseconds(isFirst ? 0 : 1500);
            if (changed_.wait_for(lock, pause, [this] {
                    return !isBeating_;
                })) {
                return;
            }
        }
        isFirst = false;
        sendHeartbeat();
    }
}

auto Backend::makeHeartbeat() -> Message
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Message message;
    message.method = "POST";
    message.target = "/-/Instances.Heartbeat/" + instance_;
    message.headers = {{"Host", toText(options_.node)}, {"Content-Type", "application/json"}};
    message.body = R"({"Service":")" + options_.service + R"(","Address":")" + toText(options_.listen) + R"(","Zone":")" + options_.zone
        + R"(","Version":"v1","Slots":)" + std::to_string(options_.slots) + R"(,"State":"ready","ColdLeftMs":0,"Seq":)" + std::to_string(++sequence_)
        + R"(,"born":)" + std::to_string(born_) + "}";
    return message;
}

auto Backend::send(const Message &message) -> int
{
    Client client(options_.node);
    const auto response = client.call(message, 1);
    return response ? response->status : 0;
}

auto Backend::sendHeartbeat() -> int
{
    return send(makeHeartbeat());
}

auto Backend::deregister() -> int
{
    Message message;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isBeating_ = false;
        changed_.notify_all();
        message.method = "POST";
        message.target = "/-/Instances.Deregister/" + instance_;
        message.headers = {{"Host", toText(options_.node)}, {"Content-Type", "application/json"}};
        message.body = R"({"born":)" + std::to_string(born_) + "}";
    }
    const int status = send(message);
    record_.line("backend " + instance_ + " deregisters, answer " + std::to_string(status));
    return status;
}

auto Backend::runs() -> std::vector<Run>
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

auto Backend::handle(const Message &request) -> std::optional<Message>
{
    Message response = makeResponse(200);
    const std::string id = header(request, "X-Snipestream-Request-Id");
    response.headers.emplace_back("X-Snipestream-Instance-Id", instance_);
    if (request.target == "/healthz") {
        return response;
    }
    response.headers.emplace_back("X-Snipestream-Request-Id", id);
    const std::string named = header(request, "X-Snipestream-Target-Instance");
    if (!named.empty() && named != instance_) {
        response.status = 421;
        return response;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (running_ >= options_.slots) {
            response.status = 503;
            response.headers.emplace_back("X-Snipestream-Not-Executed", "1");
            return response;
        }
        ++running_;
        runs_.push_back({id, header(request, "X-Snipestream-Tenant"), now()});
    }
    record_.line("run " + id + " tenant=" + header(request, "X-Snipestream-Tenant") + " at " + instance_);
    std::this_thread::sleep_for(std::chrono::duration<double>(options_.workSeconds));
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    response.headers.emplace_back("X-Snipestream-Response-Signature", "signed-" + id);
    response.headers.emplace_back("X-Snipestream-Server-Load", std::to_string(running_) + ",0," + std::to_string(options_.slots));
    response.body = "answer to " + id;
    return response;
}

auto Machine::at(int offset) const -> Address
{
    return {ip, static_cast<uint16_t>(basePort + offset)};
}

auto Machine::app() const -> Address
{
    return at(7);
}

auto Machine::outbound() const -> Address
{
    return at(8);
}

auto Machine::inbound() const -> Address
{
    return at(3);
}

auto Machine::ready() const -> Address
{
    return at(6);
}

auto Machine::control() const -> Address
{
    return at(0);
}

auto storeDoor(const Machine &machine) -> Address
{
    return machine.at(5);
}

Node::Node(Record &record, Machine machine, Address store, std::string folder)
    : record_(record)
    , machine_(std::move(machine))
    , store_(std::move(store))
    , folder_(std::move(folder))
{
}

Node::~Node()
{
    kill();
}

void Node::start(bool isBootstrap)
{
    const std::string settings = folder_ + "/" + machine_.name + ".json";
    const auto quoted = [](const std::string &text) {
        return "\"" + text + "\"";
    };
    // The fields of deploy/settings.json.template, with the values of the smallest deployments.
    std::ofstream(settings) << "{\"node\":" << quoted(machine_.name) << ",\"domain\":" << quoted(machine_.zone) << ",\"address\":" << quoted(machine_.ip)
                            << ",\"service\":" << quoted(machine_.service) << ",\"target\":" << quoted(toText(machine_.app()))
                            << ",\"callerListen\":" << quoted(toText(machine_.outbound())) << ",\"peerListen\":" << quoted(toText(machine_.inbound()))
                            << ",\"readyListen\":" << quoted(toText(machine_.ready())) << ",\"targetListen\":" << quoted(toText(machine_.control()))
                            << ",\"reportPort\":" << machine_.at(9).port << ",\"metricsPort\":" << machine_.at(4).port
                            << (isBootstrap ? ",\"firstStart\":true" : "")
                            << R"(,"memoryMb":260,"maxDescriptors":4100,"keyWithdrawalMs":5000,"policyApplyMs":2000,"stopSeconds":6,)"
                            << R"("retryRatio":0.2,"retrySlack":50,"rateWindowSeconds":5,"rateOvershoot":0.1,"rateSlack":20,"store":)" << quoted(toText(store_))
                            << "}\n";
    record_.line("node " + machine_.name + " starts");
    const std::string log = folder_ + "/" + machine_.name + ".log";
    const std::string variable = "SNIPESTREAM_CONFIG=" + settings;
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || std::freopen(log.c_str(), "a", stdout) == nullptr || std::freopen(log.c_str(), "a", stderr) == nullptr) {
        std::_Exit(2);
    }
    const char *const arguments[] = {"target/snipestreamd", "sidecar", nullptr};
    const char *const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
    std::_Exit(2);
}

void Node::kill()
{
    if (pid_ <= 0) {
        return;
    }
    record_.line("node " + machine_.name + " is killed");
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
}

auto Node::hasEnded() -> bool
{
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
        record_.line("node " + machine_.name + " has ended by itself, status " + std::to_string(status));
        pid_ = 0;
        return true;
    }
    return pid_ == 0;
}

auto Node::isReady() -> bool
{
    Client client(machine_.ready());
    Message request;
    request.method = "GET";
    request.target = "/-/readyz";
    request.headers = {{"Host", toText(machine_.ready())}};
    const auto response = client.call(request, 0.5);
    return response && response->status == 200;
}

auto makeMachines(const std::vector<std::pair<std::string, std::string>> &zonesAndServices) -> std::vector<Machine>
{
    std::random_device random;
    for (int trial = 0; trial < 100; ++trial) {
        std::vector<Machine> machines;
        const std::string prefix = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        const auto basePort = static_cast<uint16_t>(18000 + 16 * (random() % 800));
        bool isFree = true;
        for (const auto &[zone, service] : zonesAndServices) {
            Machine machine;
            machine.name = "sidecar-" + zone + "-" + std::to_string(machines.size() + 1);
            machine.zone = zone;
            machine.service = service;
            machine.ip = prefix + std::to_string(machines.size() + 1);
            machine.basePort = basePort;
            for (int offset = 0; offset < 10; ++offset) {
                const int socket = listenOn(machine.at(offset));
                isFree = isFree && socket >= 0;
                if (socket >= 0) {
                    ::close(socket);
                }
            }
            machines.push_back(std::move(machine));
        }
        if (isFree) {
            return machines;
        }
    }
    std::cerr << "no free ports\n";
    std::_Exit(2);
}

auto makeFolder() -> std::string
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        std::_Exit(2);
    }
    return pattern;
}

void removeFolder(const std::string &folder)
{
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs are in " << folder << "\n";
        return;
    }
    std::filesystem::remove_all(folder);
}

auto waitUntilReady(const std::vector<std::unique_ptr<Node>> &nodes, double seconds) -> bool
{
    const double end = now() + seconds;
    while (now() < end) {
        if (std::all_of(nodes.begin(), nodes.end(), [](const auto &node) {
                return node->isReady();
            })) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

Load::Load(Record &record, Options options)
    : record_(record)
    , options_(std::move(options))
{
}

void Load::sendOne(Client &client, double at)
{
    static std::atomic<int> count{0};
    sleepUntil(at);
    Attempt attempt;
    attempt.id = "q" + std::to_string(++count);
    Message request;
    request.method = options_.method;
    request.target = options_.path;
    request.headers = {{"Host", options_.host}, {"X-Snipestream-Request-Id", attempt.id}, {"X-Snipestream-Deadline-Ms", std::to_string(options_.deadlineMs)}};
    if (!options_.key.empty()) {
        request.headers.emplace_back("Api-Key", options_.key);
    }
    attempt.sentAt = now();
    const auto response = client.call(request, options_.deadlineMs / 1000.0);
    attempt.answeredAt = now();
    attempt.status = response ? response->status : 0;
    record_.line("answer " + attempt.id + " sent=" + std::to_string(attempt.sentAt) + " status=" + std::to_string(attempt.status)
                 + (response && attempt.status != 200 ? " retry-after=" + header(*response, "Retry-After") : ""));
    const std::lock_guard<std::mutex> lock(mutex_);
    attempts_.push_back(attempt);
}

void Load::run(double from, double to, double perSecond)
{
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(options_.clients));
    for (int i = 0; i < options_.clients; ++i) {
        threads.emplace_back([&] {
            Client client(options_.node);
            while (true) {
                const double at = from + next++ / perSecond;
                if (at >= to) {
                    return;
                }
                sendOne(client, at);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

auto Load::attempts() -> std::vector<Attempt>
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return attempts_;
}

auto hasTrouble() -> bool
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace review
