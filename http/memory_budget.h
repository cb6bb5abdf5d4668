#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace snipestream
{

/// Bytes that one response or connection occupies.
struct HeldBytes {
    uint64_t bytes = 0;
    /// Ends what makes the bytes grow or wait. Empty while nothing can end it.
    std::function<void()> abort;
};

/// Memory that responses, or the connections of servers, may occupy together. The other side may send bytes without end or read
/// slowly, so the total is bounded.
struct MemoryBudget {
    /// Maximum total size in bytes.
    uint64_t maxBytes = 64ULL * 1024 * 1024;
    /// Maximum size in bytes of one holder while all others together take at most half of `maxBytes`; 0 if it may not take more then.
    uint64_t maxSingleBytes = 0;
    uint64_t totalBytes = 0;
    std::list<HeldBytes> holds;
};

/// Counts bytes in a MemoryBudget as long as it exists. That of a response travels with it.
class MemoryHold
{
public:
    explicit MemoryHold(std::shared_ptr<MemoryBudget> budget);
    ~MemoryHold();
    MemoryHold(const MemoryHold &) = delete;
    auto operator=(const MemoryHold &) -> MemoryHold & = delete;

    /// Sets how the holder can be ended, replacing what was set before. An empty function means that it cannot.
    void setAbort(std::function<void()> abort);

    /// Sets the number of bytes. If the total exceeds the limit, the largest holder that can be ended is ended, since usual ones
    /// are small compared with those that do not end.
    void setBytes(uint64_t bytes);

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::list<HeldBytes>::iterator row_;
};

} // namespace snipestream
