#include "tests/sidecar/platform_standin.h"

#include "http/call_pool.h"

#include <absl/strings/escaping.h>
#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

using nlohmann::json;

auto queryParameter(const std::string &target, const std::string &name) -> std::string
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 1;
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

auto withBody(std::string body) -> ResponseMessage
{
    ResponseMessage response;
    response.body = std::move(body);
    return response;
}

} // namespace

StoreStandin::StoreStandin(FiberRuntime &runtime)
    : runtime_(runtime)
{
    port_ = openEndpoint().port;
}

auto StoreStandin::openEndpoint() -> Endpoint
{
    MessageServerOptions options;
    options.name = "store";
    options.listen = {"127.0.0.1", 0};
    const auto port = std::make_shared<uint16_t>(0);
    servers_.push_back(std::make_unique<MessageServer>(runtime_, options, [this, port](RequestMessage &request, CancelSignal &cancel) {
        return handleAt(*port, request, cancel);
    }));
    *port = servers_.back()->listen().value();
    return {"127.0.0.1", *port};
}

void StoreStandin::setAccess(const Endpoint &endpoint, const Access &access)
{
    access_[endpoint.port] = access;
}

auto StoreStandin::handleAt(uint16_t port, const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    const auto found = access_.find(port);
    const Access access = found == access_.end() ? Access() : found->second;
    const TimePoint end = BootClock::now() + access.delay;
    while (BootClock::now() < end && !cancel.isCancelled()) {
        runtime_.sleepFor(milliseconds(5));
    }
    if (access.failureStatus) {
        ResponseMessage failed;
        failed.status = *access.failureStatus;
        return failed;
    }
    return handleRequest(request, cancel);
}

auto StoreStandin::endpoint() const -> Endpoint
{
    return {"127.0.0.1", port_};
}

void StoreStandin::put(const std::string &topic, const std::string &key, const std::string &value)
{
    topics_[topic].push_back({key, value});
}

void StoreStandin::delayAppends(const LateAppends &appends)
{
    lateAppends_ = appends;
}

auto StoreStandin::newestValues(const std::string &topic) const -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> values;
    const auto records = topics_.find(topic);
    if (records == topics_.end()) {
        return values;
    }
    for (const auto &record : records->second) {
        values[record.key] = record.value;
    }
    for (auto item = values.begin(); item != values.end();) {
        item = item->second.empty() ? values.erase(item) : std::next(item);
    }
    return values;
}

void StoreStandin::failWith(std::optional<int> status)
{
    failureStatus_ = status;
}

auto StoreStandin::handleRequest(const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    if (failureStatus_) {
        ResponseMessage failed;
        failed.status = *failureStatus_;
        return failed;
    }
    const std::string topic = queryParameter(request.target, "Topic");
    if (request.target.rfind("/-/log-newest", 0) == 0) {
        return newest(topic);
    }
    if (request.target.rfind("/-/log-read", 0) == 0) {
        return changes(topic, std::stoull(queryParameter(request.target, "StartRev")), milliseconds(std::stoll(queryParameter(request.target, "WaitMs"))),
                       cancel);
    }
    const auto keyLength = static_cast<unsigned char>(request.body[4]);
    const std::string key = request.body.substr(5, keyLength);
    const std::string value = request.body.substr(5 + keyLength);
    if (lateAppends_.count > 0 && key.rfind(lateAppends_.keyPrefix, 0) == 0) {
        --lateAppends_.count;
        runtime_.spawn([this, topic, key, value, delay = lateAppends_.delay] {
            runtime_.sleepFor(delay);
            put(topic, key, value);
        });
        return std::nullopt;
    }
    put(topic, key, value);
    return withBody(R"({"Offset":0,"EndOffset":1})");
}

