#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "mesh/member.h"

#include <cstdint>
#include <string>

namespace snipestream
{

/// Settings of a node that runs on the platform, filled in by deploy/settings.json.template.
struct SidecarSettings {
    NodeName node;
    DomainName domain;
    /// IP address of this VM.
    std::string address;
    /// Service of the target on this VM.
    ServiceName service;
    Endpoint target;
    /// Callers on this VM and its target send their requests here.
    Endpoint callerListen;
    /// Other nodes send requests for the target here.
    Endpoint peerListen;
    Endpoint readyListen;
    /// The target sends its announcements here.
    Endpoint targetListen;
    Endpoint store;
    /// UDP port of the reports between nodes; the same on all VMs.
    uint16_t reportPort = 0;
    uint16_t metricsPort = 0;
    /// The whole system starts for the first time, so the store has no records of it.
    bool isFirstStart = false;
    uint64_t memoryMb = 256;
    uint64_t maxDescriptors = 1024;
    /// Maximum time for which a key may still work after the operator received the confirmation of its withdrawal.
    Duration keyWithdrawal = seconds(5);
    /// Maximum time from the acknowledgement of a configuration to the operator until every node acts on it.
    Duration policyApply = seconds(2);
    /// Time after the stop signal at which the process is killed.
    Duration stopTime = seconds(6);
    /// Retries that a service may receive per request, and a number of retries that is always allowed.
    double retryRatio = 0.2;
    double retrySlack = 50;
    /// By how much the requests passed by all nodes may exceed a team's rate and burst in any window: by a fraction of what
    /// rate and burst allow, and by a number of requests. Set by the operator for the whole fleet.
    Duration rateWindow = seconds(5);
    double rateOvershoot = 0.1;
    double rateSlack = 20;

    friend auto operator==(const SidecarSettings &a, const SidecarSettings &b) -> bool;
    friend auto operator!=(const SidecarSettings &a, const SidecarSettings &b) -> bool;
};

/// Returns a share of the process's memory limit, in bytes.
auto memoryShare(const SidecarSettings &settings, double share) -> uint64_t;

/// Returns the node as a member of the fleet.
auto ownMember(const SidecarSettings &settings) -> Member;

/// Reads the settings from JSON text. Returns ErrorCode::InvalidInput with the name of the field that is missing or invalid.
auto parseSidecarSettings(const std::string &text) -> Result<SidecarSettings>;

/// Reads the settings file. Returns ErrorCode::NotFound if it cannot be read.
auto loadSidecarSettings(const std::string &path) -> Result<SidecarSettings>;

} // namespace snipestream
