#include "admission/queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipestream
{

namespace
{

/// Fraction of `fairUsage` below which a team counts as within its share. With 1, about half of the teams would be
/// exempt from shedding by chance when all of them surge alike.
constexpr double kWithinShareFraction = 0.9;

auto decayed(const TeamUsage &usage, TimePoint now) -> double
{
    return usage.amount * std::exp(-std::chrono::duration<double>(now - usage.updatedAt).count());
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
    usage.amount = std::max(0.0, decayed(usage, now) + slotSeconds);
    usage.updatedAt = now;
}

auto weightedUsage(const UsageTable &table, const TeamName &team, TimePoint now) -> double
{
    const auto usage = table.teams.find(team);
    return usage == table.teams.end() ? 0 : decayed(usage->second, now) / weightOf(table, team);
}

auto isWithinShare(const UsageTable &table, const TeamName &team, TimePoint now) -> bool
{
    return weightedUsage(table, team, now) < kWithinShareFraction * table.fairUsage;
}

void refreshUsage(UsageTable &table, TimePoint now)
{
    double totalUsage = 0;
    double weight = 0;
    for (auto row = table.teams.begin(); row != table.teams.end();) {
        const double amount = decayed(row->second, now);
        if (amount < 1e-9) {
            row = table.teams.erase(row);
            continue;
        }
        totalUsage += amount;
        weight += weightOf(table, row->first);
        ++row;
    }
    table.fairUsage = weight > 0 ? totalUsage / weight : 0;
}

void enqueue(AdmissionQueue &queue, AdmissionId admissionId, QueuedRequest row)
{
    const auto priority = static_cast<size_t>(row.request.priority);
    queue.byPriority[priority][row.request.team].emplace(row.request.deadline, admissionId);
    ++queue.counts[priority];
    queue.rows.emplace(admissionId, std::move(row));
}

auto removeQueued(AdmissionQueue &queue, AdmissionId admissionId) -> std::optional<QueuedRequest>
{
    const auto found = queue.rows.find(admissionId);
    if (found == queue.rows.end()) {
        return std::nullopt;
    }
    QueuedRequest row = std::move(found->second);
    queue.rows.erase(found);
    const auto priority = static_cast<size_t>(row.request.priority);
    auto &teams = queue.byPriority[priority];
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
    for (const auto &teams : queue.byPriority) {
        if (teams.empty()) {
            continue;
        }
        double minUsage = std::numeric_limits<double>::infinity();
        std::pair<TimePoint, AdmissionId> best;
        for (const auto &[team, requests] : teams) {
            const double teamUsage = weightedUsage(usage, team, now);
            if (teamUsage < minUsage || (teamUsage == minUsage && *requests.begin() < best)) {
                minUsage = teamUsage;
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
        const auto &teams = queue.byPriority[priority];
        if (teams.empty()) {
            continue;
        }
        // The weighted number of queued requests is compared first, since that is what a team gains by sending more
        // than the others.
        const TeamName *heaviestTeam = nullptr;
        std::pair<double, double> maxLoad{-1, -1};
        for (const auto &[team, requests] : teams) {
            const std::pair<double, double> load{static_cast<double>(requests.size()) / weightOf(usage, team), weightedUsage(usage, team, now)};
            if (load > maxLoad) {
                maxLoad = load;
                heaviestTeam = &team;
            }
        }
        if (priority == own) {
            const auto teamRequests = teams.find(request.team);
            const size_t count = teamRequests == teams.end() ? 0 : teamRequests->second.size();
            const double load = static_cast<double>(count + 1) / weightOf(usage, request.team);
            if (*heaviestTeam == request.team || load >= maxLoad.first) {
                return std::nullopt;
            }
        }
        return teams.at(*heaviestTeam).rbegin()->second;
    }
    return std::nullopt;
}

auto countAhead(const AdmissionQueue &queue, Priority priority, const TeamName &team) -> int
{
    int ahead = 0;
    for (size_t higher = 0; higher < static_cast<size_t>(priority); ++higher) {
        ahead += queue.counts[higher];
    }
    const auto &teams = queue.byPriority[static_cast<size_t>(priority)];
    const auto teamRequests = teams.find(team);
    // Teams take turns, so each of them starts about as many requests as are ahead of this one within its own team.
    const size_t own = teamRequests == teams.end() ? 0 : teamRequests->second.size();
    const size_t turns = (own + 1) * std::max<size_t>(1, teams.size()) - 1;
    return ahead + std::min(queue.counts[static_cast<size_t>(priority)], static_cast<int>(turns));
}

} // namespace snipestream
