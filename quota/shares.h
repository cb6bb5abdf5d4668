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

/// A fraction of rate and burst.
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

/// Returns the part of an amount, rounded down.
auto shareOf(MicroTokens amount, const Share &share) -> MicroTokens;

/// Returns the share of a domain under the weights; zero if it has none.
auto domainShare(const DomainWeights &weights, const DomainName &domain) -> Share;

/// The share that a holder uses. A raise waits until every other domain has confirmed the same weights, so that the
/// shares in use never add up to more than one.
struct ShareState {
    uint64_t version = 0;
    /// In use now.
    Share used;
    /// Due under the newest weights.
    Share target;
    std::set<DomainName> awaited;
    TimePoint nextRequestAt{};
};

/// Starts with the smallest share of the history: a new holder does not know which raises had been confirmed. The
/// history holds the weights of the configuration, oldest first, and is not empty.
auto startShare(const std::vector<DomainWeights> &history, const DomainName &domain) -> ShareState;

/// Applies the newest weights of the history. A lower share is used at once.
void updateShare(ShareState &state, const std::vector<DomainWeights> &history, const DomainName &domain);

/// Notes that another domain confirmed the weights; the last confirmation puts a raise into use.
void confirmShare(ShareState &state, const DomainName &domain, uint64_t version);

} // namespace snipestream
