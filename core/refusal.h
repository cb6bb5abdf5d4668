#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace snipestream
{

/// Why a request was refused. The names appear in problem documents, metrics and the request statistics report.
enum class RefusalReason {
    MissingKey,
    UnknownKey,
    WithdrawnKey,
    UnknownContext,
    NoRoute,
    BadRequest,
    MissingIdempotencyKey,
    DeadlinePassed,
    RateExceeded,
    QuotaUnavailable,
    Overloaded,
    QueueTimeout,
    NoTarget,
    RetriesExhausted,
    AlreadyRun,
    InProgress,
    ClaimUnavailable,
    ConnectionLost,
    BadResponse,
    ShuttingDown,
    Cancelled,
};

inline constexpr int kRefusalReasonCount = static_cast<int>(RefusalReason::Cancelled) + 1;

/// Whether a refused request may have had an effect.
enum class RunState {
    NotRun,
    Unknown,
};

/// A refusal by the system itself, as opposed to a response of a target.
struct Refusal {
    RefusalReason reason = RefusalReason::BadRequest;
    RunState run = RunState::NotRun;
    /// When the caller may try again; zero means that a retry will not help.
    Duration retryAfter{};
    std::string detail;

    friend auto operator==(const Refusal &a, const Refusal &b) -> bool
    {
        return a.reason == b.reason && a.run == b.run && a.retryAfter == b.retryAfter && a.detail == b.detail;
    }
};

/// Returns the machine-readable name, such as "rate-exceeded".
auto refusalReasonName(RefusalReason reason) -> std::string_view;

/// Parses a machine-readable name; empty if there is no such reason.
auto parseRefusalReason(std::string_view name) -> std::optional<RefusalReason>;

/// Returns "not-run" or "unknown".
auto runStateName(RunState run) -> std::string_view;

/// Returns the HTTP status that goes with the reason.
auto refusalStatus(RefusalReason reason) -> int;

/// Renders the refusal as an RFC 9457 problem document (application/problem+json).
auto toProblemDocument(const Refusal &refusal, const std::string &requestId) -> std::string;

} // namespace snipestream
