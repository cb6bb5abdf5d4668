#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace snipestream
{

/// Settings of a node that runs on the platform. The deploy template fills them in.
struct SidecarSettings {
    NodeName node;
    DomainName domain;
    /// IP address of this VM.
    std::string address;
    /// Service of the target on this VM.
    ServiceName service;
    Endpoint target;
    /// Callers of this VM and its target send their requests here.
    Endpoint callerListen;
    /// Other nodes send requests for the target here.
    Endpoint peerListen;
    Endpoint readyListen;
    /// The target announces itself here.
    Endpoint targetListen;
    Endpoint store;
    /// UDP port of the reports between nodes; the same on all VMs.
    uint16_t reportPort = 0;
    uint16_t metricsPort = 0;
    uint64_t memoryMb = 256;
    uint64_t maxDescriptors = 1024;
    /// A withdrawn key must not work longer than this after the operator was told that it is withdrawn.
    Duration keyWithdrawal = seconds(5);
    /// The process is killed so long after the stop signal.
    Duration stopTime = seconds(6);
    /// Arrivals beyond the first of each request that a service may get, as a part of its requests, and in any case.
    double retryRatio = 0.2;
    double retrySlack = 50;
    Duration rateWindow = seconds(5);
    double rateOvershoot = 0.1;
    double rateSlack = 20;

    friend auto operator==(const SidecarSettings &a, const SidecarSettings &b) -> bool;
    friend auto operator!=(const SidecarSettings &a, const SidecarSettings &b) -> bool;
};

/// Reads the settings from a JSON text. Returns ErrorCode::InvalidInput naming the field that is missing or wrong.
auto parseSidecarSettings(const std::string &text) -> Result<SidecarSettings>;

/// Reads the settings file. Returns ErrorCode::NotFound if it cannot be read.
auto loadSidecarSettings(const std::string &path) -> Result<SidecarSettings>;

} // namespace snipestream
