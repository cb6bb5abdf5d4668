#include "tests/config/fold_oracle.h"

namespace snipestream::testing
{

namespace
{

auto isApplied(const OracleState &state, const OracleRecord &record) -> bool
{
    if (record.base > state.revision || (record.upserts.empty() && record.removals.empty())) {
        return false;
    }
    std::set<std::string> touched = record.removals;
    for (const auto &[id, rule] : record.upserts) {
        if (!touched.insert(id).second) {
            return false;
        }
    }
    for (const std::string &id : touched) {
        const auto last = state.lastTouched.find(id);
        if (last != state.lastTouched.end() && last->second > record.base) {
            return false;
        }
    }
    std::map<std::string, OracleRule> after = state.rules;
    for (const std::string &id : record.removals) {
        if (after.erase(id) == 0) {
            return false;
        }
    }
    for (const auto &[id, rule] : record.upserts) {
        const auto before = state.rules.find(id);
        if (state.withdrawn.count(id) != 0
            || (before != state.rules.end() && !rule.hash.empty() && (before->second.hash != rule.hash || before->second.team != rule.team))) {
            return false;
        }
        after[id] = rule;
    }
    std::set<std::string> paths;
    for (const auto &[id, rule] : after) {
        if (!rule.path.empty() && !paths.insert(rule.path).second) {
            return false;
        }
        if (!rule.team.empty() && after.count("team " + rule.team) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace

FoldOracle::FoldOracle()
    : states_(1)
{
}

void FoldOracle::append(const OracleRecord &record)
{
    OracleState next = states_.back();
    if (record.isNumber) {
        next.numbers.push_back(record.number);
    }
    if (!record.id.empty() && next.verdicts.count(record.id) == 0) {
        const bool applied = isApplied(next, record);
        next.verdicts[record.id] = applied;
        if (applied) {
            ++next.revision;
            for (const std::string &id : record.removals) {
                next.rules.erase(id);
                next.lastTouched[id] = next.revision;
                if (id.rfind("key ", 0) == 0) {
                    next.withdrawn.insert(id);
                }
            }
            for (const auto &[id, rule] : record.upserts) {
                next.rules[id] = rule;
                next.lastTouched[id] = next.revision;
            }
        }
    }
    records_.push_back(record);
    states_.push_back(next);
}

auto FoldOracle::at(uint64_t offset) const -> const OracleState &
{
    return states_.at(offset);
}

auto FoldOracle::size() const -> uint64_t
{
    return records_.size();
}

auto FoldOracle::record(uint64_t offset) const -> const OracleRecord &
{
    return records_.at(offset);
}

} // namespace snipestream::testing
