#pragma once

#include "core/result.h"
#include "mesh/peer_table.h"
#include "mesh/subscriptions.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Encodes a report as CBOR, to be sent in one datagram.
auto encodeReport(const NodeReport &report) -> std::vector<uint8_t>;

/// Decodes a report. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range.
auto decodeReport(std::string_view bytes) -> Result<NodeReport>;

/// Encodes a subscription as CBOR, to be sent in one datagram.
auto encodeSubscription(const Subscription &subscription) -> std::vector<uint8_t>;

/// Decodes a subscription. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range.
auto decodeSubscription(std::string_view bytes) -> Result<Subscription>;

/// Encodes the cost of requests of each kind as CBOR, to be saved in the store.
auto encodeKinds(const std::vector<KindReport> &kinds) -> std::string;

/// Decodes the output of `encodeKinds`. Returns ErrorCode::InvalidInput for anything else.
auto decodeKinds(std::string_view bytes) -> Result<std::vector<KindReport>>;

} // namespace snipestream
