#include "node/private_headers.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace snipestream
{

namespace
{

constexpr std::string_view kPrivatePrefix = "snipestream-";

auto isPrivate(const std::pair<std::string, std::string> &field) -> bool
{
    std::string name = field.first.substr(0, kPrivatePrefix.size());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name == kPrivatePrefix;
}

} // namespace

void stripPrivateHeaders(HeaderList &headers)
{
    headers.erase(std::remove_if(headers.begin(), headers.end(), isPrivate), headers.end());
}

void prepareResponseHeaders(HeaderList &headers, const RequestId &id)
{
    stripPrivateHeaders(headers);
    headers.emplace_back("Snipestream-Request-Id", toHex(id));
}

} // namespace snipestream
