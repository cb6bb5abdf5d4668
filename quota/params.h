#pragma once

#include "core/time.h"

#include <cstdint>

namespace snipestream
{

/// Amounts of tokens are integers in millionths of a token, so that the fractions of a small burst add up exactly.
using MicroTokens = int64_t;
inline constexpr MicroTokens kOneToken = 1'000'000;

/// Parameters of the quota protocol. Tests set incorrect values to show that their oracle detects them.
struct QuotaParams {
    /// How long a grant or loan may be used, counted from the moment its receiver sent the request for it.
    Duration grantLifetime = seconds(1);
    /// How long a holder counts an unreported grant as outstanding, and how long a new holder waits before it mints.
    /// Both are the grant lifetime plus 10% for clocks that run at different rates.
    Duration outstandingLifetime = milliseconds(1100);
    Duration takeoverDelay = milliseconds(1100);
    /// Fault for tests: counts the lifetime from the receipt of the response.
    bool lifetimeFromReceipt = false;
    /// Fault for tests: adds the tokens of a duplicate response again.
    bool countDuplicates = false;
    /// Fault for tests: an entry uses the token of a refused request again although the holder has been told that it is spent.
    bool reuseSpentTokens = false;
    /// Fault for tests: uses a raised domain weight before the other domains have confirmed theirs.
    bool raiseWithoutConfirmation = false;

    /// Maximum time that a request stays in the queue of a holder while the holder borrows.
    Duration borrowQueueTimeout = milliseconds(60);
    /// A borrow request without a response is abandoned after `borrowTimeout`, and its lender is not asked again for
    /// `peerBackoff`.
    Duration borrowTimeout = milliseconds(40);
    Duration peerBackoff = seconds(1);
    /// How long another candidate of the lender's domain is asked first, where there is one.
    Duration unresponsiveBackoff = seconds(2);
    /// How long the last reported level of another holder is used for estimates. After that the holder is assumed to
    /// have its full share.
    Duration peerLevelLifetime = seconds(1);
    /// Borrowed (`returnLoanAfter`) and prefetched (`returnGrantAfter`) tokens are returned if they stay unused for
    /// this long.
    Duration returnLoanAfter = milliseconds(50);
    Duration returnGrantAfter = milliseconds(300);

    /// Minimum time between two rounds in which a holder fetches tokens in advance from holders with a full share.
    Duration minLevelingInterval = milliseconds(100);

    /// Minimum time between two requests of one entry node for one team, and that after a holder had too few tokens. The
    /// latter bounds the messages that a team causes which sends many times its rate.
    Duration minRequestInterval = milliseconds(5);
    Duration exhaustedRequestInterval = milliseconds(5);
    /// Time for which a holder asks another one for no further loan after it got less than it had asked for.
    Duration shortLoanBackoff = Duration::zero();
    /// A request without a response is abandoned after this time.
    Duration requestTimeout = milliseconds(100);
    /// Number of requests in a row without a response after which a holder counts as unreachable. More than one is needed
    /// where requests travel in datagrams, which get lost.
    int timeoutsBeforeBackoff = 1;
    /// How long an entry node sends no requests to a node that is not the holder, and to one that did not respond.
    Duration holderBackoff = milliseconds(500);
    Duration silentHolderBackoff = milliseconds(500);
    /// Maximum time that a queued token request waits for tokens to be minted.
    Duration mintTimeout = milliseconds(100);
    /// Maximum time that a queued token request waits for responses of holders.
    Duration responseTimeout = milliseconds(300);
    /// Prefetched tokens cover the demand of this period.
    Duration demandWindow = milliseconds(50);
    /// Demand, in tokens per demand window, from which on tokens are prefetched and reports are batched.
    int64_t minPrefetchDemand = 2;
    /// How long a report waits for others to be sent with it.
    Duration reportBatchDelay = milliseconds(50);
};

} // namespace snipestream
