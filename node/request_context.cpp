#include "node/request_context.h"

#include "core/random.h"

namespace snipestream
{

namespace
{

constexpr size_t kHandleBytes = 16;

} // namespace

auto openContext(RequestContextTable &table, const RequestContext &context) -> std::string
{
    std::string handle = secureRandomHex(kHandleBytes);
    table.rows.emplace(handle, context);
    return handle;
}

void closeContext(RequestContextTable &table, const std::string &handle)
{
    table.rows.erase(handle);
}

auto findContext(RequestContextTable &table, std::string_view handle, TimePoint now) -> RequestContext *
{
    const auto row = table.rows.find(std::string(handle));
    if (row == table.rows.end() || row->second.deadline <= now) {
        return nullptr;
    }
    return &row->second;
}

} // namespace snipestream
