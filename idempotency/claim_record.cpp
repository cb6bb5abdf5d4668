#include "idempotency/claim_record.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 3> kKindNames = {"fence", "claims", "handover"};
constexpr std::string_view kBase64Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto toBase64(std::string_view bytes) -> std::string
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            text.push_back(i + j <= bytes.size() ? kBase64Alphabet[(group >> (18U - 6U * j)) & 63U] : '=');
        }
    }
    return text;
}

auto fromBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    uint32_t group = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        const size_t digit = kBase64Alphabet.find(text[i]);
        const bool isPadding = text[i] == '=' && i + 2 >= text.size();
        if (digit == std::string_view::npos && !isPadding) {
            return std::nullopt;
        }
        group = (group << 6U) | (isPadding ? 0U : static_cast<uint32_t>(digit));
        if (i % 4 == 3) {
            bytes.push_back(static_cast<char>(group >> 16U));
            bytes.push_back(static_cast<char>((group >> 8U) & 255U));
            bytes.push_back(static_cast<char>(group & 255U));
            group = 0;
        }
    }
    if (!text.empty()) {
        bytes.resize(bytes.size() - (text.back() == '=' ? (text[text.size() - 2] == '=' ? 2 : 1) : 0));
    }
    return bytes;
}

auto fromHex(const std::string &text, size_t begin) -> std::optional<uint64_t>
{
    uint64_t value = 0;
    for (size_t i = begin; i < begin + 16; ++i) {
        const auto digit = std::string_view("0123456789abcdef").find(text[i]);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        value = value << 4U | digit;
    }
    return value;
}

auto hex64(uint64_t value) -> std::string
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
    return text.data();
}

auto entryToJson(const ClaimEntry &entry) -> json
{
    json row = {{"team", toBase64(entry.key.team.value)},
                {"key", toBase64(entry.key.idempotencyKey)},
                {"print", hex64(entry.fingerprint)},
                {"try", toHex(entry.attempt)},
                {"state", claimStateName(entry.state)}};
    if (entry.attemptNumber != 1) {
        row["number"] = entry.attemptNumber;
    }
    if (entry.age > Duration::zero()) {
        row["ageMs"] = duration_cast<milliseconds>(entry.age).count();
    }
    if (entry.response) {
        json headers = json::array();
        for (const auto &[name, value] : entry.response->headers) {
            headers.push_back({toBase64(name), toBase64(value)});
        }
        row["status"] = entry.response->status;
        row["headers"] = std::move(headers);
        row["body"] = toBase64(entry.response->body);
    }
    return row;
}

/// Reads the fields of a JSON object and records the name of the first missing or invalid one.
struct FieldReader {
    const json &object;
    std::string badField = {};

    auto fail(const char *name) -> void
    {
        if (badField.empty()) {
            badField = name;
        }
    }
    auto text(const char *name) -> std::string
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_string()) {
            fail(name);
            return {};
        }
        return found->get<std::string>();
    }
    auto bytes(const char *name) -> std::string
    {
        auto decoded = fromBase64(text(name));
        if (!decoded) {
            fail(name);
        }
        return decoded.value_or(std::string());
    }
    /// Reads an unsigned number of at most `max`. If `optional` is set, a missing field is read as zero.
    auto number(const char *name, uint64_t max, bool optional = false) -> uint64_t
    {
        const auto found = object.find(name);
        if (found == object.end() && optional) {
            return 0;
        }
        if (found == object.end() || !found->is_number_unsigned() || found->get<uint64_t>() > max) {
            fail(name);
            return 0;
        }
        return found->get<uint64_t>();
    }
    /// Reads a duration in milliseconds of at most 366 days. A missing field is read as zero.
    auto duration(const char *name) -> Duration
    {
        constexpr uint64_t kMaxDurationMs = uint64_t{366} * 24 * 3600 * 1000;
        return milliseconds(static_cast<int64_t>(number(name, kMaxDurationMs, true)));
    }
};

auto readHeaders(FieldReader &reader) -> HeaderList
{
    HeaderList headers;
    const auto found = reader.object.find("headers");
    if (found == reader.object.end() || !found->is_array()) {
        reader.fail("headers");
        return headers;
    }
    for (const auto &pair : *found) {
        if (!pair.is_array() || pair.size() != 2 || !pair[0].is_string() || !pair[1].is_string()) {
            reader.fail("headers");
            return headers;
        }
        auto name = fromBase64(pair[0].get<std::string>());
        auto value = fromBase64(pair[1].get<std::string>());
        if (!name || !value) {
            reader.fail("headers");
            return headers;
        }
        headers.emplace_back(std::move(*name), std::move(*value));
    }
    return headers;
}

