#pragma once

#include "quota/params.h"

#include "core/ids.h"
#include "core/result.h"

#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// What the receiver of a grant or loan has done with it. All amounts are running totals, so that duplicate and reordered
/// reports are harmless.
struct SpentReport {
    uint64_t grantNumber = 0;
    MicroTokens spent = 0;
    /// Returned to the issuer; the receiver will not use these tokens.
    MicroTokens returned = 0;
    /// Part of `spent` whose requests were refused later and have not run. The receiver will not use these tokens either.
    MicroTokens refunded = 0;
};

/// A request for tokens from an entry node to a holder, or from a holder to the holder of another domain (both method
/// quota.ask).
struct QuotaRequest {
    TeamName team;
    NodeName from;
    uint64_t number = 0;
    /// The sender cannot use fewer tokens than this.
    MicroTokens minAmount = 0;
    /// Zero if the message only carries reports; it then gets no response.
    MicroTokens requestedAmount = 0;
    /// The holder may borrow from other holders to satisfy this request; false in requests between holders.
    bool mayBorrow = true;
    std::vector<SpentReport> reports;
};

enum class QuotaOutcome {
    Granted,
    /// The holder does not have enough tokens now; `retryAfter` is the time until it expects to have them.
    Insufficient,
    /// The node does not hold a valid lease on the range, or has no rule for the team.
    Unavailable,
};

/// The response to a request. Request and grant numbers contain the incarnation of their node and are never reused.
struct QuotaResponse {
    TeamName team;
    NodeName from;
    uint64_t requestNumber = 0;
    QuotaOutcome outcome = QuotaOutcome::Unavailable;
    uint64_t grantNumber = 0;
    MicroTokens amount = 0;
    /// Counted by the receiver from the moment it sent the request.
    Duration lifetime{};
    Duration retryAfter{};
    /// Time in which the whole fleet mints one token of the team.
    Duration tokenInterval{};
    /// Level of the holder after this response.
    MicroTokens level = 0;
};

/// A holder whose domain's weight was raised asks the holder of another domain to confirm that it uses the same weights
/// (method quota.weights).
struct WeightsRequest {
    uint32_t range = 0;
    uint64_t version = 0;
    NodeName from;
};

/// Confirms that the holder of `domain` uses its share under these weights and has no more tokens outstanding than that
/// share allows (method quota.weights-ack).
struct WeightsAck {
    uint32_t range = 0;
    uint64_t version = 0;
    DomainName domain;
};

auto toJson(const QuotaRequest &request) -> nlohmann::json;
auto toJson(const QuotaResponse &response) -> nlohmann::json;
auto toJson(const WeightsRequest &request) -> nlohmann::json;
auto toJson(const WeightsAck &ack) -> nlohmann::json;

/// These functions return InvalidInput with the name of the missing or invalid field.
auto quotaRequestFromJson(const nlohmann::json &json) -> Result<QuotaRequest>;
auto quotaResponseFromJson(const nlohmann::json &json) -> Result<QuotaResponse>;
auto weightsRequestFromJson(const nlohmann::json &json) -> Result<WeightsRequest>;
auto weightsAckFromJson(const nlohmann::json &json) -> Result<WeightsAck>;

/// Returns the first request or grant number of an incarnation of a node. The numbers of different incarnations do not
/// overlap, so that a response to an earlier process is not taken for one to this process.
auto firstNumber(uint64_t incarnation) -> uint64_t;

} // namespace snipestream
