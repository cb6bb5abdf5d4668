#pragma once

#include <cstddef>

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace snipestream
{

/// Maximum number of received bytes of a response that wait to be parsed. Heads, heads of chunks and trailers are parsed only when they
/// are complete. It must be below 64 KiB, because the HTTP library throws for a field of that size.
inline constexpr size_t kMaxUnparsedResponseBytes = size_t{48} * 1024;

/// Maximum number of interim responses (1xx) before a response.
inline constexpr int kMaxInterimResponses = 8;

/// Returns why the head of a response must not be passed on although it could be parsed, or no error. Checks what the HTTP library
/// leaves to its users: the status must be one that HTTP defines (RFC 9110, section 15), without a switch to another protocol, which
/// this system never asks for, and the content must not have a transfer coding that this system cannot undo (RFC 9112, section 6.1).
auto checkResponseHead(const boost::beast::http::response_header<> &head) -> boost::system::error_code;

/// Returns whether a response could not be read because of its bytes, and not because it ended early.
auto isProtocolError(const boost::system::error_code &error) -> bool;

} // namespace snipestream
