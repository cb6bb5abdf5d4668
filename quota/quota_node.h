#pragma once

#include "quota/entry.h"
#include "quota/holder.h"

#include <map>
#include <utility>
#include <vector>

namespace snipestream
{

/// The two sides of a node that receive responses.
enum class QuotaSide {
    /// The response grants tokens to requests that arrived at the node.
    Entry,
    /// The response lends tokens to the node as the holder of a range.
    Holder,
};

/// A quota request that this node received as holder and has not answered yet.
struct OpenQuotaRequest {
    /// Side of the sender that gets the response.
    QuotaSide side = QuotaSide::Entry;
    TimePoint receivedAt{};
};

/// Quota state of one node: as the holder of ranges, and as the entry node of requests that need tokens.
struct QuotaNode {
    NodeName self;
    QuotaParams params;
    HolderTable holder;
    HolderInputs holderInputs;
    EntryTable entry;
    EntryInputs entryInputs;
    /// By sender and number.
    std::map<std::pair<NodeName, uint64_t>, OpenQuotaRequest> openRequests;
};

/// A response and where it goes.
struct AddressedQuotaResponse {
    NodeName to;
    QuotaSide side = QuotaSide::Entry;
    QuotaResponse response;
};

/// Messages to other nodes and decisions about this node's token requests.
struct QuotaNodeOutputs {
    std::vector<std::pair<NodeName, QuotaRequest>> requests;
    std::vector<AddressedQuotaResponse> responses;
    std::vector<std::pair<NodeName, WeightsRequest>> weightsRequests;
    std::vector<std::pair<NodeName, WeightsAck>> weightsAcks;
    std::vector<TokenDecision> decisions;
};

/// Initializes the state of a node that starts now.
void startQuotaNode(QuotaNode &node, const NodeName &self, const DomainName &domain, uint64_t incarnation);

/// Passes a request of another node to the holder side; `processQuotaNode` handles it.
void receiveQuotaRequest(QuotaNode &node, const QuotaRequest &request, TimePoint now);

/// Passes a response of another node to the side that sent the request; `processQuotaNode` handles it.
void receiveQuotaResponse(QuotaNode &node, QuotaSide side, const QuotaResponse &response);

/// Runs both sides, including the messages of the node to itself. The caller runs it when a message arrives or a token
/// request is queued, and at least every 10 ms while any request is queued.
auto processQuotaNode(QuotaNode &node, TimePoint now) -> QuotaNodeOutputs;

/// Forgets requests that get no response, for example because they only carry reports.
void dropUnansweredRequests(QuotaNode &node, TimePoint now);

} // namespace snipestream
