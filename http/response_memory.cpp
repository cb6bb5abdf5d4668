#include "http/response_memory.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

HeldResponse::HeldResponse(std::shared_ptr<ResponseMemory> memory)
    : memory_(std::move(memory))
    , row_(memory_->responses.insert(memory_->responses.end(), HeldBytes()))
{
}

HeldResponse::~HeldResponse()
{
    memory_->totalBytes -= row_->bytes;
    memory_->responses.erase(row_);
}

void HeldResponse::setAbort(std::function<void()> abort)
{
    row_->abort = std::move(abort);
}

void HeldResponse::setBytes(uint64_t bytes)
{
    memory_->totalBytes += bytes - row_->bytes;
    row_->bytes = bytes;
    if (memory_->totalBytes <= memory_->maxBytes) {
        return;
    }
    auto &responses = memory_->responses;
    const auto largest = std::max_element(responses.begin(), responses.end(), [](const HeldBytes &a, const HeldBytes &b) {
        return (a.abort ? a.bytes : 0) < (b.abort ? b.bytes : 0);
    });
    // The function may destroy the response.
    if (const auto abort = std::exchange(largest->abort, nullptr)) {
        abort();
    }
}

} // namespace snipestream
