#include "core/exchange.h"

#include <algorithm>
#include <cctype>

namespace snipestream
{

namespace
{

auto equalsIgnoringCase(std::string_view a, std::string_view b) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

auto findHeader(const HeaderList &headers, std::string_view name) -> std::optional<std::string_view>
{
    for (const auto &[field, value] : headers) {
        if (equalsIgnoringCase(field, name)) {
            return std::string_view(value);
        }
    }
    return std::nullopt;
}

void removeHeader(HeaderList &headers, std::string_view name)
{
    const auto matches = [name](const auto &field) {
        return equalsIgnoringCase(field.first, name);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), matches), headers.end());
}

} // namespace snipestream
