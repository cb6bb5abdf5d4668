#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// A rule in the oracle: its line and the fields that the validity of a change depends on.
struct OracleRule {
    std::string line;
    /// Team of a key.
    std::string team;
    /// Method and path of a route.
    std::string path;
    /// Hash of a key.
    std::string hash;
};

/// Contents of a record on the log. Records that are not changes have an empty id.
struct OracleRecord {
    std::string id;
    uint64_t base = 0;
    std::map<std::string, OracleRule> upserts;
    std::set<std::string> removals;
    bool isNumber = false;
    int number = 0;
};

/// Expected state of a node at one offset.
struct OracleState {
    std::map<std::string, OracleRule> rules;
    uint64_t revision = 0;
    /// Keys whose withdrawal was applied.
    std::set<std::string> withdrawn;
    std::vector<int> numbers;
    /// Change id -> whether its first record was applied.
    std::map<std::string, bool> verdicts;
    /// Rule id -> revision of its last change or removal; entries are never dropped.
    std::map<std::string, uint64_t> lastTouched;
};

/// Reference implementation of the fold. It shares no code with config/ and never drops any data.
class FoldOracle
{
public:
    FoldOracle();
    void append(const OracleRecord &record);
    /// Returns the expected state after all records below the offset.
    [[nodiscard]] auto at(uint64_t offset) const -> const OracleState &;
    [[nodiscard]] auto size() const -> uint64_t;
    [[nodiscard]] auto record(uint64_t offset) const -> const OracleRecord &;

private:
    std::vector<OracleRecord> records_;
    std::vector<OracleState> states_;
};

} // namespace snipestream::testing
