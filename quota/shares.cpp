#include "quota/shares.h"

#include <algorithm>
#include <numeric>

namespace snipestream
{

namespace
{

/// Uses the desired share now unless it is a raise that other domains have to confirm first.
void applyDesiredShare(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain)
{
    state.unconfirmedDomains.clear();
    state.nextRequestAt = {};
    if (!(state.current < state.desired)) {
        state.current = state.desired;
        return;
    }
    for (const auto &weights : history) {
        for (const auto &[name, weight] : weights.weights) {
            if (name != domain) {
                state.unconfirmedDomains.insert(name);
            }
        }
    }
    if (state.unconfirmedDomains.empty()) {
        state.current = state.desired;
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

auto initialShareState(const std::vector<DomainWeights> &history, const DomainName &domain) -> ShareState
{
    ShareState state;
    state.version = history.back().version;
    state.desired = domainShare(history.back(), domain);
    state.current = state.desired;
    for (const auto &weights : history) {
        state.current = std::min(state.current, domainShare(weights, domain));
    }
    applyDesiredShare(state, history, domain);
    return state;
}

void updateShare(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain)
{
    if (history.back().version <= state.version) {
        return;
    }
    state.version = history.back().version;
    state.desired = domainShare(history.back(), domain);
    applyDesiredShare(state, history, domain);
}

void confirmShare(ShareState &state, const DomainName &domain, uint64_t version)
{
    // A confirmation of another version does not tell which share the other domain uses under this one.
    if (version != state.version || state.unconfirmedDomains.erase(domain) == 0 || !state.unconfirmedDomains.empty()) {
        return;
    }
    state.current = state.desired;
}

} // namespace snipestream
