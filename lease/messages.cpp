#include "lease/messages.h"

#include "core/hash.h"
#include "core/json_fields.h"

namespace snipestream
{

namespace
{

auto readNumber(JsonFields &fields, const char *name) -> uint64_t
{
    return static_cast<uint64_t>(fields.count(name));
}

void readKey(JsonFields &fields, LeaseKey &key)
{
    fields.read("domain", key.domain);
    const uint64_t range = readNumber(fields, "range");
    if (range >= kRangeCount) {
        fields.reject("range " + std::to_string(range) + " is not below " + std::to_string(kRangeCount));
    }
    key.range = static_cast<uint32_t>(range);
}

template<typename T>
auto checked(const JsonFields &fields, T message) -> Result<T>
{
    if (fields.failed()) {
        return fields.error();
    }
    return message;
}

} // namespace

auto toJson(const LeasePing &ping) -> nlohmann::json
{
    return {
        {"domain", ping.key.domain.value},
        {"range", ping.key.range},
        {"epoch", ping.epoch},
        {"holder", ping.holder.value},
        {"incarnation", ping.incarnation},
        {"sentAt", ping.sentAt},
        {"witnessIncarnation", ping.witnessIncarnation},
        {"unloggedNumber", ping.unloggedNumber},
        {"unlogged", ping.unlogged},
        {"priorResolved", ping.priorResolved},
    };
}

auto toJson(const LeasePong &pong) -> nlohmann::json
{
    return {
        {"domain", pong.key.domain.value},
        {"range", pong.key.range},
        {"epoch", pong.epoch},
        {"incarnation", pong.incarnation},
        {"sentAt", pong.sentAt},
        {"witness", pong.witness.value},
        {"witnessIncarnation", pong.witnessIncarnation},
        {"vouched", pong.vouched},
        {"unloggedNumber", pong.unloggedNumber},
        {"stored", pong.stored},
        {"prior", static_cast<int>(pong.prior)},
    };
}

auto toJson(const LeaseRelease &release) -> nlohmann::json
{
    return {
        {"domain", release.key.domain.value}, {"range", release.key.range},         {"epoch", release.epoch},
        {"holder", release.holder.value},     {"incarnation", release.incarnation},
    };
}

auto leasePingFromJson(const nlohmann::json &json) -> Result<LeasePing>
{
    JsonFields fields(json);
    LeasePing ping;
    readKey(fields, ping.key);
    ping.epoch = readNumber(fields, "epoch");
    fields.read("holder", ping.holder);
    ping.incarnation = readNumber(fields, "incarnation");
    ping.sentAt = fields.count("sentAt");
    ping.witnessIncarnation = readNumber(fields, "witnessIncarnation");
    ping.unloggedNumber = readNumber(fields, "unloggedNumber");
    ping.unlogged = fields.flag("unlogged");
    ping.priorResolved = fields.flag("priorResolved");
    return checked(fields, std::move(ping));
}

auto leasePongFromJson(const nlohmann::json &json) -> Result<LeasePong>
{
    JsonFields fields(json);
    LeasePong pong;
    readKey(fields, pong.key);
    pong.epoch = readNumber(fields, "epoch");
    pong.incarnation = readNumber(fields, "incarnation");
    pong.sentAt = fields.count("sentAt");
    fields.read("witness", pong.witness);
    pong.witnessIncarnation = readNumber(fields, "witnessIncarnation");
    pong.vouched = fields.flag("vouched");
    pong.unloggedNumber = readNumber(fields, "unloggedNumber");
    pong.stored = fields.flag("stored");
    const uint64_t prior = readNumber(fields, "prior");
    if (prior > static_cast<uint64_t>(UnloggedBit::Unknown)) {
        fields.reject("prior " + std::to_string(prior) + " is not 0, 1 or 2");
        return fields.error();
    }
    pong.prior = static_cast<UnloggedBit>(prior);
    return checked(fields, std::move(pong));
}

auto leaseReleaseFromJson(const nlohmann::json &json) -> Result<LeaseRelease>
{
    JsonFields fields(json);
    LeaseRelease release;
    readKey(fields, release.key);
    release.epoch = readNumber(fields, "epoch");
    fields.read("holder", release.holder);
    release.incarnation = readNumber(fields, "incarnation");
    return checked(fields, std::move(release));
}

} // namespace snipestream
