#pragma once

#include "quota/holder.h"

namespace snipestream
{

/// Borrows for the waiting asks of a team from the holders that are expected to have most. Returns what those holders
/// are expected to have together; if that does not serve the first ask, nothing is borrowed and waiting is of no use.
auto borrowTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now,
                  HolderOutputs &out) -> MicroTokens;

/// Moves tokens here from holders that have their full share, since a full holder mints nothing: without this, a team
/// whose requests all come from one domain would get only that domain's share of its rate back.
void levelTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const Share &share, const HolderInputs &inputs,
                 TimePoint now, HolderOutputs &out);

/// Returns what the holder may lend to another one now. Of two holders that both have asks waiting, only the one whose
/// name is higher lends what it needs itself; otherwise both could keep fractions that serve nobody.
auto lendableTokens(const TeamLevel &team, const NodeName &self, const NodeName &borrower) -> MicroTokens;

} // namespace snipestream
