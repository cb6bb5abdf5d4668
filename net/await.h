#pragma once

#include "core/result.h"
#include "core/time.h"
#include "net/fiber_event.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

namespace snipestream
{

/// Result of an asio operation.
struct IoResult {
    boost::system::error_code error;
    size_t bytes = 0;
};

/// Blocks the calling fiber until an asio operation has ended. `start` begins the operation with the handler that it is
/// given; the handler takes an error code and, for operations that have one, a byte count.
template<typename Start>
auto awaitIo(Start &&start) -> IoResult
{
    IoResult result;
    FiberEvent done;
    std::forward<Start>(start)([&result, &done](const boost::system::error_code &error, auto... bytes) {
        result.error = error;
        if constexpr (sizeof...(bytes) > 0) {
            result.bytes = static_cast<size_t>((bytes, ...));
        }
        done.notify();
    });
    done.wait();
    return result;
}

/// Like awaitIo, but calls `cancel` if the timeout passes first. `cancel` must make the operation end; if it ends with an
/// error, the result carries boost::asio::error::timed_out.
template<typename Start, typename Cancel>
auto awaitIoFor(boost::asio::io_context &context, Duration timeout, Start &&start, Cancel cancel) -> IoResult
{
    bool timedOut = false;
    // Shared, because the timer's handler may run after this function has returned.
    auto pending = std::make_shared<bool>(true);
    boost::asio::steady_timer timer(context, timeout);
    timer.async_wait([&timedOut, pending, cancel](const boost::system::error_code &error) {
        if (error || !*pending) {
            return;
        }
        timedOut = true;
        cancel();
    });
    IoResult result = awaitIo(std::forward<Start>(start));
    *pending = false;
    timer.cancel();
    if (timedOut && result.error) {
        result.error = boost::asio::error::timed_out;
    }
    return result;
}

/// Waits until `isSet` is true, at most for the timeout. Whoever sets `isSet` must notify the event. Returns false if the
/// timeout passed first.
inline auto waitFor(boost::asio::io_context &context, FiberEvent &event, Duration timeout, const bool &isSet) -> bool
{
    if (isSet) {
        return true;
    }
    auto pending = std::make_shared<bool>(true);
    bool timedOut = false;
    boost::asio::steady_timer timer(context, timeout);
    timer.async_wait([&timedOut, &event, pending](const boost::system::error_code &error) {
        if (error || !*pending) {
            return;
        }
        timedOut = true;
        event.notify();
    });
    while (!isSet && !timedOut) {
        event.wait();
    }
    *pending = false;
    return isSet;
}

/// Converts an asio error to an Error; `what` names the failed operation, such as "connect to 127.0.0.1:80".
inline auto ioError(const boost::system::error_code &error, const std::string &what) -> Error
{
    ErrorCode code = ErrorCode::Unavailable;
    if (error == boost::asio::error::timed_out) {
        code = ErrorCode::Timeout;
    } else if (error == boost::asio::error::eof || error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe) {
        code = ErrorCode::Closed;
    } else if (error == boost::asio::error::operation_aborted) {
        code = ErrorCode::Cancelled;
    }
    return Error{code, what + ": " + error.message()};
}

} // namespace snipestream
