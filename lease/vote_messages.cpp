#include "lease/vote_messages.h"

#include "core/cbor_item.h"
#include "core/hash.h"
#include "core/json_fields.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

auto parse(std::string_view bytes) -> json
{
    return parseCborItem(bytes);
}

auto readRanges(JsonFields &fields, const char *name) -> std::vector<uint32_t>
{
    std::vector<uint32_t> ranges;
    for (const auto &value : fields.array(name)) {
        if (!value.is_number_unsigned() || value.get<uint64_t>() >= kRangeCount) {
            fields.reject(std::string(name) + " has an entry that is not a range: " + value.dump(-1, ' ', false, json::error_handler_t::replace));
            return ranges;
        }
        ranges.push_back(value.get<uint32_t>());
    }
    return ranges;
}

/// Reads the sender and the time of the claim, which both messages contain.
void readOrigin(JsonFields &fields, NodeName &from, int64_t &claimNs)
{
    from = NodeName(fields.shortText("n"));
    claimNs = fields.count("c");
}

} // namespace

auto encodeClaim(const VoteClaim &claim) -> std::vector<uint8_t>
{
    return json::to_cbor(json{{"n", claim.from.value}, {"c", claim.sentAtNs}, {"r", claim.ranges}, {"x", claim.released}});
}

auto encodeVote(const Vote &vote) -> std::vector<uint8_t>
{
    return json::to_cbor(json{{"n", vote.from.value}, {"c", vote.claimSentAtNs}, {"r", vote.ranges}});
}

auto decodeClaim(std::string_view bytes) -> Result<VoteClaim>
{
    const json object = parse(bytes);
    JsonFields fields(object);
    VoteClaim claim;
    readOrigin(fields, claim.from, claim.sentAtNs);
    claim.ranges = readRanges(fields, "r");
    claim.released = readRanges(fields, "x");
    if (fields.failed()) {
        return fields.error();
    }
    return claim;
}

auto decodeVote(std::string_view bytes) -> Result<Vote>
{
    const json object = parse(bytes);
    JsonFields fields(object);
    Vote vote;
    readOrigin(fields, vote.from, vote.claimSentAtNs);
    vote.ranges = readRanges(fields, "r");
    if (fields.failed()) {
        return fields.error();
    }
    return vote;
}

} // namespace snipestream
