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

    /// Binds the addresses and starts the node. Returns an error if an address cannot be bound.
    auto start() -> Result<void>;

    /// Begins a graceful stop: announces it to callers and other nodes and lets requests in progress finish. `ended` is called
    /// at the end, with the number of requests that were aborted because the time for the stop was over.
    void requestStop(std::function<void(size_t aborted)> ended);

    /// Ends the node at once and aborts requests in progress. The node must not be destroyed for two seconds, in which its
    /// fibers end.
    void end();

    /// Applies the settings that can change at run time and ignores the others.
    void reload(const SidecarSettings &settings);

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Runs the node until a signal stops it. Returns the exit code of the process: 2 if the settings cannot be read, 3 if the
/// node cannot start. After a stop signal, the process exits with 0, or with 4 if requests were aborted.
auto runSidecar(const std::string &settingsPath) -> int;

} // namespace snipestream
