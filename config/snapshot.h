#pragma once

#include "config/fold.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// The state after folding all records below `nextOffset`, as text. Folds of the same records have equal texts.
struct Snapshot {
    uint64_t nextOffset = 0;
    std::string text;
};

/// Returns a snapshot of the state with all sections. It does not contain the times of the audit trail or the key
/// cache.
auto takeSnapshot(const ConfigFold &fold) -> Snapshot;

/// Result of adoptSnapshot().
struct SnapshotAdoption {
    /// False if the snapshot's offset is not higher than that of the fold, which is then unchanged.
    bool adopted = false;
    /// Keys that were in force before and that the snapshot lacks.
    std::vector<KeyId> withdrawnKeys;
};

/// Replaces the state by a snapshot if the snapshot's offset is higher. ErrorCode::InvalidInput: the text cannot be
/// parsed or lacks a section; the state is then unchanged. `nowMs` is the wall-clock time for the audit trail, in
/// milliseconds since the Unix epoch.
auto adoptSnapshot(ConfigFold &fold, const Snapshot &snapshot, int64_t nowMs) -> Result<SnapshotAdoption>;

/// One piece of a snapshot, small enough for one log record or one frame between nodes.
struct SnapshotPart {
    /// Id of the snapshot, the same in all its parts.
    std::string id;
    uint64_t nextOffset = 0;
    /// Index of this part, counted from 0.
    uint32_t part = 0;
    /// Number of parts of the snapshot.
    uint32_t parts = 1;
    /// stableHash() of the text of the whole snapshot.
    uint64_t hash = 0;
    /// Wall-clock time of the writer, in milliseconds since the Unix epoch.
    int64_t atMs = 0;
    std::string text;
};

/// Splits a snapshot into parts whose encoded payloads have at most kMaxRecordBytes.
auto splitSnapshot(const Snapshot &snapshot, const std::string &id, int64_t atMs) -> std::vector<SnapshotPart>;

/// Encodes a part as the payload of a log record or peer message: JSON with the type "snapshot".
auto encodeSnapshotPart(const SnapshotPart &part) -> std::string;

/// Decodes a payload. ErrorCode::InvalidInput: it is not a part of a snapshot.
auto decodeSnapshotPart(std::string_view payload) -> Result<SnapshotPart>;

/// Parts of incomplete snapshots by snapshot id. The number of snapshots is bounded; the one with the fewest parts is
/// dropped first.
struct SnapshotAssembly {
    std::map<std::string, std::map<uint32_t, SnapshotPart>> parts;
};

/// Adds a part; parts may arrive in any order. Returns the snapshot once it is complete and its hash is correct.
auto addSnapshotPart(SnapshotAssembly &assembly, SnapshotPart part) -> std::optional<Snapshot>;

/// Retention of the configuration stream on the log.
struct Retention {
    Duration age{};
    /// Number of records that the log keeps; 0 if the log does not limit them.
    uint64_t records = 0;
};

/// Returns whether a new snapshot has to be published: there is none yet, or the newest one has reached half of the
/// retention, by age or by number of records. A snapshot whose time is more than a minute in the future is treated as
/// old, so that one wrong clock cannot prevent further snapshots. A log that limits the number of records has to keep
/// at least four times as many as a snapshot has parts.
auto isSnapshotDue(const ConfigState &state, const Retention &retention, int64_t nowMs) -> bool;

} // namespace snipestream
