#pragma once

#include "net/fiber_event.h"

#include <utility>

namespace snipestream
{

/// Wait of a fiber for a decision that another fiber or a handler makes.
template<typename Decision>
struct DecisionWait {
    FiberEvent event;
    Decision decision{};
    bool isDecided = false;

    /// Ends the wait. Later decisions are ignored.
    void decide(Decision made)
    {
        if (!isDecided) {
            decision = std::move(made);
            isDecided = true;
            event.notify();
        }
    }

    /// Blocks the calling fiber until the decision.
    void wait()
    {
        while (!isDecided) {
            event.wait();
        }
    }
};

} // namespace snipestream
