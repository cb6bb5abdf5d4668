#include "node/log_transport.h"

#include "http/http_client.h"

#include <memory>

namespace snipestream
{

namespace
{

/// Maximum number of concurrent calls to the log: polling, and appends of node, lease and claim records.
constexpr size_t kMaxLogConnections = 8;

} // namespace

auto makeFiberTransport(FiberRuntime &runtime, const Endpoint &log) -> HttpTransport
{
    HttpClientOptions options;
    options.server = log;
    options.maxConnections = kMaxLogConnections;
    const auto client = std::make_shared<HttpClient>(runtime, options);
    return [client](const std::string &method, const std::string &path, const std::string &body, Duration timeout) {
        RequestHead head;
        head.method = method;
        head.path = path;
        head.timeLeft = timeout;
        return fetch(*client, head, body);
    };
}

} // namespace snipestream
