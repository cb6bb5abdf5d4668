#pragma once

#include "quota/params.h"

#include "core/ids.h"

#include <map>
#include <set>
#include <vector>

namespace snipestream
{

/// The weights of the failure domains as of one revision of the configuration.
struct DomainWeights {
    uint64_t version = 0;
    std::map<DomainName, int64_t> weights;
};

/// The fraction of a rate and a burst that one domain gets. The denominator is positive.
struct Share {
    int64_t numerator = 0;
    int64_t denominator = 1;

    friend auto operator==(const Share &a, const Share &b) -> bool
    {
        return a.numerator * b.denominator == b.numerator * a.denominator;
    }
    friend auto operator<(const Share &a, const Share &b) -> bool
    {
        return a.numerator * b.denominator < b.numerator * a.denominator;
    }
};

/// Returns `share` of `amount`, rounded down.
auto shareOf(MicroTokens amount, const Share &share) -> MicroTokens;

/// Returns the share of a domain under the weights, zero if the domain has no positive weight.
auto domainShare(const DomainWeights &weights, const DomainName &domain) -> Share;

/// The share that a holder uses. A higher share is used only after every other domain has confirmed the same weights,
/// so that the shares in use never add up to more than one.
struct ShareState {
    uint64_t version = 0;
    /// The share in use.
    Share current;
    /// The share under the newest weights.
    Share desired;
    /// Domains that have not yet confirmed the newest weights; empty unless a raise is pending.
    std::set<DomainName> unconfirmedDomains;
    /// When the unconfirmed domains are next sent a request for confirmation.
    TimePoint nextRequestAt{};
};

/// Returns the state of a new holder. It starts with the minimum share of the history, because a new holder does not
/// know which raises had been confirmed. `history` holds the weights of the configuration, oldest first, and must not
/// be empty.
auto initialShareState(const std::vector<DomainWeights> &history, const DomainName &domain) -> ShareState;

/// Applies the newest weights of the history. A lower share takes effect immediately.
void updateShare(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain);

/// Records that another domain has confirmed the weights of this version. The last confirmation puts a raise into
/// effect.
void confirmShare(ShareState &state, const DomainName &domain, uint64_t version);

} // namespace snipestream
