#include "config/fold.h"
#include "config/rules_parser.h"
#include "config/snapshot.h"

#include <functional>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(int, teams, 1000, "teams, each with one key and one route");

namespace
{

using namespace snipestream;

/// Calls the function `calls` times and prints the mean time of a call in microseconds.
void measure(const std::string &what, int calls, const std::function<void(int)> &call)
{
    const TimePoint begin = BootClock::now();
    for (int i = 0; i < calls; ++i) {
        call(i);
    }
    const auto elapsed = std::chrono::duration<double, std::micro>(BootClock::now() - begin).count();
    std::cout << what << ": " << elapsed / calls << " us\n";
}

auto line(const std::string &text) -> Rule
{
    return parseRuleLine(text + " # asked by bench: load").value();
}

} // namespace

/// Measures the request path's configuration lookups and the fold of the configuration for a given number of teams.
auto main(int argc, char **argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    const int teams = absl::GetFlag(FLAGS_teams);
    ConfigFold fold;
    std::vector<std::string> headers;
    const auto append = [&fold](const std::string &payload) {
        return applyRecord(fold, LogRecord{fold.state.nextOffset, payload}, 0).verdict;
    };
    measure("fold a change with team, key and route", teams, [&](int i) {
        const std::string name = "t" + std::to_string(i);
        const NewKey key = createKey(TeamName(name), KeyId(name), RequestedBy{"bench", "load"});
        headers.push_back("Bearer " + key.bearer);
        ChangeRecord change{name, fold.state.revision, "bench", {}, {}};
        change.upserts = {line("team " + name + " rate=5/s burst=5"), key.rule,
                          line("route " + name + " GET /a/" + name + " service=s priority=high idempotent=yes open=no")};
        if (append(encodeChange(change)) != ChangeVerdict::Applied) {
            std::cerr << "a change was not applied\n";
        }
    });
    constexpr int kCalls = 200000;
    size_t found = 0;
    fold.keyCache.capacity = 0;
    measure("authenticate without cache", kCalls / 10, [&](int i) {
        found += authenticate(fold.state, fold.keyCache, headers[static_cast<size_t>(i % teams)]) ? 1 : 0;
    });
    fold.keyCache.capacity = 4096;
    measure("authenticate with cache", kCalls, [&](int i) {
        found += authenticate(fold.state, fold.keyCache, headers[static_cast<size_t>(i % teams)]) ? 1 : 0;
    });
    measure("match a route at depth 4", kCalls, [&](int i) {
        found += matchRoute(fold.state, "GET", "/a/t" + std::to_string(i % teams) + "/item/7?x=1") ? 1 : 0;
    });
    Snapshot snapshot;
    measure("take a snapshot", 10, [&](int) {
        snapshot = takeSnapshot(fold);
    });
    measure("adopt a snapshot", 10, [&](int) {
        ConfigFold fresh;
        found += adoptSnapshot(fresh, snapshot, 0) ? 1 : 0;
    });
    std::cout << "snapshot bytes: " << snapshot.text.size() << ", parts: " << splitSnapshot(snapshot, "bench", 0).size() << ", calls that succeeded: " << found
              << "\n";
    return 0;
}
