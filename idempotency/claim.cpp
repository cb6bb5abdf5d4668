#include "idempotency/claim.h"

#include <algorithm>
#include <array>

namespace snipestream
{

namespace
{
constexpr std::array<std::string_view, 4> kStateNames = {"claimed", "done", "unknown", "released"};
} // namespace

auto requestFingerprint(std::string_view method, std::string_view path, std::optional<uint64_t> bodyLength) -> uint64_t
{
    // Neither a method nor a path can contain the separator.
    std::string text(method);
    text.append(1, '\n').append(path).append(1, '\n');
    text.append(bodyLength ? std::to_string(*bodyLength) : "chunked");
    return stableHash(text);
}

auto claimRange(const ClaimKey &key) -> uint32_t
{
    return rangeOf(key.team.value + '\n' + key.idempotencyKey);
}

auto homeDomainOf(uint32_t range, const std::vector<DomainName> &domains) -> DomainName
{
    std::vector<std::string> names;
    names.reserve(domains.size());
    for (const auto &domain : domains) {
        names.push_back(domain.value);
    }
    const auto order = rendezvousOrder("claims/" + std::to_string(range), names, 1);
    return order.empty() ? DomainName() : domains[order.front()];
}

auto claimStateName(ClaimState state) -> std::string_view
{
    return kStateNames[static_cast<size_t>(state)];
}

auto parseClaimState(std::string_view name) -> std::optional<ClaimState>
{
    const auto *const found = std::find(kStateNames.begin(), kStateNames.end(), name);
    if (found == kStateNames.end()) {
        return std::nullopt;
    }
    return static_cast<ClaimState>(found - kStateNames.begin());
}

} // namespace snipestream
