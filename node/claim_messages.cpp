#include "node/claim_messages.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

/// Runs a parser that uses the checked access of nlohmann::json and converts its exceptions to errors. `what` prefixes the
/// error message.
template<typename T, typename Parse>
auto parseChecked(const nlohmann::json &json, const char *what, Parse parse) -> Result<T>
{
    try {
        return parse(json);
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorCode::InvalidInput, std::string(what) + ": " + error.what());
    }
}

auto keyFrom(const nlohmann::json &json) -> ClaimKey
{
    return ClaimKey{TeamName(json.at("team").get<std::string>()), json.at("key").get<std::string>()};
}

auto attemptFrom(const nlohmann::json &json) -> RequestId
{
    return RequestId{json.at("attemptHigh").get<uint64_t>(), json.at("attemptLow").get<uint64_t>()};
}

void addAttempt(nlohmann::json &json, const RequestId &attempt)
{
    json["attemptHigh"] = attempt.high;
    json["attemptLow"] = attempt.low;
}

auto responseToJson(const RecordedResponse &response) -> nlohmann::json
{
    // The body is encoded as a CBOR byte string, since it need not be valid UTF-8.
    std::vector<uint8_t> body(response.body.begin(), response.body.end());
    return {{"status", response.status}, {"headers", response.headers}, {"body", nlohmann::json::binary(std::move(body))}};
}

auto responseFrom(const nlohmann::json &json) -> RecordedResponse
{
    const auto &body = json.at("body").get_binary();
    return RecordedResponse{json.at("status").get<int>(), json.at("headers").get<HeaderList>(), std::string(body.begin(), body.end())};
}

auto refusalToJson(const Refusal &refusal) -> nlohmann::json
{
    return {{"reason", refusalReasonName(refusal.reason)},
            {"notRun", refusal.run == RunState::NotRun},
            {"retryAfterUs", duration_cast<microseconds>(refusal.retryAfter).count()},
            {"detail", refusal.detail}};
}

auto refusalFrom(const nlohmann::json &json) -> Refusal
{
    const auto reason = parseRefusalReason(json.at("reason").get<std::string>());
    return Refusal{reason.value_or(RefusalReason::ClaimUnavailable), json.at("notRun").get<bool>() ? RunState::NotRun : RunState::Unknown,
                   microseconds(json.at("retryAfterUs").get<int64_t>()), json.at("detail").get<std::string>()};
}

} // namespace

auto toJson(const BeginRequest &request) -> nlohmann::json
{
    nlohmann::json json = {{"team", request.key.team.value},       {"key", request.key.idempotencyKey},
                           {"fingerprint", request.fingerprint},   {"attemptNumber", request.attemptNumber},
                           {"entryNode", request.entryNode.value}, {"timeLeftUs", duration_cast<microseconds>(request.timeLeft).count()}};
    addAttempt(json, request.attempt);
    return json;
}

auto toJson(const EndRequest &request) -> nlohmann::json
{
    nlohmann::json json = {{"team", request.key.team.value}, {"key", request.key.idempotencyKey}, {"kind", static_cast<int>(request.outcome.kind)}};
    addAttempt(json, request.attempt);
    if (request.outcome.response) {
        json["response"] = responseToJson(*request.outcome.response);
    }
    return json;
}

auto toJson(const PeekRequest &request) -> nlohmann::json
{
    return {{"team", request.key.team.value}, {"key", request.key.idempotencyKey}, {"attemptNumber", request.attemptNumber}};
}

auto toJson(const ClaimDecision &decision) -> nlohmann::json
{
    if (std::holds_alternative<Granted>(decision)) {
        return {{"verdict", "granted"}};
    }
    if (const auto *replay = std::get_if<Replay>(&decision)) {
        return {{"verdict", "replay"}, {"response", responseToJson(replay->response)}};
    }
    if (const auto *refused = std::get_if<Refused>(&decision)) {
        return {{"verdict", "refused"}, {"refusal", refusalToJson(refused->refusal)}};
    }
    return {{"verdict", "wait"}};
}

auto beginRequestFromJson(const nlohmann::json &json) -> Result<BeginRequest>
{
    return parseChecked<BeginRequest>(json, "claim.begin", [](const nlohmann::json &fields) {
        BeginRequest request;
        request.key = keyFrom(fields);
        request.fingerprint = fields.at("fingerprint").get<uint64_t>();
        request.attempt = attemptFrom(fields);
        request.attemptNumber = fields.at("attemptNumber").get<uint32_t>();
        request.entryNode = NodeName(fields.at("entryNode").get<std::string>());
        request.timeLeft = microseconds(fields.at("timeLeftUs").get<int64_t>());
        return request;
    });
}

auto endRequestFromJson(const nlohmann::json &json) -> Result<EndRequest>
{
    return parseChecked<EndRequest>(json, "claim.end", [](const nlohmann::json &fields) -> Result<EndRequest> {
        const int kind = fields.at("kind").get<int>();
        if (kind < 0 || kind > static_cast<int>(OutcomeKind::Unknown)) {
            return failure(ErrorCode::InvalidInput, "claim.end: kind " + std::to_string(kind) + " is not known");
        }
        EndRequest request{keyFrom(fields), attemptFrom(fields), {static_cast<OutcomeKind>(kind), std::nullopt}};
        if (fields.contains("response")) {
            request.outcome.response = responseFrom(fields.at("response"));
        }
        return request;
    });
}

auto peekRequestFromJson(const nlohmann::json &json) -> Result<PeekRequest>
{
    return parseChecked<PeekRequest>(json, "claim.peek", [](const nlohmann::json &fields) {
        return PeekRequest{keyFrom(fields), fields.at("attemptNumber").get<uint32_t>()};
    });
}

auto claimDecisionFromJson(const nlohmann::json &json) -> Result<ClaimDecision>
{
    return parseChecked<ClaimDecision>(json, "claim decision", [](const nlohmann::json &fields) -> Result<ClaimDecision> {
        const auto name = fields.at("verdict").get<std::string>();
        if (name == "granted") {
            return ClaimDecision(Granted{});
        }
        if (name == "replay") {
            return ClaimDecision(Replay{responseFrom(fields.at("response"))});
        }
        if (name == "refused") {
            return ClaimDecision(Refused{refusalFrom(fields.at("refusal"))});
        }
        if (name == "wait") {
            return ClaimDecision(Wait{});
        }
        return failure(ErrorCode::InvalidInput, "claim decision '" + name + "' is not known");
    });
}

} // namespace snipestream
