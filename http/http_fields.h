#pragma once

#include "core/exchange.h"

#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace snipestream
{

/// Returns whether the field concerns one connection only (RFC 9110, section 7.6.1) or the framing of the body, and so
/// is never passed on.
auto isHopByHopField(std::string_view name) -> bool;

/// Copies all fields that are passed on from a parsed message.
auto copyEndToEndFields(const boost::beast::http::fields &fields) -> HeaderList;

/// Adds the fields that are passed on to a message that is about to be sent.
void appendEndToEndFields(const HeaderList &headers, boost::beast::http::fields &fields);

} // namespace snipestream
