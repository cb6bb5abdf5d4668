#include "quota/shares.h"

#include <algorithm>
#include <numeric>

namespace snipestream
{

namespace
{

void awaitOthers(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain)
{
    state.awaited.clear();
    state.nextRequestAt = {};
    if (!(state.used < state.target)) {
        state.used = state.target;
        return;
    }
    for (const auto &weights : history) {
        for (const auto &[name, weight] : weights.weights) {
            if (name != domain) {
                state.awaited.insert(name);
            }
        }
    }
    if (state.awaited.empty()) {
        state.used = state.target;
    }
}

} // namespace

auto shareOf(MicroTokens amount, const Share &share) -> MicroTokens
{
    __extension__ using Wide = __int128;
    return static_cast<MicroTokens>(static_cast<Wide>(amount) * share.numerator / share.denominator);
}

auto domainShare(const DomainWeights &weights, const DomainName &domain) -> Share
{
    const auto found = weights.weights.find(domain);
    if (found == weights.weights.end() || found->second <= 0) {
        return Share{};
    }
    const int64_t sum = std::accumulate(weights.weights.begin(), weights.weights.end(), int64_t{0}, [](int64_t total, const auto &w) {
        return total + std::max<int64_t>(w.second, 0);
    });
    return Share{found->second, sum};
}

auto startShare(const std::vector<DomainWeights> &history, const DomainName &domain) -> ShareState
{
    ShareState state;
    state.version = history.back().version;
    state.target = domainShare(history.back(), domain);
    state.used = state.target;
    for (const auto &weights : history) {
        state.used = std::min(state.used, domainShare(weights, domain));
    }
    awaitOthers(state, history, domain);
    return state;
}

void updateShare(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain)
{
    if (history.back().version <= state.version) {
        return;
    }
    state.version = history.back().version;
    state.target = domainShare(history.back(), domain);
    awaitOthers(state, history, domain);
}

void confirmShare(ShareState &state, const DomainName &domain, uint64_t version)
{
    // A confirmation of other weights says nothing about the other domain's share under these.
    if (version != state.version || state.awaited.erase(domain) == 0 || !state.awaited.empty()) {
        return;
    }
    state.used = state.target;
}

} // namespace snipestream