auto entryFromJson(const json &row) -> Result<ClaimEntry>
{
    if (!row.is_object()) {
        return failure(ErrorCode::InvalidInput, "an entry of \"claims\" is not an object");
    }
    FieldReader reader{row};
    ClaimEntry entry;
    entry.key = {TeamName(reader.bytes("team")), reader.bytes("key")};
    const std::string fingerprintText = reader.text("print");
    const std::string attempt = reader.text("try");
    const auto fingerprint = fingerprintText.size() == 16 ? fromHex(fingerprintText, 0) : std::nullopt;
    const auto high = attempt.size() == 32 ? fromHex(attempt, 0) : std::nullopt;
    const auto low = attempt.size() == 32 ? fromHex(attempt, 16) : std::nullopt;
    const auto state = parseClaimState(reader.text("state"));
    if (!fingerprint) {
        reader.fail("print");
    }
    if (!high || !low) {
        reader.fail("try");
    }
    if (!state) {
        reader.fail("state");
    }
    entry.age = reader.duration("ageMs");
    if (row.contains("number")) {
        entry.attemptNumber = static_cast<uint32_t>(reader.number("number", UINT32_MAX));
    }
    if (row.contains("status")) {
        entry.response.emplace();
        entry.response->status = static_cast<int>(reader.number("status", 999));
        entry.response->headers = readHeaders(reader);
        entry.response->body = reader.bytes("body");
    }
    if (!reader.badField.empty()) {
        return failure(ErrorCode::InvalidInput, "field \"" + reader.badField + "\" of a claim is missing or invalid");
    }
    entry.fingerprint = *fingerprint;
    entry.attempt = {*high, *low};
    entry.state = *state;
    return entry;
}

} // namespace

auto toJson(const ClaimsRecord &record) -> std::string
{
    json claims = json::array();
    for (const auto &entry : record.claims) {
        claims.push_back(entryToJson(entry));
    }
    return json{{"type", "claims"},
                {"kind", kKindNames[static_cast<size_t>(record.kind)]},
                {"domain", toBase64(record.domain.value)},
                {"range", record.range},
                {"epoch", record.epoch},
                {"sequence", record.sequence},
                {"liveFrom", record.liveFrom},
                {"notBefore", record.notBefore},
                {"homeRevision", record.homeRevision},
                {"quarantineMs", duration_cast<milliseconds>(record.quarantineLeft).count()},
                {"claims", std::move(claims)}}
        .dump();
}

auto maxEntryBytes(const ClaimEntry &entry) -> size_t
{
    const auto encoded = [](size_t bytes) {
        return (bytes + 2) / 3 * 4;
    };
    // 170 bytes cover the field names, punctuation, fingerprint, attempt id and age; 40 and 8 the field names and
    // punctuation of a response and of each header.
    size_t bytes = 170 + encoded(entry.key.team.value.size()) + encoded(entry.key.idempotencyKey.size());
    if (entry.response) {
        bytes += 40 + encoded(entry.response->body.size());
        for (const auto &[name, value] : entry.response->headers) {
            bytes += 8 + encoded(name.size()) + encoded(value.size());
        }
    }
    return bytes;
}

auto claimsRecordFromJson(std::string_view text) -> Result<ClaimsRecord>
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return failure(ErrorCode::InvalidInput, "the record is not a JSON object");
    }
    const auto type = document.find("type");
    if (type == document.end() || !type->is_string()) {
        return failure(ErrorCode::InvalidInput, "field \"type\" is missing or invalid");
    }
    if (type->get<std::string>() != "claims") {
        return failure(ErrorCode::NotFound, "the record is of type \"" + type->get<std::string>() + "\"");
    }
    FieldReader reader{document};
    ClaimsRecord record;
    const std::string kind = reader.text("kind");
    const auto *const found = std::find(kKindNames.begin(), kKindNames.end(), kind);
    if (found == kKindNames.end()) {
        reader.fail("kind");
    } else {
        record.kind = static_cast<RecordKind>(found - kKindNames.begin());
    }
    record.domain = DomainName(reader.bytes("domain"));
    record.range = static_cast<uint32_t>(reader.number("range", kRangeCount - 1));
    record.epoch = reader.number("epoch", UINT64_MAX);
    record.sequence = reader.number("sequence", UINT64_MAX);
    record.liveFrom = reader.number("liveFrom", UINT64_MAX);
    record.notBefore = reader.number("notBefore", UINT64_MAX);
    record.homeRevision = reader.number("homeRevision", UINT64_MAX);
    record.quarantineLeft = reader.duration("quarantineMs");
    const auto claims = document.find("claims");
    if (claims == document.end() || !claims->is_array()) {
        reader.fail("claims");
    }
    if (!reader.badField.empty()) {
        return failure(ErrorCode::InvalidInput, "field \"" + reader.badField + "\" is missing or invalid");
    }
    record.claims.reserve(claims->size());
    for (const auto &row : *claims) {
        auto entry = entryFromJson(row);
        if (!entry) {
            return failure(entry.error().code, entry.error().message);
        }
        record.claims.push_back(std::move(entry.value()));
    }
    return record;
}

} // namespace snipestream
