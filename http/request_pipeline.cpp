#include "http/request_pipeline.h"

#include <numeric>

namespace snipestream
{

auto addRequest(RequestPipeline &pipeline, uint64_t bytes, bool isConcurrent) -> PipelinedRequestId
{
    const PipelinedRequestId id = pipeline.nextId++;
    pipeline.requests.push_back({id, bytes, isConcurrent, PipelinedState::Waiting});
    return id;
}

auto mayReadRequest(const RequestPipeline &pipeline) -> bool
{
    if (pipeline.requests.empty()) {
        return true;
    }
    const uint64_t bytes = std::accumulate(pipeline.requests.begin(), pipeline.requests.end(), uint64_t{0}, [](uint64_t sum, const auto &request) {
        return sum + request.bytes;
    });
    return pipeline.requests.back().isConcurrent && pipeline.requests.size() < pipeline.limits.maxRequests && bytes < pipeline.limits.maxBytes;
}

auto startRequests(RequestPipeline &pipeline) -> std::vector<PipelinedRequestId>
{
    std::vector<PipelinedRequestId> started;
    for (auto &request : pipeline.requests) {
        const bool isFirst = request.id == pipeline.requests.front().id;
        if (!isFirst && !request.isConcurrent) {
            break;
        }
        if (request.state == PipelinedState::Waiting) {
            request.state = PipelinedState::Running;
            started.push_back(request.id);
        }
        if (!request.isConcurrent) {
            break;
        }
    }
    return started;
}

void finishRequest(RequestPipeline &pipeline, PipelinedRequestId id, uint64_t responseBytes)
{
    for (auto &request : pipeline.requests) {
        if (request.id == id) {
            request.bytes = responseBytes;
            request.state = PipelinedState::Finished;
        }
    }
}

auto takeFinished(RequestPipeline &pipeline) -> std::optional<PipelinedRequestId>
{
    if (pipeline.requests.empty() || pipeline.requests.front().state != PipelinedState::Finished) {
        return std::nullopt;
    }
    const PipelinedRequestId id = pipeline.requests.front().id;
    pipeline.requests.pop_front();
    return id;
}

auto dropWaiting(RequestPipeline &pipeline) -> std::vector<PipelinedRequestId>
{
    // Requests start in order, so those that have not started are the last ones.
    std::vector<PipelinedRequestId> dropped;
    while (!pipeline.requests.empty() && pipeline.requests.back().state == PipelinedState::Waiting) {
        dropped.push_back(pipeline.requests.back().id);
        pipeline.requests.pop_back();
    }
    return dropped;
}

} // namespace snipestream
