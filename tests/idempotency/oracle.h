#pragma once

#include <map>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// Records the runs at the target and the responses and refusals that callers received for every key. It shares no code
/// with the system under test.
struct Oracle {
    struct Run {
        std::string key;
        unsigned number;
        std::string body;
    };
    struct Refusal {
        std::string key;
        unsigned number;
        std::string reason;
        bool notRun;
    };
    struct Response {
        std::string key;
        unsigned number;
        std::string body;
    };
    std::vector<Run> runs;
    std::vector<Refusal> refusals;
    std::vector<Response> responses;

    [[nodiscard]] auto runsOf(const std::string &key) const -> size_t
    {
        size_t count = 0;
        for (const auto &run : runs) {
            count += run.key == key ? 1 : 0;
        }
        return count;
    }

    /// Returns a message for every violation, each beginning with the id of the invariant: I9, a key runs at most once; I8,
    /// no attempt up to one that was refused with not-run has run; I7, every response is that of the first run.
    [[nodiscard]] auto violations() const -> std::vector<std::string>
    {
        std::vector<std::string> found;
        std::map<std::string, Run> first;
        for (const auto &run : runs) {
            if (!first.emplace(run.key, run).second) {
                found.push_back("I9 key " + run.key + " ran again as attempt " + std::to_string(run.number));
            }
        }
        for (const auto &refusal : refusals) {
            for (const auto &run : runs) {
                if (refusal.notRun && run.key == refusal.key && run.number <= refusal.number) {
                    found.push_back("I8 attempt " + std::to_string(refusal.number) + " of " + refusal.key + " was refused with not-run (" + refusal.reason
                                    + ") but attempt " + std::to_string(run.number) + " ran");
                }
            }
        }
        for (const auto &response : responses) {
            if (first.count(response.key) == 0 || first.at(response.key).body != response.body) {
                found.push_back("I7 attempt " + std::to_string(response.number) + " of " + response.key
                                + " received a response other than that of the first run");
            }
        }
        return found;
    }
};

} // namespace snipestream::testing
