#include "sidecar/distribution.h"

#include "core/cbor_item.h"
#include "core/events.h"
#include "core/json_fields.h"
#include "sidecar/evacuation_orders.h"
#include "sidecar/membership.h"
#include "sidecar/policy_reader.h"
#include "sidecar/state.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

constexpr const char *kPolicyPath = "/-/policy";
constexpr const char *kMembersPath = "/-/members";
constexpr const char *kAfterParameter = "?after=";
/// Header field with the age of the confirmation of the policy, in ms.
constexpr const char *kAgeField = "Sns-Age-Ms";
/// Header field with the operator's orders to evacuate failure domains.
constexpr const char *kOrdersField = "Sns-Orders";
/// Timeout of a transfer; the largest configurations take a fraction of a second.
constexpr Duration kFetchTimeout = seconds(1);
/// Number of nodes from which the policy is fetched at once.
constexpr size_t kMaxPolicySources = 3;
/// Shortest interval of polls; the ticks are not much shorter.
constexpr Duration kMinPollInterval = milliseconds(50);
/// Fraction of the time until a configuration must be in force that may pass between two polls.
constexpr double kPollFraction = 0.2;
/// A node that has not asked for this long is no follower any more.
constexpr Duration kFollowerRetention = seconds(3);
/// Time after which a member that has not asked may have started again, and how often the reader tells such members.
constexpr Duration kSilentMemberTime = milliseconds(1200);
constexpr Duration kNotificationInterval = milliseconds(500);

/// Question of a follower.
struct PolicyQuery {
    /// The follower's clock in nanoseconds, repeated in the answer.
    int64_t sentAtNs = 0;
};

/// Answer of a reader, or unasked news.
struct PolicyState {
    /// From the query, or 0 for unasked news.
    int64_t querySentAtNs = 0;
    uint64_t version = 0;
    /// Time since the read that confirmed the policy was sent.
    Duration age{};
    uint64_t membersOffset = 0;
    /// Orders of the operator that the node knows.
    Evacuation evacuation;
};

auto encodeEvacuation(const Evacuation &evacuation) -> json
{
    json domains = json::array();
    for (const DomainName &domain : evacuation.domains) {
        domains.push_back(domain.value);
    }
    return {{"r", evacuation.revision}, {"d", std::move(domains)}};
}

/// Decodes orders; nodes of earlier versions send none.
auto decodeEvacuation(const json &object) -> Result<Evacuation>
{
    Evacuation evacuation;
    if (!object.is_object()) {
        return evacuation;
    }
    JsonFields fields(object);
    evacuation.revision = fields.unsignedInteger("r");
    for (const auto &domain : fields.array("d")) {
        if (!domain.is_string()) {
            fields.reject("an evacuated domain is not a string");
            break;
        }
        evacuation.domains.insert(DomainName(domain.get<std::string>()));
    }
    if (fields.failed()) {
        return fields.error();
    }
    return evacuation;
}

auto encodeState(const SidecarState &state, int64_t querySentAtNs, TimePoint now) -> std::vector<uint8_t>
{
    return json::to_cbor(json{{"c", querySentAtNs},
                              {"v", state.policy ? state.policy->version : 0},
                              {"g", toMsRoundedUp(now - state.policyConfirmedAt)},
                              {"m", state.storeView.membersOffset},
                              {"e", encodeEvacuation(state.evacuation)}});
}

auto decodeState(std::string_view bytes) -> Result<PolicyState>
{
    const json object = parseCborItem(bytes);
    JsonFields fields(object);
    PolicyState received;
    received.querySentAtNs = fields.count("c");
    received.version = fields.unsignedInteger("v");
    received.age = milliseconds(fields.integer("g", 0, std::numeric_limits<int32_t>::max()));
    received.membersOffset = fields.unsignedInteger("m");
    if (fields.failed()) {
        return fields.error();
    }
    BOOST_OUTCOME_TRY(received.evacuation, decodeEvacuation(object.value("e", json())));
    return received;
}

/// Requests a path of another node. Returns an empty value if it does not respond with status 200.
auto fetch(SidecarState &state, const std::string &address, const std::string &path) -> std::optional<ResponseMessage>
{
    RequestMessage request;
    request.method = "GET";
    request.target = path;
    CancelSignal cancel;
    CallResult result = state.peerPool.call({address, state.settings.peerListen.port}, request, cancel, BootClock::now() + kFetchTimeout);
    if (result.status != CallStatus::Answered || result.response.status != 200) {
        return std::nullopt;
    }
    return std::move(result.response);
}

