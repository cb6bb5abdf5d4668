#include "tests/node/http_caller.h"

#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

auto toMessage(const CallerRequest &request) -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, "127.0.0.1");
    for (const auto &[name, value] : request.headers) {
        message.insert(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

auto failedReply(const std::string &step, const beast::error_code &code) -> Reply
{
    Reply reply;
    reply.error = step + ": " + code.message();
    return reply;
}

} // namespace

auto headerOf(const Reply &reply, const std::string &name) -> std::string
{
    return std::string(findHeader(reply.headers, name).value_or(""));
}

auto textOf(const Reply &reply, const std::string &member) -> std::string
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || !json.contains(member) || !json[member].is_string()) {
        return {};
    }
    return json[member].get<std::string>();
}

HttpCaller::HttpCaller(uint16_t port)
    : port_(port)
    , context_(1)
{
}

auto HttpCaller::isOpen() const -> bool
{
    return stream_ != nullptr;
}

void HttpCaller::run()
{
    context_.restart();
    context_.run();
}

auto HttpCaller::connect(Duration timeout) -> boost::system::error_code
{
    beast::error_code result;
    buffer_.clear();
    stream_ = std::make_unique<beast::tcp_stream>(context_);
    stream_->expires_after(timeout);
    stream_->async_connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_), [&result](const beast::error_code &code) {
        result = code;
    });
    run();
    if (result) {
        stream_.reset();
    }
    return result;
}

auto HttpCaller::send(const CallerRequest &request, Duration timeout) -> Reply
{
    beast::error_code result;
    const auto storeResult = [&result](const beast::error_code &code, size_t) {
        result = code;
    };
    if (!stream_) {
        if (const auto code = connect(timeout)) {
            Reply reply = failedReply("connecting", code);
            reply.isRefusedConnection = true;
            return reply;
        }
    }
    auto message = toMessage(request);
    stream_->expires_after(timeout);
    http::async_write(*stream_, message, storeResult);
    run();
    if (result) {
        stream_.reset();
        return failedReply("sending", result);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(uint64_t{64} * 1024 * 1024);
    http::async_read(*stream_, buffer_, parser, storeResult);
    run();
    if (result) {
        stream_.reset();
        return failedReply("reading", result);
    }
    Reply reply;
    const auto response = parser.release();
    reply.status = static_cast<int>(response.result_int());
    for (const auto &field : response) {
        reply.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    reply.body = response.body();
    reply.closes = !response.keep_alive();
    if (reply.closes) {
        stream_.reset();
    }
    return reply;
}

auto HttpCaller::sendTruncated(const CallerRequest &request, size_t bytes, bool chunked, Duration timeout) -> bool
{
    if (!stream_ && connect(timeout)) {
        return false;
    }
    auto message = toMessage(request);
    message.body().clear();
    if (chunked) {
        message.chunked(true);
    } else {
        message.content_length(request.body.size());
    }
    std::ostringstream stream;
    stream << message.base();
    if (chunked) {
        stream << std::hex << bytes << "\r\n" << request.body.substr(0, bytes) << "\r\n";
    } else {
        stream << request.body.substr(0, bytes);
    }
    beast::error_code result;
    const std::string messageText = stream.str();
    stream_->expires_after(timeout);
    asio::async_write(*stream_, asio::buffer(messageText), [&result](const beast::error_code &code, size_t) {
        result = code;
    });
    run();
    stream_.reset();
    return !result;
}

auto sendOnce(uint16_t port, const CallerRequest &request, Duration timeout) -> Reply
{
    HttpCaller caller(port);
    return caller.send(request, timeout);
}

} // namespace snipestream::testing
