#pragma once

#include "quota/holder.h"

namespace snipestream
{

/// Borrows for the queued requests of a team from the holders with the highest estimated levels. Returns the tokens
/// that those holders are estimated to have in total. Sends no request if that total is not enough for the first queued
/// request, because waiting would not help.
auto borrowTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now,
                  HolderOutputs &out) -> MicroTokens;

/// Fetches tokens from holders that have their full share, since a full holder does not mint. Otherwise a team whose
/// requests all arrive in one domain would only be refilled at that domain's share of its rate.
void levelTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const Share &share, const HolderInputs &inputs,
                 TimePoint now, HolderOutputs &out);

/// Returns the tokens that this holder may lend to `borrower` now. If both have requests queued, only the holder with
/// the higher name lends what its own queue needs; otherwise both could keep amounts that are too small for any
/// request.
auto lendableTokens(const TeamBucket &team, const NodeName &self, const NodeName &borrower) -> MicroTokens;

} // namespace snipestream
