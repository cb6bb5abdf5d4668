#include "core/result.h"

namespace snipestream
{

auto errorCodeName(ErrorCode code) -> const char *
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Closed:
        return "closed";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::ProtocolViolation:
        return "protocol-violation";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace snipestream
