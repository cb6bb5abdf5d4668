#include "tests/standins/log_standin.h"

#include "platform/http_log_client.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Json = nlohmann::json;

/// Upper bound of the records in one page, also if the request has a higher limit.
constexpr size_t kMaxPageRecords = 1000;

auto queryNumber(std::string_view target, std::string_view name, uint64_t fallback) -> uint64_t
{
    const size_t query = target.find('?');
    const std::string needle = std::string(name) + "=";
    const size_t at = query == std::string_view::npos ? query : target.find(needle, query);
    if (at == std::string_view::npos) {
        return fallback;
    }
    uint64_t value = fallback;
    std::from_chars(target.data() + at + needle.size(), target.data() + target.size(), value);
    return value;
}

auto setFaultsFromJson(FakeLog &log, const std::string &body) -> HttpResponse
{
    const Json requested = Json::parse(body, nullptr, false);
    if (!requested.is_object()) {
        return HttpResponse{400, R"({"error":"the body is not a JSON object"})"};
    }
    LogFaults faults;
    const Json none;
    const auto field = [&requested, &none](const char *name) -> const Json & {
        return requested.contains(name) ? requested[name] : none;
    };
    faults.down = field("down").is_boolean() && field("down").get<bool>();
    faults.delay = milliseconds(field("delayMs").is_number_unsigned() ? field("delayMs").get<int64_t>() : 0);
    faults.lostResponses = field("loseAnswers").is_number_unsigned() ? field("loseAnswers").get<int>() : 0;
    log.setFaults(faults);
    if (field("expireBefore").is_object()) {
        for (const auto &[stream, offset] : field("expireBefore").items()) {
            log.expireBefore(stream, offset.is_number_unsigned() ? offset.get<uint64_t>() : 0);
        }
    }
    return HttpResponse{200, "{}"};
}

auto errorResponse(const Error &error) -> HttpResponse
{
    if (const auto earliest = earliestOfExpired(error)) {
        return HttpResponse{410, Json{{"earliest", *earliest}}.dump()};
    }
    return HttpResponse{503, Json{{"error", error.message}}.dump()};
}

} // namespace

auto serveLogRequest(FakeLog &log, const std::string &method, const std::string &target, const std::string &body) -> HttpResponse
{
    const std::string path = target.substr(0, target.find('?'));
    static const std::string kPrefix = "/streams/";
    static const std::string kSuffix = "/records";
    if (method == "PUT" && path == "/faults") {
        return setFaultsFromJson(log, body);
    }
    if (path.size() <= kPrefix.size() + kSuffix.size() || path.compare(0, kPrefix.size(), kPrefix) != 0
        || path.compare(path.size() - kSuffix.size(), kSuffix.size(), kSuffix) != 0) {
        return HttpResponse{404, R"({"error":"no such path"})"};
    }
    const std::string stream = path.substr(kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
    if (method == "POST") {
        const auto offset = log.append(stream, body);
        return offset ? HttpResponse{201, Json{{"offset", offset.value()}}.dump()} : errorResponse(offset.error());
    }
    if (method != "GET") {
        return HttpResponse{405, R"({"error":"only GET and POST are served"})"};
    }
    const size_t limit = std::min<size_t>(queryNumber(target, "limit", kMaxPageRecords), kMaxPageRecords);
    const auto page = log.read(stream, queryNumber(target, "from", 0), limit);
    return page ? HttpResponse{200, encodeLogPage(page.value())} : errorResponse(page.error());
}

struct StandinServer::Shared : std::enable_shared_from_this<Shared> {
    Shared(HttpHandler handle, uint16_t port, size_t bound)
        : handler(std::move(handle))
        , maxConnections(bound)
        , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
    {
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        beast::flat_buffer buffer;
        for (;;) {
            beast::error_code code;
            http::request_parser<http::string_body> parser;
            parser.body_limit(uint64_t{64} * 1024 * 1024);
            http::read(socket, buffer, parser, code);
            if (code) {
                return;
            }
            const auto request = parser.release();
            const HttpResponse handled = handler(std::string(request.method_string()), std::string(request.target()), request.body());
            http::response<http::string_body> response{http::int_to_status(static_cast<unsigned>(handled.status)), request.version()};
            response.set(http::field::content_type, "application/json");
            response.keep_alive(request.keep_alive());
            response.body() = handled.body;
            response.prepare_payload();
            http::write(socket, response, code);
            if (code || !response.keep_alive()) {
                return;
            }
        }
    }

    void accept()
    {
        for (;;) {
            beast::error_code code;
            asio::ip::tcp::socket socket(context);
            acceptor.accept(socket, code);
            std::unique_lock<std::mutex> lock(mutex);
            if (stopping) {
                return;
            }
            if (code || sockets.size() >= maxConnections) {
                continue;
            }
            sockets.push_back(std::move(socket));
            const auto socketPosition = std::prev(sockets.end());
            std::thread([self = shared_from_this(), socketPosition] {
                self->serve(*socketPosition);
                const std::lock_guard<std::mutex> ended(self->mutex);
                self->sockets.erase(socketPosition);
                self->changed.notify_all();
            }).detach();
        }
    }

    HttpHandler handler;
    size_t maxConnections;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<asio::ip::tcp::socket> sockets;
    bool stopping = false;
    std::thread acceptThread;
};

StandinServer::StandinServer(HttpHandler handler, uint16_t port, size_t maxConnections)
    : shared_(std::make_shared<Shared>(std::move(handler), port, maxConnections))
{
    shared_->acceptThread = std::thread([shared = shared_.get()] {
        shared->accept();
    });
}

StandinServer::~StandinServer()
{
    beast::error_code ignored;
    {
        const std::lock_guard<std::mutex> lock(shared_->mutex);
        shared_->stopping = true;
        for (auto &socket : shared_->sockets) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
    }
    // Connects to the acceptor, because closing it does not unblock a blocking accept.
    asio::ip::tcp::socket wakeupSocket(shared_->context);
    wakeupSocket.connect(shared_->acceptor.local_endpoint(), ignored);
    shared_->acceptThread.join();
    std::unique_lock<std::mutex> lock(shared_->mutex);
    shared_->changed.wait(lock, [this] {
        return shared_->sockets.empty();
    });
}

auto StandinServer::endpoint() const -> Endpoint
{
    return Endpoint{"127.0.0.1", shared_->acceptor.local_endpoint().port()};
}

} // namespace snipestream::testing
