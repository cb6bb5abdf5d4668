#pragma once

#include "quota/holder.h"

namespace snipestream
{

/// Adds the tokens minted since the last call, up to the domain's share of the burst less what is outstanding.
void mint(TeamLevel &team, const TeamQuota &rule, const Share &share, TimePoint now);

/// Returns the tokens that can be given to an entry node now: the own level and unexpired loans.
auto availableTokens(const TeamLevel &team, TimePoint now) -> MicroTokens;

/// Debits the amount, loans first, and records it as a grant. The lifetime is that of the loan that expires first if it
/// is shorter. The amount must be available.
auto issueGrant(HolderTable &table, const QuotaParams &params, const TeamName &name, MicroTokens amount, bool fromLoans, TimePoint now)
    -> std::pair<uint64_t, Duration>;

/// Applies a report of a receiver. Unknown and expired grants are ignored.
void applyReport(HolderTable &table, const SpentReport &report);

/// Drops expired grants and loans. Their unreported tokens are lost, since they may have been spent.
void expireGrants(HolderTable &table, TimePoint now);

/// Takes the answer to a borrow. A loan that was not expected is returned, a repeated one is ignored.
void takeLoan(HolderTable &table, const QuotaParams &params, const QuotaResponse &response, TimePoint now, HolderOutputs &out);

/// Turns unused loans into own level, as far as the domain's share has room. The lender is told that they were spent,
/// so that the tokens in existence stay within the burst.
void absorbLoans(TeamLevel &team, const TeamQuota &rule, const Share &share, TimePoint now);

/// Returns loans that nobody uses and reports what was spent of the others.
void reportLoans(HolderTable &table, const QuotaParams &params, TimePoint now, HolderOutputs &out);

} // namespace snipestream
