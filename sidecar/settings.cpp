#include "sidecar/settings.h"

#include "core/json_fields.h"

#include <fstream>
#include <sstream>
#include <tuple>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

constexpr int64_t kMaxMs = 3600 * 1000;

auto readEndpoint(JsonFields &fields, const char *name) -> Endpoint
{
    const std::string text = fields.shortText(name);
    const auto colon = text.rfind(':');
    const std::string port = colon == std::string::npos ? std::string() : text.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) > 65535) {
        fields.reject(std::string(name) + " '" + text + "' is not an address with a port");
        return {};
    }
    return {text.substr(0, colon), static_cast<uint16_t>(std::stoi(port))};
}

/// Reads a number from 0 to `max`; returns `fallback` if the field is missing or null.
auto optionalNumber(const json &object, JsonFields &fields, const char *name, double fallback, double max) -> double
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return fallback;
    }
    if (!found->is_number() || found->get<double>() < 0 || found->get<double>() > max) {
        fields.reject(std::string(name) + " is not a number from 0 to " + std::to_string(max));
        return fallback;
    }
    return found->get<double>();
}

auto asTuple(const SidecarSettings &s)
{
    return std::tie(s.node, s.domain, s.address, s.service, s.target, s.callerListen, s.peerListen, s.readyListen, s.targetListen, s.store, s.reportPort,
                    s.metricsPort, s.isFirstStart, s.memoryMb, s.maxDescriptors, s.keyWithdrawal, s.policyApply, s.stopTime, s.retryRatio, s.retrySlack,
                    s.rateWindow, s.rateOvershoot, s.rateSlack);
}

auto fromSeconds(double value) -> Duration
{
    return duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

auto operator==(const SidecarSettings &a, const SidecarSettings &b) -> bool
{
    return asTuple(a) == asTuple(b);
}

auto operator!=(const SidecarSettings &a, const SidecarSettings &b) -> bool
{
    return !(a == b);
}

auto memoryShare(const SidecarSettings &settings, double share) -> uint64_t
{
    constexpr double kMegabyte = 1024 * 1024;
    return static_cast<uint64_t>(static_cast<double>(settings.memoryMb) * kMegabyte * share);
}

auto ownMember(const SidecarSettings &settings) -> Member
{
    return {settings.address, settings.node, settings.domain, settings.service};
}

auto parseSidecarSettings(const std::string &text) -> Result<SidecarSettings>
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "the settings are not a JSON object");
    }
    JsonFields fields(object);
    SidecarSettings settings;
    fields.read("node", settings.node);
    fields.read("domain", settings.domain);
    settings.address = fields.shortText("address");
    fields.read("service", settings.service);
    settings.target = readEndpoint(fields, "target");
    settings.callerListen = readEndpoint(fields, "callerListen");
    settings.peerListen = readEndpoint(fields, "peerListen");
    settings.readyListen = readEndpoint(fields, "readyListen");
    settings.targetListen = readEndpoint(fields, "targetListen");
    settings.store = readEndpoint(fields, "store");
    settings.reportPort = static_cast<uint16_t>(fields.integer("reportPort", 1, 65535));
    settings.metricsPort = static_cast<uint16_t>(fields.integer("metricsPort", 0, 65535));
    settings.isFirstStart = object.contains("firstStart") && fields.flag("firstStart");
    settings.memoryMb = static_cast<uint64_t>(optionalNumber(object, fields, "memoryMb", static_cast<double>(settings.memoryMb), 1e6));
    settings.maxDescriptors = static_cast<uint64_t>(optionalNumber(object, fields, "maxDescriptors", static_cast<double>(settings.maxDescriptors), 1e7));
    settings.keyWithdrawal = fromSeconds(optionalNumber(object, fields, "keyWithdrawalMs", 5000, kMaxMs) / 1000);
    settings.policyApply = fromSeconds(optionalNumber(object, fields, "policyApplyMs", 2000, kMaxMs) / 1000);
    settings.stopTime = fromSeconds(optionalNumber(object, fields, "stopSeconds", 6, 3600));
    settings.retryRatio = optionalNumber(object, fields, "retryRatio", settings.retryRatio, 100);
    settings.retrySlack = optionalNumber(object, fields, "retrySlack", settings.retrySlack, 1e6);
    settings.rateWindow = fromSeconds(optionalNumber(object, fields, "rateWindowSeconds", 5, 3600));
    settings.rateOvershoot = optionalNumber(object, fields, "rateOvershoot", settings.rateOvershoot, 100);
    settings.rateSlack = optionalNumber(object, fields, "rateSlack", settings.rateSlack, 1e6);
    if (fields.failed()) {
        return fields.error();
    }
    return settings;
}

auto loadSidecarSettings(const std::string &path) -> Result<SidecarSettings>
{
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorCode::NotFound, "cannot read the settings file '" + path + "'");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseSidecarSettings(text.str());
}

} // namespace snipestream
