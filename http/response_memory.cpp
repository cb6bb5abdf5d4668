#include "http/response_memory.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

auto addPartialResponse(ResponseMemory &memory, std::function<void()> abort) -> PartialResponseId
{
    return memory.responses.insert(memory.responses.end(), PartialResponse{0, std::move(abort)});
}

void setReceivedBytes(ResponseMemory &memory, PartialResponseId id, uint64_t bytes)
{
    memory.totalBytes += bytes - id->bytes;
    id->bytes = bytes;
    if (memory.totalBytes <= memory.maxBytes) {
        return;
    }
    const auto largest = std::max_element(memory.responses.begin(), memory.responses.end(), [](const PartialResponse &a, const PartialResponse &b) {
        return a.bytes < b.bytes;
    });
    if (const auto abort = std::exchange(largest->abort, nullptr)) {
        abort();
    }
}

void removePartialResponse(ResponseMemory &memory, PartialResponseId id)
{
    memory.totalBytes -= id->bytes;
    memory.responses.erase(id);
}

} // namespace snipestream
