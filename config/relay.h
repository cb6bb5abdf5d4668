#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "platform/log_client.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Nodes per failure domain that poll the log.
inline constexpr size_t kRelaysPerDomain = 3;

/// Returns the relays of a failure domain among its nodes, the best first; the same on every node that knows the same
/// nodes.
auto relaysOf(const DomainName &domain, const std::vector<NodeName> &nodesOfDomain) -> std::vector<NodeName>;

/// Nodes that may publish a snapshot, and the time between their turns.
inline constexpr size_t kSnapshotPublishers = 5;
inline constexpr Duration kSnapshotPublishInterval = seconds(10);

/// Returns how long a node waits after a snapshot became due before it publishes one, so that one node publishes and
/// the next one takes over if it does not; empty if the node is not among the publishers.
auto snapshotPublishDelay(const NodeName &self, const std::vector<NodeName> &nodes) -> std::optional<Duration>;

/// Payload bytes per answer to config.records, so that the answer fits one frame between nodes.
inline constexpr size_t kMaxRecordsResponseBytes = 100 * 1024;

/// The last records that a node folded, for nodes that ask for them.
struct RecordHistory {
    /// Without gaps.
    std::deque<LogRecord> records;
    size_t bytes = 0;
    /// The oldest records leave above this.
    size_t maxBytes = size_t{1024} * 1024;
};

/// Adds a folded record. A record that does not follow the last one restarts the history.
void appendToHistory(RecordHistory &history, const LogRecord &record);

/// Answer to "records since offset" (config.records).
struct RecordsResponse {
    std::vector<LogRecord> records;
    /// Offset up to which the answering node has folded. If it is above the asked offset and there are no records, the
    /// asking node needs the state (config.state).
    uint64_t nextOffset = 0;
};

/// Returns the records from `fromOffset` on, at most `maxBytes` of payload but at least one if there is any.
auto recordsSince(const RecordHistory &history, uint64_t nextOffset, uint64_t fromOffset, size_t maxBytes) -> RecordsResponse;

/// What to do with an answer.
enum class CatchUpStep {
    /// The peer knows nothing newer.
    Nothing,
    /// Fold `records`.
    ApplyRecords,
    /// The peer is ahead but no longer has the records; ask it for its state.
    FetchState,
};

struct CatchUp {
    CatchUpStep step = CatchUpStep::Nothing;
    /// Records from the own offset on, without gaps.
    std::vector<LogRecord> records;
};

/// Returns the records that continue at `nextOffset` without gap; older ones are dropped, as are all after a gap.
auto contiguousFrom(uint64_t nextOffset, const std::vector<LogRecord> &offered) -> std::vector<LogRecord>;

/// Decides what a node at `nextOffset` does with a peer's answer; never goes backwards.
auto planCatchUp(uint64_t nextOffset, const RecordsResponse &answer) -> CatchUp;

/// Encodes an answer for the peer link (JSON text).
auto encodeRecordsResponse(const RecordsResponse &answer) -> std::string;

/// Reads an answer. ErrorCode::InvalidInput: it does not parse.
auto decodeRecordsResponse(std::string_view text) -> Result<RecordsResponse>;

} // namespace snipestream