/// Fetches the policy from a node that has announced the version.
void fetchPolicy(SidecarState &state, const std::string &address, uint64_t version)
{
    auto &sources = state.storeView.policySources;
    const auto found = sources.find(address);
    if (found != sources.end()) {
        found->second = std::max(found->second, version);
        return;
    }
    if (sources.size() >= kMaxPolicySources) {
        return;
    }
    sources.emplace(address, version);
    state.runtime.spawn([&state, address] {
        const TimePoint sentAt = BootClock::now();
        const auto response = fetch(state, address, kPolicyPath);
        const uint64_t announced = state.storeView.policySources[address];
        state.storeView.policySources.erase(address);
        if (!response || state.ended) {
            return;
        }
        if (const auto orders = findHeader(response->headers, kOrdersField)) {
            const auto evacuation = decodeEvacuation(json::parse(*orders, nullptr, false));
            if (evacuation) {
                applyEvacuation(state, evacuation.value());
            } else {
                logEvent(EventId::DatagramInvalid, {{"from", address}, {"error", evacuation.error().message}});
            }
        }
        const uint64_t before = state.policy ? state.policy->version : 0;
        applyPolicyDocument(state, response->body);
        const auto age = findHeader(response->headers, kAgeField);
        if (age) {
            // The age was measured after the request was sent, so the policy was confirmed no earlier than this.
            confirmPolicy(state, sentAt - milliseconds(std::atoll(std::string(*age).c_str())));
        }
        // In a series of changes, the next one may have been announced during the transfer.
        if (state.policy && state.policy->version > before && state.policy->version < announced) {
            fetchPolicy(state, address, announced);
        }
    });
}

void fetchMembers(SidecarState &state, const std::string &address)
{
    if (state.storeView.isFetchingMembers) {
        return;
    }
    state.storeView.isFetchingMembers = true;
    state.runtime.spawn([&state, address] {
        const auto response = fetch(state, address, kMembersPath + std::string(kAfterParameter) + std::to_string(state.storeView.membersOffset));
        state.storeView.isFetchingMembers = false;
        if (!response || state.ended) {
            return;
        }
        const json object = json::parse(response->body, nullptr, false);
        JsonFields fields(object);
        const uint64_t offset = fields.unsignedInteger("offset");
        std::vector<KeyedRecord> records;
        for (const auto &row : fields.array("records")) {
            JsonFields rowFields(row);
            KeyedRecord record{rowFields.shortText("key"), rowFields.text("value"), rowFields.unsignedInteger("offset")};
            if (rowFields.failed()) {
                logEvent(EventId::DatagramInvalid, {{"from", address}, {"error", rowFields.error().message}});
                continue;
            }
            records.push_back(std::move(record));
        }
        if (fields.failed()) {
            logEvent(EventId::DatagramInvalid, {{"from", address}, {"error", fields.error().message}});
            return;
        }
        applyMemberRecords(state, records, offset);
    });
}

void handleQuery(SidecarState &state, const std::string &from, std::string_view bytes)
{
    const json object = parseCborItem(bytes);
    JsonFields fields(object);
    const PolicyQuery query{fields.count("c")};
    if (fields.failed()) {
        logEvent(EventId::DatagramInvalid, {{"from", from}, {"error", fields.error().message}});
        return;
    }
    learnFromPeer(state, from);
    const TimePoint now = BootClock::now();
    state.storeView.followers[from] = now;
    if (state.policy) {
        state.datagrams.send(from, DatagramKind::PolicyState, encodeState(state, query.sentAtNs, now));
    }
}

void handleState(SidecarState &state, const std::string &from, std::string_view bytes)
{
    const auto decoded = decodeState(bytes);
    if (!decoded) {
        logEvent(EventId::DatagramInvalid, {{"from", from}, {"error", decoded.error().message}});
        return;
    }
    learnFromPeer(state, from);
    const PolicyState &received = decoded.value();
    applyEvacuation(state, received.evacuation);
    const uint64_t version = state.policy ? state.policy->version : 0;
    if (received.version > version) {
        state.storeView.newerPolicyHeardAt = BootClock::now();
        fetchPolicy(state, from, received.version);
    }
    if (received.membersOffset > state.storeView.membersOffset) {
        fetchMembers(state, from);
    }
    const TimePoint sentAt = TimePoint(Duration(received.querySentAtNs));
    if (received.querySentAtNs == 0 || sentAt > BootClock::now()) {
        return;
    }
    observeAnswer(state.storeView.polls, from);
    state.storeView.membersConfirmedAt = std::max(state.storeView.membersConfirmedAt, sentAt);
    if (received.version == version && version != 0) {
        // The age was measured after the query was sent, so the policy was confirmed no earlier than this.
        confirmPolicy(state, sentAt - received.age);
    }
}

} // namespace

