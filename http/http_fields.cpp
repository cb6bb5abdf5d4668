#include "http/http_fields.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace snipestream
{

auto isHopByHopField(std::string_view name) -> bool
{
    static constexpr std::array<std::string_view, 10> kFields = {
        "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Transfer-Encoding", "Proxy-Authorization",
    };
    return std::any_of(kFields.begin(), kFields.end(), [name](std::string_view field) {
        return boost::beast::iequals({field.data(), field.size()}, {name.data(), name.size()});
    });
}

auto copyEndToEndFields(const boost::beast::http::fields &fields) -> HeaderList
{
    HeaderList headers;
    for (const auto &field : fields) {
        const std::string name(field.name_string());
        if (!isHopByHopField(name)) {
            headers.emplace_back(name, std::string(field.value()));
        }
    }
    return headers;
}

void appendEndToEndFields(const HeaderList &headers, boost::beast::http::fields &fields)
{
    for (const auto &[name, value] : headers) {
        if (!isHopByHopField(name)) {
            fields.insert(name, value);
        }
    }
}

} // namespace snipestream
