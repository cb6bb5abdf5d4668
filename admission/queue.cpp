#include "admission/queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipestream
{

namespace
{

/// Part of the fair use below which a team counts as within its share. With 1, about half of the teams would be exempt
/// from the shedding level by chance when all of them surge alike.
constexpr double kWithinShare = 0.9;

auto decayed(const TeamUsage &usage, TimePoint now) -> double
{
    return usage.served * std::exp(-std::chrono::duration<double>(now - usage.servedAt).count());
}

auto weightOf(const UsageTable &table, const TeamName &team) -> double
{
    const auto weight = table.weights.find(team);
    return weight == table.weights.end() ? 1.0 : std::max(weight->second, 1e-9);
}

} // namespace

void chargeTeam(UsageTable &table, const TeamName &team, double slotSeconds, TimePoint now)
{
    auto &usage = table.teams[team];
    usage.served = std::max(0.0, decayed(usage, now) + slotSeconds);
    usage.servedAt = now;
}

auto weightedUse(const UsageTable &table, const TeamName &team, TimePoint now) -> double
{
    const auto usage = table.teams.find(team);
    return usage == table.teams.end() ? 0 : decayed(usage->second, now) / weightOf(table, team);
}

auto isWithinShare(const UsageTable &table, const TeamName &team, TimePoint now) -> bool
{
    return weightedUse(table, team, now) < kWithinShare * table.fairUse;
}

void refreshUsage(UsageTable &table, TimePoint now)
{
    double use = 0;
    double weight = 0;
    for (auto row = table.teams.begin(); row != table.teams.end();) {
        const double served = decayed(row->second, now);
        if (served < 1e-9) {
            row = table.teams.erase(row);
            continue;
        }
        use += served;
        weight += weightOf(table, row->first);
        ++row;
    }
    table.fairUse = weight > 0 ? use / weight : 0;
}

void enqueue(AdmissionQueue &queue, AdmissionId admissionId, WaitingRequest row)
{
    const auto priority = static_cast<size_t>(row.request.priority);
    queue.waiting[priority][row.request.team].emplace(row.request.deadline, admissionId);
    ++queue.counts[priority];
    queue.rows.emplace(admissionId, std::move(row));
}

auto removeWaiting(AdmissionQueue &queue, AdmissionId admissionId) -> std::optional<WaitingRequest>
{
    const auto found = queue.rows.find(admissionId);
    if (found == queue.rows.end()) {
        return std::nullopt;
    }
    WaitingRequest row = std::move(found->second);
    queue.rows.erase(found);
    const auto priority = static_cast<size_t>(row.request.priority);
    auto &teams = queue.waiting[priority];
    const auto team = teams.find(row.request.team);
    team->second.erase({row.request.deadline, admissionId});
    if (team->second.empty()) {
        teams.erase(team);
    }
    --queue.counts[priority];
    return row;
}

auto nextToStart(const AdmissionQueue &queue, const UsageTable &usage, TimePoint now) -> std::optional<AdmissionId>
{
    for (const auto &teams : queue.waiting) {
        if (teams.empty()) {
            continue;
        }
        double least = std::numeric_limits<double>::infinity();
        std::pair<TimePoint, AdmissionId> best;
        for (const auto &[team, requests] : teams) {
            const double use = weightedUse(usage, team, now);
            if (use < least || (use == least && *requests.begin() < best)) {
                least = use;
                best = *requests.begin();
            }
        }
        return best.second;
    }
    return std::nullopt;
}

auto requestToDisplace(const AdmissionQueue &queue, const UsageTable &usage, const AdmissionRequest &request, TimePoint now) -> std::optional<AdmissionId>
{
    const auto own = static_cast<size_t>(request.priority);
    for (size_t priority = kPriorityCount; priority-- > own;) {
        const auto &teams = queue.waiting[priority];
        if (teams.empty()) {
            continue;
        }
        // Weighted count of waiting requests first: it is what a team gains by sending more than the others.
        const TeamName *greatest = nullptr;
        std::pair<double, double> most{-1, -1};
        for (const auto &[team, requests] : teams) {
            const std::pair<double, double> load{static_cast<double>(requests.size()) / weightOf(usage, team), weightedUse(usage, team, now)};
            if (load > most) {
                most = load;
                greatest = &team;
            }
        }
        if (priority == own) {
            const auto mine = teams.find(request.team);
            const size_t count = mine == teams.end() ? 0 : mine->second.size();
            const double load = static_cast<double>(count + 1) / weightOf(usage, request.team);
            if (*greatest == request.team || load >= most.first) {
                return std::nullopt;
            }
        }
        return teams.at(*greatest).rbegin()->second;
    }
    return std::nullopt;
}

auto countAhead(const AdmissionQueue &queue, Priority priority, const TeamName &team) -> int
{
    int ahead = 0;
    for (size_t higher = 0; higher < static_cast<size_t>(priority); ++higher) {
        ahead += queue.counts[higher];
    }
    const auto &teams = queue.waiting[static_cast<size_t>(priority)];
    const auto mine = teams.find(team);
    // Teams take turns, so each of them starts about as many requests as wait before this one in its own team.
    const size_t own = mine == teams.end() ? 0 : mine->second.size();
    const size_t turns = (own + 1) * std::max<size_t>(1, teams.size()) - 1;
    return ahead + std::min(queue.counts[static_cast<size_t>(priority)], static_cast<int>(turns));
}

} // namespace snipestream
