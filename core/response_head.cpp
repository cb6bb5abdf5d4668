#include "core/response_head.h"

#include <iterator>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace snipestream
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
/// Version of HTTP/1.1, the first one with transfer codings, as the library counts it.
constexpr unsigned kVersionWithTransferCodings = 11;

/// Returns whether the only transfer coding, if there is any, is the chunked one.
auto isTransferCodingKnown(const http::response_header<> &head) -> bool
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return std::next(first) == last && head.version() >= kVersionWithTransferCodings && boost::beast::iequals(first->value(), "chunked");
}

} // namespace

auto checkResponseHead(const http::response_header<> &head) -> boost::system::error_code
{
    if (head.result_int() < kMinStatus || head.result_int() > kMaxStatus || head.result_int() == kSwitchingProtocols) {
        return http::error::bad_status;
    }
    if (!isTransferCodingKnown(head)) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

auto isProtocolError(const boost::system::error_code &error) -> bool
{
    return error.category() == http::make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

} // namespace snipestream
