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

/// Stand-in for the platform's store that keeps keyed topics with a single partition in memory.
class StoreStandin
{
public:
    explicit StoreStandin(FiberRuntime &runtime);

    [[nodiscard]] auto endpoint() const -> Endpoint;
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Makes every call fail with this status, like a store that refuses a machine; an empty value ends that.
    void failWith(std::optional<int> status);

    /// Appends that the store does not answer and carries out later.
    struct LateAppends {
        /// Start of the keys that are concerned.
        std::string keyPrefix;
        int count = 0;
        /// Time after which the append takes effect.
        Duration delay{};
    };
    void delayAppends(const LateAppends &appends);
    /// Returns the newest value of each key; removed keys are left out.
    [[nodiscard]] auto newestValues(const std::string &topic) const -> std::map<std::string, std::string>;

    /// How the store treats the calls that arrive at one of its endpoints.
    struct Access {
        /// Status of every response, if it is not empty.
        std::optional<int> failureStatus;
        /// Time before each response.
        Duration delay{};
    };
    /// Opens another endpoint, so that a node can be treated apart from others.
    auto openEndpoint() -> Endpoint;
    void setAccess(const Endpoint &endpoint, const Access &access);

private:
    struct Record {
        std::string key;
        std::string value;
    };

    auto handleRequest(const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>;
    auto handleAt(uint16_t port, const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>;
    auto newest(const std::string &topic) -> ResponseMessage;
    auto changes(const std::string &topic, uint64_t from, Duration wait, CancelSignal &cancel) -> ResponseMessage;

    FiberRuntime &runtime_;
    std::map<std::string, std::vector<Record>> topics_;
    std::optional<int> failureStatus_;
    LateAppends lateAppends_;
    /// By port.
    std::map<uint16_t, Access> access_;
    std::vector<std::unique_ptr<MessageServer>> servers_;
    uint16_t port_ = 0;
};

/// Behaviour of a target stand-in.
struct TargetBehaviour {
    /// Time for which a request runs.
    Duration runTime = milliseconds(5);
    /// Gives up at the deadline of the request, with a signed response that has status 504.
    bool honoursDeadline = false;
    /// Responds with this status and a header field that says that it did not run the request.
    std::optional<int> notExecuted;
    /// Responds with the id of another request.
    bool returnsWrongRequestId = false;
    /// Runs the request and then responds like to an earlier one that it has refused, without an id.
    bool repeatsRefusal = false;
    /// Closes the connection without a response after it ran the request.
    bool dropsResponses = false;
};

/// Stand-in for a target that uses the platform's protocol.
class TargetStandin
{
public:
    TargetStandin(FiberRuntime &runtime, std::string instanceId, const Endpoint &listen);

    [[nodiscard]] auto endpoint() const -> Endpoint;
    /// Sends an announcement to the node at the endpoint. Returns the status of the response, or zero if there is none.
    auto announce(const Endpoint &node, const std::string &service, const std::string &state) -> int;
    /// Sends an announcement with this sequence number, like one that was delayed.
    auto announceLate(const Endpoint &node, const std::string &service, const std::string &state, uint64_t sequence) -> int;
    /// Tells the node that the target leaves, without its start. Returns the status like announce().
    auto deregister(const Endpoint &node) -> int;

    /// Id in the announcements and responses.
    std::string instance;
    int slots = 8;
    /// Time for which the target says that it remains cold.
    int coldLeftMs = 0;
    /// Address in the announcements.
    Endpoint announcedEndpoint;
    /// Time of the start that the announcements contain, in milliseconds since the Unix epoch.
    int64_t startedAtMs = 1000;

    TargetBehaviour behaviour;
    /// Ids of the requests that the target ran, in order.
    std::vector<std::string> runs;
    /// Header fields of the latest request, whether it ran or not.
    HeaderList latestHeaders;

private:
    auto post(const Endpoint &node, const std::string &path, const std::string &body) -> int;

    FiberRuntime &runtime_;
    Endpoint listen_;
    uint64_t sequence_ = 0;
    std::unique_ptr<MessageServer> server_;
};

} // namespace snipestream::testing
