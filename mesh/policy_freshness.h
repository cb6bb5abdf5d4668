#pragma once

#include "core/time.h"

#include <optional>

namespace snipestream
{

/// Reads of the operator's configuration from the store, as far as they tell whether the store answers this node. A store that
/// answers one node and not another cannot be told from a slow process by the age of a confirmation alone: a process that got no
/// processor time has an old confirmation although the store would have answered it.
struct StoreContact {
    /// When the answer to the read in progress is due; empty if none is in progress.
    std::optional<TimePoint> answerDueAt;
    /// When the store was last found not to answer this node, while the process was running.
    std::optional<TimePoint> unansweredAt;
    /// When the process last noted the time.
    TimePoint observedAt;
};

/// Notes that a read was sent whose answer is due within `answerTime`.
void beginStoreRead(StoreContact &contact, Duration answerTime, TimePoint now);

/// Notes that the read in progress has ended.
void endStoreRead(StoreContact &contact, bool wasAnswered, TimePoint now);

/// Notes the time, so that an answer that is overdue is noticed before the read ends. Must be called with each tick. After a
/// pause of the process, the answer may have arrived already, so it is due `answerTime` later.
void observeStoreRead(StoreContact &contact, Duration answerTime, TimePoint now);

/// What a node may do with its configuration.
enum class PolicyTrust {
    /// It was the newest one within the bound; the node decides by it.
    Confirmed,
    /// The store does not answer this node, so it goes on with the configuration that it has.
    Unreachable,
    /// A newer configuration may be in force and this node can still find out: it must not decide by this one.
    Unconfirmed,
};

/// Returns what a node may do with a configuration that was confirmed at `confirmedAt`, in a fleet in which a configuration must be
/// in force `policyApply` after its acknowledgement. `newerHeardAt` is when another node last named a newer one.
auto policyTrust(TimePoint confirmedAt, const StoreContact &contact, std::optional<TimePoint> newerHeardAt, Duration policyApply, TimePoint now) -> PolicyTrust;

} // namespace snipestream
