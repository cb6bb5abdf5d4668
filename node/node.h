#pragma once

#include "config/settings.h"
#include "core/result.h"
#include "net/fiber_runtime.h"

#include <memory>

namespace snipestream
{

/// One snipestream node: its listeners, the links to its peers, its state and its background fibers.
class Node
{
public:
    Node(FiberRuntime &runtime, Settings settings);
    ~Node();
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /// Binds the listeners and starts the background fibers. Unavailable if an address cannot be bound.
    auto start() -> Result<void>;

    /// Starts a graceful shutdown. A second call interrupts the requests that are still running. The runtime stops when
    /// the shutdown is complete.
    void requestStop();

    /// Returns the number of requests that the shutdown interrupted.
    [[nodiscard]] auto cutRequests() const -> size_t;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace snipestream
