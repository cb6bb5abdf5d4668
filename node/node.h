#pragma once

#include "config/settings.h"
#include "core/result.h"
#include "net/fiber_runtime.h"

#include <memory>

namespace snipestream
{

/// One snipestream node: listeners, links, tables and the fibers that run the systems over them.
class Node
{
public:
    Node(FiberRuntime &runtime, Settings settings);
    ~Node();
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /// Binds the listeners and starts the background fibers. Unavailable if an address cannot be bound.
    auto start() -> Result<void>;

    /// Begins a graceful shutdown; a second call cuts what is still running. The runtime stops when the node has ended.
    void requestStop();

    /// Returns the number of requests that the shutdown cut.
    [[nodiscard]] auto cutRequests() const -> size_t;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace snipestream
