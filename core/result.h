#pragma once

#include <string>
#include <utility>

#include <boost/outcome.hpp>

namespace snipestream
{

/// Kind of failure that an Error reports; callers branch on it, while the message is for people.
enum class ErrorCode {
    InvalidInput,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Cancelled,
    Closed,
    TooLarge,
    ProtocolViolation,
    Expired,
    Internal,
};

/// Returns the name of the code as it appears in logs and messages, such as "invalid-input".
auto errorCodeName(ErrorCode code) -> const char *;

/// An expected failure: a code to branch on and a message that names the bad value.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;

    friend auto operator==(const Error &a, const Error &b) -> bool
    {
        return a.code == b.code && a.message == b.message;
    }
    friend auto operator!=(const Error &a, const Error &b) -> bool
    {
        return !(a == b);
    }
};

/// Either a value or an Error. Reading the side that is not present terminates the process.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Makes the failure side of any Result.
inline auto failure(ErrorCode code, std::string message)
{
    return boost::outcome_v2::failure(Error{code, std::move(message)});
}

/// Makes the success side of a Result<void>.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace snipestream
