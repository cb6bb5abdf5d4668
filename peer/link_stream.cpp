#include "peer/link_stream.h"

#include <utility>

namespace snipestream
{

LinkStream::LinkStream(std::shared_ptr<PeerLink> link, std::shared_ptr<StreamState> state)
    : link_(std::move(link))
    , state_(std::move(state))
{
}

auto LinkStream::read() -> Result<BodyChunk>
{
    while (true) {
        BOOST_OUTCOME_TRY(auto result, readBody(link_->table(), *state_));
        if (result) {
            if (result->credit) {
                BOOST_OUTCOME_TRY(link_->queue(*result->credit));
            }
            return std::move(result->chunk);
        }
        readable_.wait();
    }
}

auto LinkStream::write(const std::string &bytes) -> Result<void>
{
    size_t position = 0;
    while (position < bytes.size()) {
        if (!state_->abortError && link_->isQueueFull()) {
            writable_.wait();
            continue;
        }
        BOOST_OUTCOME_TRY(const auto frame, sendChunk(link_->table(), *state_, bytes, position));
        if (!frame) {
            writable_.wait();
            continue;
        }
        BOOST_OUTCOME_TRY(link_->queue(*frame));
    }
    return success();
}

auto LinkStream::finish() -> Result<void>
{
    BOOST_OUTCOME_TRY(const EndFrame frame, sendEnd(link_->table(), *state_));
    auto queued = link_->queue(frame);
    link_->removeIfEnded(*state_);
    return queued;
}

auto LinkStream::respond(const ResponseHead &head) -> Result<void>
{
    BOOST_OUTCOME_TRY(sendHead(link_->table(), *state_));
    auto queued = link_->queue(HeadFrame{state_->id, head});
    if (!queued) {
        abort(queued.error());
    }
    return queued;
}

auto LinkStream::awaitHead() -> Result<ResponseHead>
{
    while (!state_->responseHead) {
        if (state_->abortError) {
            return *state_->abortError;
        }
        if (state_->headDone) {
            return failure(ErrorCode::Conflict, "the response head was taken before");
        }
        headReady_.wait();
    }
    ResponseHead head = std::move(*state_->responseHead);
    state_->responseHead.reset();
    return head;
}

void LinkStream::abort(const Error &error)
{
    const auto self = shared_from_this();
    const auto frame = sendAbort(link_->table(), *state_, error);
    if (!frame) {
        return;
    }
    abortedHere_ = true;
    if (!link_->queue(*frame)) {
        // The frame exceeds maxFrameBytes only if its error message is extremely long.
        static_cast<void>(link_->queue(AbortFrame{state_->id, Error{error.code, "aborted"}}));
    }
    wake();
    link_->removeIfEnded(*state_);
}

void LinkStream::endHandler()
{
    if (!state_->outboundEnded) {
        abort({ErrorCode::Internal, "the handler returned before the end of the response"});
    } else {
        abort({ErrorCode::Cancelled, "the rest of the request body is not read"});
    }
    cancelFunctions_.clear();
}

void LinkStream::wake()
{
    readable_.notify();
    writable_.notify();
    headReady_.notify();
    if (isCancelled()) {
        for (auto &function : std::exchange(cancelFunctions_, {})) {
            function();
        }
    }
}

void LinkStream::wakeWriter()
{
    writable_.notify();
}

auto LinkStream::isCancelled() const -> bool
{
    return state_->abortError.has_value() && !abortedHere_;
}

void LinkStream::onCancel(std::function<void()> function)
{
    if (isCancelled()) {
        function();
        return;
    }
    cancelFunctions_.push_back(std::move(function));
}

auto LinkStream::state() const -> const StreamState &
{
    return *state_;
}

auto LinkStream::makeExchange(RequestHead head) -> Exchange
{
    const auto self = shared_from_this();
    Exchange exchange;
    exchange.head = std::move(head);
    exchange.remote = link_->remote();
    exchange.requestBody.read = [self] {
        return self->read();
    };
    exchange.respond = [self](const ResponseHead &response) {
        return self->respond(response);
    };
    exchange.responseBody.write = [self](const std::string &bytes) {
        return self->write(bytes);
    };
    exchange.responseBody.finish = [self] {
        return self->finish();
    };
    exchange.responseBody.abort = [self] {
        self->abort({ErrorCode::Closed, "the response was aborted by its sender"});
    };
    exchange.isCancelled = [self] {
        return self->isCancelled();
    };
    exchange.onCancel = [self](std::function<void()> function) {
        self->onCancel(std::move(function));
    };
    return exchange;
}

auto LinkStream::makeOutboundCall() -> OutboundCall
{
    // Aborts the stream once the caller has destroyed all functions of the call.
    const std::shared_ptr<LinkStream> self(shared_from_this().get(), [stream = shared_from_this()](LinkStream *) {
        stream->abort({ErrorCode::Cancelled, "the caller gave the request up"});
    });
    OutboundCall call;
    call.requestBody.write = [self](const std::string &bytes) {
        return self->write(bytes);
    };
    call.requestBody.finish = [self] {
        return self->finish();
    };
    call.requestBody.abort = [self] {
        self->abort({ErrorCode::Closed, "the request was aborted by its sender"});
    };
    call.awaitHead = [self] {
        return self->awaitHead();
    };
    call.responseBody.read = [self] {
        return self->read();
    };
    call.cancel = [self] {
        self->abort({ErrorCode::Cancelled, "the caller gave the request up"});
    };
    call.mayHaveBeenSent = [self] {
        return !self->state().notStarted;
    };
    return call;
}

} // namespace snipestream
