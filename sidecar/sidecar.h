#pragma once

#include "core/result.h"
#include "net/fiber_runtime.h"
#include "sidecar/settings.h"

#include <memory>
#include <string>

namespace snipestream
{

/// The node beside one target on the platform's VMs.
class Sidecar
{
public:
    Sidecar(FiberRuntime &runtime, SidecarSettings settings);
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    auto operator=(const Sidecar &) -> Sidecar & = delete;

    /// Binds the addresses and starts to work. An Error if an address is taken.
    auto start() -> Result<void>;

    /// Begins a graceful stop: callers and other nodes are told, and requests in progress end. The runtime stops then.
    void requestStop();

    /// Puts settings that can change at run time into force.
    void reload(const SidecarSettings &settings);

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Runs the node until it is stopped by a signal. Returns the exit code of the process.
auto runSidecar(const std::string &settingsPath) -> int;

} // namespace snipestream
