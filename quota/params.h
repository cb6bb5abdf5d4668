#pragma once

#include "core/time.h"

#include <cstdint>

namespace snipestream
{

/// Amounts of tokens are integers in millionths of a token, so that the fractions of a small burst add up exactly.
using MicroTokens = int64_t;
inline constexpr MicroTokens kOneToken = 1'000'000;

/// Constants of the quota protocol. Tests set faulty values to show that their oracle notices them.
struct QuotaParams {
    /// How long a grant or loan may be used after its receiver sent the ask for it.
    Duration grantLifetime = seconds(1);
    /// How long a holder counts an unreported grant as outstanding, and how long a new holder waits before it mints:
    /// the lifetime plus 10% for clocks of different rates.
    Duration outstandingFor = milliseconds(1100);
    Duration takeoverWait = milliseconds(1100);
    /// Faulty if set: the lifetime is counted from the receipt of the answer.
    bool lifetimeFromReceipt = false;
    /// Faulty if set: a duplicated answer is counted again.
    bool countDuplicates = false;
    /// Faulty if set: a raised domain weight is used before the other domains confirmed theirs.
    bool raiseAtOnce = false;

    /// How long a holder keeps an ask while it borrows.
    Duration askPatience = milliseconds(60);
    /// An unanswered borrow is given up after this time, and the lender is left alone for `peerBackoff`.
    Duration borrowTimeout = milliseconds(40);
    Duration peerBackoff = seconds(1);
    /// What is known of another holder's level counts for this long; after that the holder is asked again.
    Duration peerLevelFor = seconds(1);
    /// A borrowed or prefetched amount that nobody uses is returned after this time.
    Duration returnLoanAfter = milliseconds(50);
    Duration returnGrantAfter = milliseconds(300);

    /// Shortest time between two rounds in which a holder fetches tokens from full holders in advance.
    Duration levelingGap = milliseconds(100);

    /// Shortest time between two asks of one entry node for one team.
    Duration askGap = milliseconds(5);
    Duration askTimeout = milliseconds(100);
    /// A holder that did not answer, or is none, is not asked for this time.
    Duration holderBackoff = milliseconds(500);
    /// Longest time that a request waits for tokens to be minted.
    Duration mintPatience = milliseconds(100);
    /// Longest time that a request waits for answers.
    Duration answerPatience = milliseconds(300);
    /// Prefetched tokens cover the demand of this time.
    Duration demandWindow = milliseconds(50);
    /// From this demand on (tokens in the window) a team is large: tokens are prefetched and reports are batched.
    int64_t largeDemand = 2;
    Duration reportBatch = milliseconds(50);
};

} // namespace snipestream
