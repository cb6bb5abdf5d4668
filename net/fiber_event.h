#pragma once

#include <boost/fiber/context.hpp>

namespace snipestream
{

/// Lets one fiber wait until a handler or another fiber of the same thread notifies it. A notification before the wait
/// is kept, so none is lost. It costs no lock, since the runtime has one thread.
class FiberEvent
{
public:
    FiberEvent() = default;
    FiberEvent(const FiberEvent &) = delete;
    auto operator=(const FiberEvent &) -> FiberEvent & = delete;

    /// Blocks the calling fiber until notify() is or was called, and consumes the notification. At most one fiber
    /// waits.
    void wait()
    {
        while (!notified_) {
            waiter_ = boost::fibers::context::active();
            waiter_->suspend();
        }
        notified_ = false;
    }

    /// Wakes the waiting fiber, or the next one that waits.
    void notify()
    {
        notified_ = true;
        if (waiter_ == nullptr) {
            return;
        }
        auto *const waiter = waiter_;
        waiter_ = nullptr;
        boost::fibers::context::active()->schedule(waiter);
    }

private:
    boost::fibers::context *waiter_ = nullptr;
    bool notified_ = false;
};

} // namespace snipestream