auto StoreStandin::newest(const std::string &topic) -> ResponseMessage
{
    std::map<std::string, json> items;
    const auto &records = topics_[topic];
    for (size_t i = 0; i < records.size(); ++i) {
        items[records[i].key] = {{"Key", records[i].key}, {"Value", absl::Base64Escape(records[i].value)}, {"Offset", i}};
    }
    json list = json::array();
    for (auto &[key, item] : items) {
        list.push_back(item);
    }
    return withBody(json{{"items", list}, {"HasMore", false}, {"EndOffset", records.size()}}.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto StoreStandin::changes(const std::string &topic, uint64_t from, Duration wait, CancelSignal &cancel) -> ResponseMessage
{
    const TimePoint end = BootClock::now() + wait;
    while (topics_[topic].size() <= from && BootClock::now() < end && !cancel.isCancelled()) {
        runtime_.sleepFor(milliseconds(5));
    }
    const auto &records = topics_[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (size_t i = from; i < records.size(); ++i) {
        const auto &record = records[i];
        body += bigEndian(1 + record.key.size() + record.value.size(), 4) + bigEndian(record.key.size(), 1) + record.key + record.value;
    }
    return withBody(std::move(body));
}

TargetStandin::TargetStandin(FiberRuntime &runtime, std::string instanceId, const Endpoint &listen)
    : instance(std::move(instanceId))
    , announcedEndpoint(listen)
    , runtime_(runtime)
    , listen_(listen)
{
    MessageServerOptions options;
    options.name = "target-" + instance;
    options.listen = listen;
    server_ = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &) -> std::optional<ResponseMessage> {
        latestHeaders = request.headers;
        ResponseMessage response;
        const auto id = findHeader(request.headers, "X-Snipestream-Request-Id");
        if (behaviour.notExecuted) {
            response.status = *behaviour.notExecuted;
            response.headers.emplace_back("X-Snipestream-Request-Id", id.value_or("-"));
            response.headers.emplace_back("X-Snipestream-Not-Executed", "1");
            return response;
        }
        runs.emplace_back(id.value_or("-"));
        const auto deadline = findHeader(request.headers, "X-Snipestream-Deadline-Ms");
        const Duration timeLeft = deadline ? milliseconds(std::stoi(std::string(*deadline))) : Duration::max();
        const bool givesUp = behaviour.honoursDeadline && timeLeft < behaviour.runTime;
        runtime_.sleepFor(givesUp ? timeLeft : behaviour.runTime);
        response.status = givesUp ? 504 : response.status;
        if (behaviour.dropsResponses) {
            return std::nullopt;
        }
        if (behaviour.repeatsRefusal) {
            response.status = 503;
            response.headers.emplace_back("X-Snipestream-Not-Executed", "1");
            return response;
        }
        response.headers.emplace_back("X-Snipestream-Request-Id", behaviour.returnsWrongRequestId ? "of-another" : std::string(id.value_or("-")));
        response.headers.emplace_back("X-Snipestream-Response-Signature", "signed-" + instance);
        response.body = instance + ":" + request.body;
        return response;
    });
    CPPUNIT_ASSERT(server_->listen().has_value());
}

auto TargetStandin::endpoint() const -> Endpoint
{
    return listen_;
}

auto TargetStandin::announce(const Endpoint &node, const std::string &service, const std::string &state) -> int
{
    return announceLate(node, service, state, ++sequence_);
}

auto TargetStandin::announceLate(const Endpoint &node, const std::string &service, const std::string &state, uint64_t sequence) -> int
{
    return post(node, "/-/Instances.Heartbeat/" + instance,
                json{{"Service", service},
                     {"Address", toString(announcedEndpoint)},
                     {"Zone", "east"},
                     {"Version", "v1"},
                     {"Slots", slots},
                     {"State", state},
                     {"ColdLeftMs", coldLeftMs},
                     {"Seq", sequence},
                     {"born", startedAtMs}}
                    .dump());
}

auto TargetStandin::deregister(const Endpoint &node) -> int
{
    return post(node, "/-/Instances.Deregister/" + instance, {});
}

auto TargetStandin::post(const Endpoint &node, const std::string &path, const std::string &body) -> int
{
    CallPool pool(runtime_, CallPoolOptions());
    RequestMessage request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    CancelSignal cancel;
    const CallResult result = pool.call(node, request, cancel, BootClock::now() + seconds(1));
    return result.status == CallStatus::Answered ? result.response.status : 0;
}

} // namespace snipestream::testing