void learnFromPeer(SidecarState &state, const std::string &address)
{
    if (!state.isMembershipRead) {
        fetchMembers(state, address);
    }
    if (!state.policy) {
        fetchPolicy(state, address, 0);
    }
}

void applyFreshnessSettings(SidecarState &state)
{
    auto &view = state.storeView;
    const auto &settings = state.settings;
    view.freshness = freshnessLimits(settings.policyApply, settings.keyWithdrawal, view.freshnessSpread);
    const auto shortest = std::chrono::duration<double>(std::min(settings.policyApply, settings.keyWithdrawal));
    const auto interval = duration_cast<Duration>(shortest * kPollFraction);
    view.readerSettings.pollInterval = std::clamp(interval, kMinPollInterval, ReaderSettings().pollInterval);
}

void startDistribution(SidecarState &state)
{
    state.storeView.freshnessSpread = static_cast<double>(drawBelow(state.random, 1000)) / 1000;
    applyFreshnessSettings(state);
    state.datagrams.onReceive(DatagramKind::PolicyQuery, [&state](const std::string &from, std::string_view bytes) {
        handleQuery(state, from, bytes);
    });
    state.datagrams.onReceive(DatagramKind::PolicyState, [&state](const std::string &from, std::string_view bytes) {
        handleState(state, from, bytes);
    });
}

namespace
{

/// Tells the members of this failure domain that do not ask, because they have just started and do not know the members.
void notifySilentMembers(SidecarState &state, TimePoint now)
{
    StoreView &view = state.storeView;
    if (now < view.nextNotificationAt || !state.policy) {
        return;
    }
    view.nextNotificationAt = now + kNotificationInterval;
    for (const auto &[address, row] : state.peers.rows) {
        const auto follower = view.followers.find(address);
        const bool asks = follower != view.followers.end() && now - follower->second <= kSilentMemberTime;
        if (row.member.domain == state.settings.domain && address != state.settings.address && !asks) {
            state.datagrams.send(address, DatagramKind::PolicyState, encodeState(state, 0, now));
        }
    }
}

} // namespace

void tickDistribution(SidecarState &state, TimePoint now)
{
    StoreView &view = state.storeView;
    observeStoreRead(view.contact, view.freshness.answerTime, now);
    if (state.isStoreReader && !isStopping(state.stop)) {
        notifySilentMembers(state, now);
    }
    // A reader that gets no answer from the store asks other nodes before its read times out.
    const bool isFresh = now - state.policyConfirmedAt < view.freshness.askAllAge;
    const bool readsStore = state.isStoreReader && !view.isStoreFailing && isFresh;
    if (readsStore || refusesRequests(state.stop)) {
        return;
    }
    for (const auto &reader : duePolls(view.polls, state.peers, view.readerSettings, isFresh, now)) {
        state.datagrams.send(reader, DatagramKind::PolicyQuery, json::to_cbor(json{{"c", now.time_since_epoch().count()}}));
    }
}

void notifyFollowers(SidecarState &state)
{
    const TimePoint now = BootClock::now();
    auto &followers = state.storeView.followers;
    for (auto follower = followers.begin(); follower != followers.end();) {
        if (now - follower->second > kFollowerRetention) {
            follower = followers.erase(follower);
            continue;
        }
        state.datagrams.send(follower->first, DatagramKind::PolicyState, encodeState(state, 0, now));
        ++follower;
    }
}

auto serveStoreView(const SidecarState &state, const RequestMessage &request) -> std::optional<ResponseMessage>
{
    ResponseMessage response;
    if (request.target == kPolicyPath) {
        if (!state.storeView.policyDocument) {
            response.status = 503;
            return response;
        }
        response.headers.emplace_back(kAgeField, std::to_string(toMsRoundedUp(BootClock::now() - state.policyConfirmedAt)));
        response.headers.emplace_back(kOrdersField, encodeEvacuation(state.evacuation).dump());
        response.body = *state.storeView.policyDocument;
        return response;
    }
    const std::string membersPrefix = std::string(kMembersPath) + kAfterParameter;
    if (request.target.compare(0, membersPrefix.size(), membersPrefix) != 0) {
        return std::nullopt;
    }
    if (!state.isMembershipRead) {
        // An empty list would let the other node believe that its target has not left.
        response.status = 503;
        return response;
    }
    const uint64_t after = std::strtoull(request.target.c_str() + membersPrefix.size(), nullptr, 10);
    json records = json::array();
    for (const auto &[address, record] : state.storeView.memberRecords) {
        if (record.offset >= after) {
            records.push_back({{"key", record.key}, {"value", record.value}, {"offset", record.offset}});
        }
    }
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = json{{"offset", state.storeView.membersOffset}, {"records", std::move(records)}}.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace snipestream
