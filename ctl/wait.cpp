#include "ctl/wait.h"

#include "config/text.h"
#include "ctl/node_calls.h"

namespace snipestream
{

namespace
{

constexpr Duration kPollInterval = milliseconds(200);

/// Returns why the node does not have the revision yet; empty if it has.
auto reasonBehind(const CtlContext &context, const CtlOptions &options, const Endpoint &node, uint64_t revision) -> std::string
{
    const auto status = callNode(context, node, "GET", "/snipestream/v1/status", options.callTimeout);
    if (!status) {
        return toString(node) + " " + status.error().message;
    }
    const uint64_t reached = fieldNumber(status.value(), "revision");
    return reached >= revision ? std::string() : toString(node) + " at revision " + std::to_string(reached);
}

} // namespace

auto waitForRevision(const CtlContext &context, const CtlOptions &options, uint64_t revision) -> WaitOutcome
{
    const TimePoint begin = context.now();
    std::vector<Endpoint> pending = context.nodes;
    std::string lastLine;
    for (;;) {
        WaitOutcome outcome;
        std::vector<Endpoint> stillPending;
        for (const Endpoint &node : pending) {
            const std::string reason = reasonBehind(context, options, node, revision);
            if (!reason.empty()) {
                stillPending.push_back(node);
                outcome.behind.push_back(reason);
            }
        }
        // Revisions never decrease, so a node that was ready once is not polled again.
        pending = stillPending;
        outcome.ready = context.nodes.size() - pending.size();
        outcome.elapsed = context.now() - begin;
        const std::string line =
            std::to_string(outcome.ready) + " of " + std::to_string(context.nodes.size()) + " nodes have revision " + std::to_string(revision) + " in force";
        if (line != lastLine) {
            context.progress(line);
            lastLine = line;
        }
        if (pending.empty() || outcome.elapsed + kPollInterval > options.waitTimeout) {
            return outcome;
        }
        context.sleep(kPollInterval);
    }
}

} // namespace snipestream
