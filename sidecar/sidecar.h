#pragma once

#include "core/result.h"
#include "net/fiber_runtime.h"
#include "sidecar/settings.h"

#include <functional>
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

    /// Begins a graceful stop: callers and other nodes are told, and requests in progress end. `ended` is called then, with
    /// the number of requests that were cut because the time for the stop was over.
    void requestStop(std::function<void(size_t cut)> ended);

    /// Ends at once, without regard to requests. Fibers of the node end within two seconds; it must live until then.
    void end();

    /// Puts settings that can change at run time into force.
    void reload(const SidecarSettings &settings);

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Runs the node until it is stopped by a signal. Returns the exit code of the process.
auto runSidecar(const std::string &settingsPath) -> int;

} // namespace snipestream
