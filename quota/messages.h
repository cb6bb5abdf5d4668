#pragma once

#include "quota/params.h"

#include "core/ids.h"
#include "core/result.h"

#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// What became of a grant or loan so far. Both amounts are totals, so that repeated and reordered reports are harmless.
struct SpentReport {
    uint64_t grant = 0;
    MicroTokens spent = 0;
    /// Given back; the receiver will never use this part.
    MicroTokens returned = 0;
};

/// An entry node asks a holder for tokens (quota.ask), or a holder asks the holder of another domain (quota.borrow).
struct QuotaRequest {
    TeamName team;
    NodeName from;
    uint64_t number = 0;
    /// Less than this is of no use; an ask that wants nothing only reports and gets no answer.
    MicroTokens minAmount = 0;
    MicroTokens requestedAmount = 0;
    /// The holder may borrow from other holders for this ask; false in asks between holders.
    bool mayBorrow = true;
    std::vector<SpentReport> reports;
};

enum class QuotaOutcome {
    Granted,
    /// Not enough tokens; `retryAfter` says when there will be.
    Short,
    /// The node is not the valid holder or does not know the team.
    Unavailable,
};

/// The answer to an ask. Ask and grant numbers contain the incarnation of their node and never repeat.
struct QuotaResponse {
    TeamName team;
    NodeName from;
    uint64_t requestNumber = 0;
    QuotaOutcome outcome = QuotaOutcome::Unavailable;
    uint64_t grant = 0;
    MicroTokens amount = 0;
    /// Counted by the receiver from the moment it sent the ask.
    Duration lifetime{};
    Duration retryAfter{};
    /// Time in which the whole fleet mints one token of the team.
    Duration tokenInterval{};
    /// What the holder had left.
    MicroTokens level = 0;
};

/// A holder whose domain's weight was raised asks another domain's holder whether it uses these weights
/// (quota.weights).
struct WeightsRequest {
    uint32_t range = 0;
    uint64_t version = 0;
    NodeName from;
};

/// The holder of `domain` keeps to its share under these weights and has no more tokens out than that.
struct WeightsAck {
    uint32_t range = 0;
    uint64_t version = 0;
    DomainName domain;
};

auto toJson(const QuotaRequest &request) -> nlohmann::json;
auto toJson(const QuotaResponse &response) -> nlohmann::json;
auto toJson(const WeightsRequest &request) -> nlohmann::json;
auto toJson(const WeightsAck &ack) -> nlohmann::json;

/// These return InvalidInput with the name of the field that is missing or wrong.
auto quotaRequestFromJson(const nlohmann::json &json) -> Result<QuotaRequest>;
auto quotaResponseFromJson(const nlohmann::json &json) -> Result<QuotaResponse>;
auto weightsRequestFromJson(const nlohmann::json &json) -> Result<WeightsRequest>;
auto weightsAckFromJson(const nlohmann::json &json) -> Result<WeightsAck>;

/// Returns the first ask or grant number of a node's incarnation. Numbers of two incarnations do not meet, so that an
/// answer to a former process is not taken for one of this process.
auto firstNumber(uint64_t incarnation) -> uint64_t;

} // namespace snipestream
