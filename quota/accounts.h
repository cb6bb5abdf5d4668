#pragma once

#include "quota/holder.h"

namespace snipestream
{

/// Adds the tokens minted since the last call. The level is bounded by the domain's share of the burst less the
/// outstanding tokens.
void mint(TeamBucket &team, const TeamQuota &rule, const Share &share, TimePoint now);

/// Notes how far the bucket is below its capacity now. `span` is the time for which grants are kept.
void observeDeficit(TeamBucket &team, MicroTokens capacity, Duration span, TimePoint now);

/// Returns the tokens that can be granted to an entry node now: the own level plus the unexpired loans.
auto availableTokens(const TeamBucket &team, TimePoint now) -> MicroTokens;

/// Debits `amount`, from the loans first if `fromLoans` is set, and records it as a grant. Returns the number and the
/// lifetime of the grant; the lifetime is shortened to that of the loan that expires first. The amount must be
/// available.
auto issueGrant(HolderTable &table, const QuotaParams &params, const TeamName &name, MicroTokens amount, bool fromLoans, TimePoint now)
    -> std::pair<uint64_t, Duration>;

/// Applies a report from the receiver of a grant. Unknown and expired grants are ignored. Refunded tokens go into the own level as
/// far as the bucket has had room for them ever since they were spent. If they had not been spent, the bucket would have been
/// full otherwise and minted fewer tokens.
void applyReport(HolderTable &table, const SpentReport &report);

/// Removes expired grants and loans. Their unreported tokens count as spent, since the receiver may have spent them.
void expireGrants(HolderTable &table, TimePoint now);

/// Applies the response to a borrow request. A loan that was not expected is returned, a duplicate is ignored.
void applyBorrowResponse(HolderTable &table, const QuotaParams &params, const QuotaResponse &response, TimePoint now, HolderOutputs &out);

/// Moves unused loans into the own level, as far as the domain's share has free capacity. They are reported to the
/// lender as spent, so that the tokens in existence stay within the burst.
void absorbLoans(TeamBucket &team, const TeamQuota &rule, const Share &share, TimePoint now);

/// Returns unused and expired loans, and reports what was spent of the others.
void reportLoans(HolderTable &table, const QuotaParams &params, TimePoint now, HolderOutputs &out);

} // namespace snipestream
