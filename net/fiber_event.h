#pragma once

#include <boost/fiber/context.hpp>

namespace snipestream
{

/// Lets one fiber wait until a handler or another fiber of the same thread notifies it. A notification before the wait
/// is kept, so none is lost. It needs no lock, because the runtime has one thread.
class FiberEvent
{
public:
    FiberEvent() = default;
    FiberEvent(const FiberEvent &) = delete;
    auto operator=(const FiberEvent &) -> FiberEvent & = delete;

    /// Blocks the calling fiber until notify() is or was called, and consumes the notification. At most one fiber
    /// may wait at a time.
    void wait()
    {
        while (!notified_) {
            waitingFiber_ = boost::fibers::context::active();
            waitingFiber_->suspend();
        }
        notified_ = false;
    }

    /// Wakes the waiting fiber. If none waits, the next call of wait() returns at once.
    void notify()
    {
        notified_ = true;
        if (waitingFiber_ == nullptr) {
            return;
        }
        auto *const fiber = waitingFiber_;
        waitingFiber_ = nullptr;
        boost::fibers::context::active()->schedule(fiber);
    }

private:
    boost::fibers::context *waitingFiber_ = nullptr;
    bool notified_ = false;
};

} // namespace snipestream
