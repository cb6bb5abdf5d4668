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

/// Number of nodes per failure domain that poll the log. The other nodes read from these relays.
inline constexpr size_t kRelaysPerDomain = 3;

/// Returns the relays of a failure domain, in the order of their rendezvous hash. Every node that has the same list of
/// nodes computes the same relays.
auto relaysOf(const DomainName &domain, const std::vector<NodeName> &nodesOfDomain) -> std::vector<NodeName>;

/// Number of nodes that may publish a snapshot, and the difference between the delays of two consecutive ones.
inline constexpr size_t kSnapshotPublishers = 5;
inline constexpr Duration kSnapshotPublishInterval = seconds(10);

/// Returns the delay between the time a snapshot becomes due and the time the node publishes it. The delays differ, so
/// that one node publishes and the next one takes over if it does not. Empty if the node is not a publisher.
auto snapshotPublishDelay(const NodeName &self, const std::vector<NodeName> &nodes) -> std::optional<Duration>;

/// Maximum payload bytes in a response to config.records, so that the response fits into one frame between nodes.
inline constexpr size_t kMaxRecordsResponseBytes = 100 * 1024;

/// The records that a node folded last, kept to serve config.records to other nodes.
struct RecordHistory {
    /// In the order of their offsets, without gaps.
    std::deque<LogRecord> records;
    /// Payload bytes of all records.
    size_t bytes = 0;
    /// Above this size, the oldest records are dropped.
    size_t maxBytes = size_t{1024} * 1024;
};

/// Appends a folded record. If its offset does not follow that of the last record, the older records are dropped.
void appendToHistory(RecordHistory &history, const LogRecord &record);

/// Response to config.records, which requests the records from an offset on.
struct RecordsResponse {
    std::vector<LogRecord> records;
    /// Offset of the next record that the responding node will fold. If it is above the requested offset and there are
    /// no records, the caller needs a snapshot of the state (config.state).
    uint64_t nextOffset = 0;
};

/// Returns the records from `fromOffset` on, with at most `maxBytes` of payload in total but at least one record if
/// there is any. `nextOffset` is that of the responding node.
auto recordsSince(const RecordHistory &history, uint64_t nextOffset, uint64_t fromOffset, size_t maxBytes) -> RecordsResponse;

/// What a node does after a response to config.records.
enum class CatchUpStep {
    /// The peer has nothing newer.
    Nothing,
    /// Fold CatchUp::records.
    ApplyRecords,
    /// The peer is ahead but no longer has the records, so its state has to be fetched (config.state).
    FetchState,
};

struct CatchUp {
    CatchUpStep step = CatchUpStep::Nothing;
    /// Records from the node's own offset on, without gaps.
    std::vector<LogRecord> records;
};

/// Returns the records that continue at `nextOffset` without a gap. Records below it or after a gap are left out.
auto contiguousFrom(uint64_t nextOffset, const std::vector<LogRecord> &received) -> std::vector<LogRecord>;

/// Decides what a node at `nextOffset` does with a peer's response. The offset never decreases.
auto planCatchUp(uint64_t nextOffset, const RecordsResponse &response) -> CatchUp;

/// Encodes a response as JSON text, which is sent to the peer as the field "records".
auto encodeRecordsResponse(const RecordsResponse &response) -> std::string;

/// Decodes a response. ErrorCode::InvalidInput: the message lists every invalid field.
auto decodeRecordsResponse(std::string_view text) -> Result<RecordsResponse>;

} // namespace snipestream
