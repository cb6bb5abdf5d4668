#include "http/message.h"

#include "http/http_fields.h"

#include <utility>

#include <boost/beast/http/status.hpp>

namespace snipestream
{

namespace
{

void appendHeaders(std::string &bytes, const HeaderList &headers)
{
    for (const auto &[name, value] : headers) {
        if (!isHopByHopField(name)) {
            bytes.append(name).append(": ").append(value).append("\r\n");
        }
    }
}

auto headersSize(const HeaderList &headers) -> size_t
{
    size_t size = 128;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size() + 4;
    }
    return size;
}

} // namespace

void CancelSignal::cancel()
{
    if (cancelled_) {
        return;
    }
    cancelled_ = true;
    const auto action = std::exchange(action_, nullptr);
    if (action) {
        action();
    }
}

auto CancelSignal::isCancelled() const -> bool
{
    return cancelled_;
}

void CancelSignal::onCancel(std::function<void()> action)
{
    if (cancelled_) {
        action();
        return;
    }
    action_ = std::move(action);
}

void CancelSignal::clear()
{
    action_ = nullptr;
}

auto serializeRequestHead(const RequestMessage &request) -> std::string
{
    std::string bytes;
    bytes.reserve(headersSize(request.headers) + request.target.size());
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendHeaders(bytes, request.headers);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    bytes.append("\r\n");
    return bytes;
}

auto serializeResponse(const ResponseMessage &response, bool closing, bool withoutBody) -> std::string
{
    std::string bytes;
    bytes.reserve(headersSize(response.headers) + response.body.size());
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    bytes.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    appendHeaders(bytes, response.headers);
    if (response.status != 204 && response.status != 304) {
        bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    if (closing) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    if (!withoutBody) {
        bytes.append(response.body);
    }
    return bytes;
}

} // namespace snipestream
