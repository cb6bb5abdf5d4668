#include "config/settings.h"

#include "config/rule.h"
#include "config/text.h"

#include <fstream>
#include <set>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

constexpr uint64_t kMaxDurationMs = 24ULL * 3600 * 1000;
constexpr uint64_t kMaxRetentionMs = 366ULL * 24 * 3600 * 1000;

/// Addresses that are allowed for an endpoint: any, all but the wildcard addresses (so that other VMs can connect to
/// it), or only loopback.
enum class AllowedAddress {
    Any,
    Specific,
    Loopback,
};

auto readMs(JsonReader &reader, const std::string &name, Duration fallback, uint64_t max = kMaxDurationMs) -> Duration
{
    const auto fallbackMs = static_cast<uint64_t>(duration_cast<milliseconds>(fallback).count());
    return milliseconds(reader.number(name, 1, max, fallbackMs));
}

auto readName(JsonReader &reader, const std::string &name) -> std::string
{
    const bool isPresent = reader.hasText(name);
    std::string text = reader.text(name);
    if (isPresent && !isValidName(text)) {
        reader.addError(name,
                        inQuotes(text)
                            + " is not a name of 1 to 63 letters, digits, '-', '_' and '.', starting with a letter or "
                              "digit");
    }
    return text;
}

/// Parses an endpoint into `endpoint`. Returns why it is invalid; empty if it is valid.
auto checkEndpoint(const std::string &text, AllowedAddress allowed, Endpoint &endpoint) -> std::string
{
    const auto parsed = parseEndpoint(text);
    if (!parsed) {
        return parsed.error().message;
    }
    endpoint = parsed.value();
    const auto address = boost::asio::ip::make_address(endpoint.address);
    if (allowed == AllowedAddress::Loopback && !address.is_loopback()) {
        return inQuotes(text) + " is not on loopback; targets and operators connect from this VM, use 127.0.0.1:<port>";
    }
    if (allowed == AllowedAddress::Specific && address.is_unspecified()) {
        return inQuotes(text) + " is a wildcard address; other VMs connect to this endpoint, use the VM's own address";
    }
    return {};
}

auto readEndpoint(JsonReader &reader, const std::string &name, AllowedAddress allowed) -> Endpoint
{
    Endpoint endpoint;
    const bool isPresent = reader.hasText(name);
    const std::string text = reader.text(name);
    const std::string problem = isPresent ? checkEndpoint(text, allowed, endpoint) : std::string();
    if (!problem.empty()) {
        reader.addError(name, problem);
    }
    return endpoint;
}

void readTimeouts(JsonReader &reader, TimeoutSettings &timeouts)
{
    timeouts.request = readMs(reader, "requestMs", timeouts.request);
    timeouts.connect = readMs(reader, "connectMs", timeouts.connect);
    timeouts.readHead = readMs(reader, "readHeadMs", timeouts.readHead);
    timeouts.idle = readMs(reader, "idleMs", timeouts.idle);
    timeouts.log = readMs(reader, "logMs", timeouts.log);
    timeouts.peer = readMs(reader, "peerMs", timeouts.peer);
    reader.finish();
}

void readLimits(JsonReader &reader, LimitSettings &limits)
{
    limits.maxHeaderBytes = reader.number("maxHeaderBytes", 1024, 1024 * 1024, limits.maxHeaderBytes);
    limits.maxBodyBytes = reader.number("maxBodyBytes", 1024, 1ULL << 40U, limits.maxBodyBytes);
    limits.maxConnections = reader.number("maxConnections", 1, 1000000, limits.maxConnections);
    reader.finish();
}

void readRetention(JsonReader &reader, Retention &retention)
{
    retention.age = readMs(reader, "ageMs", retention.age, kMaxRetentionMs);
    retention.records = reader.number("records", 0, 1ULL << 40U, retention.records);
    // A snapshot is due at half of the retention, which has to leave room for its own parts and some changes.
    if (retention.records != 0 && retention.records < 100) {
        reader.addError("records", "is " + std::to_string(retention.records) + ", expected 0 or at least 100");
    }
    reader.finish();
}

/// Reads an optional object of settings; without it the defaults stay.
template<typename Value>
void readGroup(JsonReader &parent, const std::string &name, std::vector<JsonError> &errors, Value &value, void (*read)(JsonReader &, Value &))
{
    static const Json kNone = Json::object();
    const Json *group = parent.has(name) ? parent.value(name) : &kNone;
    JsonReader reader(*group, parent.pathOf(name), errors);
    read(reader, value);
}

