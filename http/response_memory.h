#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace snipestream
{

/// Bytes that a response occupies.
struct HeldBytes {
    uint64_t bytes = 0;
    /// Ends what makes the response grow or wait. Empty while nothing can end it.
    std::function<void()> abort;
};

/// Memory that responses may occupy, from their first received byte until the caller has been sent the last one. A server may
/// send bytes without end and callers may read slowly, so the total is bounded.
struct ResponseMemory {
    /// Maximum total size in bytes.
    uint64_t maxBytes = 64ULL * 1024 * 1024;
    uint64_t totalBytes = 0;
    std::list<HeldBytes> responses;
};

/// Counts the bytes of one response in a ResponseMemory as long as it exists. It travels with the response.
class HeldResponse
{
public:
    explicit HeldResponse(std::shared_ptr<ResponseMemory> memory);
    ~HeldResponse();
    HeldResponse(const HeldResponse &) = delete;
    auto operator=(const HeldResponse &) -> HeldResponse & = delete;

    /// Sets how the response can be ended, replacing what was set before. An empty function means that it cannot.
    void setAbort(std::function<void()> abort);

    /// Sets the size of the response in bytes. If the total exceeds the limit, the largest response that can be ended is
    /// ended, since usual responses are small compared with those that do not end.
    void setBytes(uint64_t bytes);

private:
    std::shared_ptr<ResponseMemory> memory_;
    std::list<HeldBytes>::iterator row_;
};

} // namespace snipestream
