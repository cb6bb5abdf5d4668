#include "quota/quota_node.h"

#include <iterator>

namespace snipestream
{

namespace
{

/// Longer than a holder takes to answer, even if it has to borrow.
constexpr Duration kOpenRequestLifetime = seconds(2);
/// A node has at most a request, a loan and two responses for itself in a row; the limit only prevents an endless loop.
constexpr int kMaxRounds = 4;

void sendRequest(QuotaNode &node, const NodeName &to, const QuotaRequest &request, TimePoint now, QuotaNodeOutputs &out)
{
    if (to == node.self) {
        receiveQuotaRequest(node, request, now);
    } else {
        out.requests.emplace_back(to, request);
    }
}

/// Sends a response of the holder side to the side that sent the request.
void sendResponse(QuotaNode &node, const NodeName &to, const QuotaResponse &response, QuotaNodeOutputs &out)
{
    const auto open = node.openRequests.find({to, response.requestNumber});
    const QuotaSide side = open == node.openRequests.end() ? QuotaSide::Entry : open->second.side;
    if (open != node.openRequests.end()) {
        node.openRequests.erase(open);
    }
    if (to == node.self) {
        receiveQuotaResponse(node, side, response);
    } else {
        out.responses.push_back({to, side, response});
    }
}

void runHolder(QuotaNode &node, TimePoint now, QuotaNodeOutputs &out)
{
    auto &inputs = node.holderInputs;
    if (inputs.weights.empty() || inputs.weights.back().weights.empty()) {
        return;
    }
    const HolderOutputs holderOut = tickHolder(node.holder, node.params, now, inputs);
    inputs.requests.clear();
    inputs.responses.clear();
    inputs.weightsRequests.clear();
    inputs.weightsAcks.clear();
    for (const auto &[to, response] : holderOut.responses) {
        sendResponse(node, to, response, out);
    }
    for (const auto &[to, request] : holderOut.peerRequests) {
        sendRequest(node, to, request, now, out);
    }
    out.weightsRequests.insert(out.weightsRequests.end(), holderOut.weightsRequests.begin(), holderOut.weightsRequests.end());
    out.weightsAcks.insert(out.weightsAcks.end(), holderOut.weightsAcks.begin(), holderOut.weightsAcks.end());
}

void runEntry(QuotaNode &node, TimePoint now, QuotaNodeOutputs &out)
{
    const EntryOutputs entryOut = tickEntry(node.entry, node.params, now, node.entryInputs);
    node.entryInputs.responses.clear();
    out.decisions.insert(out.decisions.end(), entryOut.decisions.begin(), entryOut.decisions.end());
    for (const auto &[to, request] : entryOut.requests) {
        sendRequest(node, to, request, now, out);
    }
}

} // namespace

void startQuotaNode(QuotaNode &node, const NodeName &self, const DomainName &domain, uint64_t incarnation)
{
    node.self = self;
    node.holder = makeHolderTable(self, domain, incarnation);
    node.entry = makeEntryTable(self, incarnation);
}

void receiveQuotaRequest(QuotaNode &node, const QuotaRequest &request, TimePoint now)
{
    if (request.requestedAmount > 0) {
        node.openRequests[{request.from, request.number}] = {request.mayBorrow ? QuotaSide::Entry : QuotaSide::Holder, now};
    }
    node.holderInputs.requests.push_back(request);
}

void receiveQuotaResponse(QuotaNode &node, QuotaSide side, const QuotaResponse &response)
{
    auto &responses = side == QuotaSide::Entry ? node.entryInputs.responses : node.holderInputs.responses;
    responses.push_back(response);
}

auto processQuotaNode(QuotaNode &node, TimePoint now) -> QuotaNodeOutputs
{
    QuotaNodeOutputs out;
    for (int round = 0; round < kMaxRounds; ++round) {
        runEntry(node, now, out);
        runHolder(node, now, out);
        if (node.entryInputs.responses.empty() && node.holderInputs.responses.empty() && node.holderInputs.requests.empty()) {
            break;
        }
    }
    return out;
}

void dropUnansweredRequests(QuotaNode &node, TimePoint now)
{
    for (auto open = node.openRequests.begin(); open != node.openRequests.end();) {
        open = now - open->second.receivedAt > kOpenRequestLifetime ? node.openRequests.erase(open) : std::next(open);
    }
}

} // namespace snipestream
