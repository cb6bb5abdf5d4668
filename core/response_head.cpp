#include "core/response_head.h"

#include <boost/beast/http/error.hpp>

namespace snipestream
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

} // namespace

auto checkResponseHead(const http::response_header<> &head) -> boost::system::error_code
{
    if (head.result_int() < kMinStatus || head.result_int() > kMaxStatus || head.result_int() == kSwitchingProtocols) {
        return http::error::bad_status;
    }
    return {};
}

} // namespace snipestream