auto readFleetSecret(JsonReader &reader) -> std::string
{
    constexpr size_t kMinSecretBytes = 16;
    std::string secret = reader.text("fleetSecret");
    if (reader.has("fleetSecret") && secret.size() < kMinSecretBytes) {
        // The message does not contain the value, because messages are written to logs.
        reader.addError("fleetSecret", "has fewer than 16 characters");
    }
    return secret;
}

void readDomains(JsonReader &reader, Settings &settings)
{
    std::set<std::string> seen;
    for (const std::string &text : reader.texts("domains", false)) {
        if (!isValidName(text) || !seen.insert(text).second) {
            reader.addError("domains", inQuotes(text) + " is not a valid name or is listed twice");
        }
        settings.domains.emplace_back(text);
    }
    if (!seen.empty() && seen.count(settings.domain.value) == 0) {
        reader.addError("domains", "lacks the node's own failure domain " + inQuotes(settings.domain.value));
    }
}

void readSeedPeers(JsonReader &reader, Settings &settings)
{
    for (const std::string &text : reader.texts("seedPeers", false)) {
        Endpoint endpoint;
        const std::string problem = checkEndpoint(text, AllowedAddress::Specific, endpoint);
        if (!problem.empty()) {
            reader.addError("seedPeers", problem);
        }
        settings.seedPeers.push_back(endpoint);
    }
}

void checkDistinctPorts(JsonReader &reader, const Settings &settings)
{
    const std::vector<std::pair<const char *, const Endpoint *>> listeners = {
        {"callerListen", &settings.callerListen}, {"peerListen", &settings.peerListen}, {"targetListen", &settings.targetListen}};
    for (size_t i = 0; i < listeners.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            const auto &[name, endpoint] = listeners[i];
            if (endpoint->port != 0 && *endpoint == *listeners[j].second) {
                reader.addError(name, "is " + toString(*endpoint) + ", the same as " + listeners[j].first);
            }
        }
    }
}

} // namespace

auto parseEndpoint(std::string_view text) -> Result<Endpoint>
{
    const size_t colon = text.rfind(':');
    std::string_view host = text.substr(0, colon);
    const auto port = colon == std::string_view::npos ? std::nullopt : parseDecimal(text.substr(colon + 1), 65535);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(std::string(host), code);
    if (code || !port || *port == 0 || address.is_v6() != bracketed) {
        return failure(ErrorCode::InvalidInput,
                       inQuotes(text)
                           + " is not <IP address>:<port> with a port from 1 to 65535, such as 127.0.0.1:7000"
                             " or [::1]:7000");
    }
    return Endpoint{address.to_string(), static_cast<uint16_t>(*port)};
}

auto parseSettings(std::string_view text) -> SettingsResult
{
    SettingsResult result;
    Settings &settings = result.settings;
    const Json document = parseJsonText(text, result.errors);
    if (document.is_discarded()) {
        return result;
    }
    JsonReader reader(document, "$", result.errors);
    settings.node = NodeName(readName(reader, "node"));
    settings.domain = DomainName(readName(reader, "domain"));
    settings.fleetSecret = readFleetSecret(reader);
    settings.callerListen = readEndpoint(reader, "callerListen", AllowedAddress::Any);
    settings.peerListen = readEndpoint(reader, "peerListen", AllowedAddress::Specific);
    settings.targetListen = readEndpoint(reader, "targetListen", AllowedAddress::Loopback);
    settings.log = readEndpoint(reader, "log", AllowedAddress::Specific);
    readDomains(reader, settings);
    readSeedPeers(reader, settings);
    readGroup(reader, "timeouts", result.errors, settings.timeouts, readTimeouts);
    readGroup(reader, "limits", result.errors, settings.limits, readLimits);
    readGroup(reader, "retention", result.errors, settings.retention, readRetention);
    settings.shutdownDeadline = readMs(reader, "shutdownDeadlineMs", settings.shutdownDeadline);
    checkDistinctPorts(reader, settings);
    reader.finish();
    return result;
}

auto loadSettings(const std::string &path) -> Result<Settings>
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return failure(ErrorCode::NotFound, "the settings file " + inQuotes(path) + " cannot be read");
    }
    SettingsResult parsed = parseSettings(text.str());
    if (!parsed.errors.empty()) {
        return failure(ErrorCode::InvalidInput, joinErrors(parsed.errors, "\n"));
    }
    return std::move(parsed.settings);
}

} // namespace snipestream
