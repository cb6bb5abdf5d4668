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

/// The folded state below `nextOffset` as text. Two folds with the same records have equal text.
struct Snapshot {
    uint64_t nextOffset = 0;
    std::string text;
};

/// Returns the state with all sections as a snapshot. Times of the audit trail and the key cache are not in it.
auto takeSnapshot(const ConfigFold &fold) -> Snapshot;

/// What became of an offered snapshot.
struct Adoption {
    /// False if the snapshot's offset is not higher than the own one; nothing changed then.
    bool adopted = false;
    /// Keys that no longer authenticate.
    std::vector<KeyId> withdrawnKeys;
};

/// Replaces the state by a snapshot if its offset is higher. ErrorCode::InvalidInput: the text
/// does not parse or lacks a section; the state is then as it was. `nowMs` is the time for the audit trail.
auto adoptSnapshot(ConfigFold &fold, const Snapshot &snapshot, int64_t nowMs) -> Result<Adoption>;

/// One piece of a snapshot, small enough for one log record or one frame between nodes.
struct SnapshotPart {
    /// Same in all parts of one snapshot.
    std::string id;
    uint64_t nextOffset = 0;
    uint32_t part = 0;
    uint32_t parts = 1;
    /// stableHash() of the whole text.
    uint64_t hash = 0;
    /// Wall-clock time at its writer, in milliseconds since the Unix epoch.
    int64_t atMs = 0;
    std::string text;
};

/// Cuts a snapshot into parts of at most kMaxRecordBytes as payload each.
auto splitSnapshot(const Snapshot &snapshot, const std::string &id, int64_t atMs) -> std::vector<SnapshotPart>;

/// Returns the part as the payload of a log record or peer message (JSON with kind "snapshot").
auto encodeSnapshotPart(const SnapshotPart &part) -> std::string;

/// Reads a payload. ErrorCode::InvalidInput: it is not a part of a snapshot.
auto decodeSnapshotPart(std::string_view payload) -> Result<SnapshotPart>;

/// Parts received so far, by snapshot id; bounded, the least advanced snapshot leaves first.
struct SnapshotAssembly {
    std::map<std::string, std::map<uint32_t, SnapshotPart>> parts;
};

/// Adds a part, in any order. Returns the snapshot once it is complete and its hash is right.
auto addSnapshotPart(SnapshotAssembly &assembly, SnapshotPart part) -> std::optional<Snapshot>;

/// How long the log keeps the configuration stream.
struct Retention {
    Duration age{};
    /// Records that are kept; 0 if the log has no such limit.
    uint64_t records = 0;
};

/// Returns whether a new snapshot has to be published: there was none yet, or the newest one is at half of the
/// retention, by age or by count. A snapshot whose time lies in the future by more than a minute counts as old, so that
/// one wrong clock cannot stop the publication. A log that keeps a number of records has to keep at least four times as
/// many as a snapshot has parts.
auto isSnapshotDue(const ConfigState &state, const Retention &retention, int64_t nowMs) -> bool;

} // namespace snipestream
