#pragma once

#include "http/message_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestream::testing
{

/// Stand-in for the platform's store: keyed topics with a single partition, in memory.
class StoreStandin
{
public:
    explicit StoreStandin(FiberRuntime &runtime);

    [[nodiscard]] auto endpoint() const -> Endpoint;
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// From now on, every call is answered with this status, as by a store that turns machines away.
    void refuseWith(std::optional<int> status);

private:
    struct Record {
        std::string key;
        std::string value;
    };

    auto answer(const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>;
    auto newest(const std::string &topic) -> ResponseMessage;
    auto changes(const std::string &topic, uint64_t from, Duration wait, CancelSignal &cancel) -> ResponseMessage;

    FiberRuntime &runtime_;
    std::map<std::string, std::vector<Record>> topics_;
    std::optional<int> refusal_;
    std::unique_ptr<MessageServer> server_;
    uint16_t port_ = 0;
};

/// How a target stand-in behaves.
struct TargetBehaviour {
    Duration work = milliseconds(5);
    /// Answers that it did not run the request, with this status.
    std::optional<int> notExecuted;
    /// Answers with the id of another request.
    bool crossesAnswers = false;
    /// Closes the connection after it ran the request.
    bool losesAnswers = false;
};

/// Stand-in for a target at the platform's protocol.
class TargetStandin
{
public:
    TargetStandin(FiberRuntime &runtime, std::string instance, const Endpoint &listen);

    [[nodiscard]] auto endpoint() const -> Endpoint;
    /// Sends an announcement to its node. Returns the status of the answer, or zero without one.
    auto announce(const Endpoint &node, const std::string &service, const std::string &state) -> int;

    TargetBehaviour behaviour;
    /// Ids of the requests that it ran, in order.
    std::vector<std::string> runs;
    /// Fields of the latest request.
    HeaderList latest;

private:
    FiberRuntime &runtime_;
    std::string instance_;
    Endpoint listen_;
    uint64_t sequence_ = 0;
    std::unique_ptr<MessageServer> server_;
};

} // namespace snipestream::testing
