#pragma once

#include <map>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// The truth about every key as seen from outside: what the target ran and what callers were told. It shares no code
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
    struct Answer {
        std::string key;
        unsigned number;
        std::string body;
    };
    std::vector<Run> runs;
    std::vector<Refusal> refusals;
    std::vector<Answer> answers;

    [[nodiscard]] auto runsOf(const std::string &key) const -> size_t
    {
        size_t count = 0;
        for (const auto &run : runs) {
            count += run.key == key ? 1 : 0;
        }
        return count;
    }

    /// Returns every broken invariant, each beginning with its id.
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
        for (const auto &answer : answers) {
            if (first.count(answer.key) == 0 || first.at(answer.key).body != answer.body) {
                found.push_back("I7 attempt " + std::to_string(answer.number) + " of " + answer.key + " got an answer that is not the first one");
            }
        }
        return found;
    }
};

} // namespace snipestream::testing
