#pragma once

#include "core/time.h"

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace snipestream
{

/// Runs fibers and asio handlers of one io_context on one thread. Handlers run between fibers, so neither needs locks.
/// Construct, use and destroy it on the same thread.
class FiberRuntime
{
public:
    FiberRuntime();
    ~FiberRuntime();
    FiberRuntime(const FiberRuntime &) = delete;
    auto operator=(const FiberRuntime &) -> FiberRuntime & = delete;

    [[nodiscard]] auto context() -> boost::asio::io_context &;

    /// Starts a fiber on a pooled stack; it runs when the current handler or fiber yields.
    void spawn(std::function<void()> body);

    /// Runs handlers and fibers until stop() has been called and every spawned fiber has ended.
    void run();

    /// Makes run() return once all fibers have ended. The caller must first close the sockets and cancel the
    /// timers that fibers wait for.
    void stop();

    /// Spawns `body`, runs until it and every other fiber have ended, and returns; for tests and short programs.
    void runToEnd(std::function<void()> body);

    /// Returns the number of spawned fibers that have not ended.
    [[nodiscard]] auto fiberCount() const -> size_t;

    /// Blocks the calling fiber for the duration.
    void sleepFor(Duration duration);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace snipestream
