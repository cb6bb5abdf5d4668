#include "tests/routing/routing_oracle.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

const ServiceName kService("s");
constexpr size_t kTargetCount = 4;

/// State of a simulated target process.
struct Process {
    uint64_t instance = 1;
    EndpointState state = EndpointState::Active;
};

struct Message {
    bool toDirectory = false;
    size_t receiver = 0;
    std::vector<uint8_t> bytes;
};

/// Newest record of an endpoint that a receiver got: incarnation, version and state.
using Newest = std::tuple<uint64_t, uint64_t, EndpointState>;

class Fleet
{
public:
    explicit Fleet(const RoutingApi &api)
        : api_(api)
    {
        for (size_t i = 0; i < 2; ++i) {
            homes_[i].node = NodeName("n" + std::to_string(i));
            homes_[i].domain = DomainName("d" + std::to_string(i));
            directories_[i].node = NodeName("dir" + std::to_string(i));
            directories_[i].incarnation = 1;
            directories_[i].startedAt = now_;
            callers_[i].node = NodeName("c" + std::to_string(i));
            callers_[i].domain = homes_[i].domain;
        }
    }

    auto run(const std::vector<RoutingCommand> &commands) -> std::string
    {
        for (size_t i = 0; i < kTargetCount; ++i) {
            announce(i, EndpointState::Active, 1);
        }
        for (const auto &command : commands) {
            step(command);
            checkCallers();
            checkDirectories();
            if (!violation_.empty()) {
                return violation_;
            }
        }
        runWithoutFaults();
        return violation_;
    }

private:
    void step(const RoutingCommand &command)
    {
        const auto a = static_cast<size_t>(command.a);
        const size_t target = a % kTargetCount;
        auto &process = processes_[target];
        if (command.kind < 2) {
            if (process.state != EndpointState::Left) {
                announce(target, process.state, process.instance);
            }
        } else if (command.kind == 2) {
            process.state = std::max(process.state, EndpointState::Draining);
            announce(target, process.state, process.instance);
        } else if (command.kind == 3) {
            process.state = EndpointState::Left;
            announce(target, process.state, process.instance);
        } else if (command.kind == 4) {
            process = Process{process.instance + 1, EndpointState::Active};
            announce(target, process.state, process.instance);
        } else if (command.kind == 5) {
            // A renewal sent before the drain arrives after it.
            if (process.state == EndpointState::Draining) {
                announce(target, EndpointState::Active, process.instance);
            }
        } else if (command.kind < 12 && !network_.empty()) {
            const size_t index = a % network_.size();
            const Message message = network_[index];
            if (command.kind != 6) {
                network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
            }
            if (command.kind != 7 && command.kind != 8) {
                deliver(message);
            }
        } else if (command.kind < 16) {
            advance(milliseconds(100 + command.a), true);
        } else if (command.kind == 16) {
            // A pause of the whole system: no renewals and no ticks.
            now_ += milliseconds(command.a * 5);
        } else if (command.kind < 19) {
            subscribeCaller(a % 2);
        } else if (command.kind == 19) {
            directoryOfCaller_[a % 2] = static_cast<size_t>(command.b) % 2;
            subscribeCaller(a % 2);
        } else if (command.kind == 20) {
            auto &directory = directories_[a % 2];
            DirectoryTable fresh;
            fresh.node = directory.node;
            fresh.incarnation = directory.incarnation + 1;
            fresh.startedAt = now_;
            directory = fresh;
            newestAnnounced_[a % 2].clear();
        } else if (command.kind > 20) {
            call(a % 2, static_cast<size_t>(command.b));
        }
    }

    void announce(size_t target, EndpointState state, uint64_t instance)
    {
        TargetAnnouncement announcement;
        announcement.target = TargetName("t" + std::to_string(target));
        announcement.service = kService;
        announcement.endpoint = Endpoint{"127.0.0.1", static_cast<uint16_t>(1000 + target)};
        announcement.slots = 4;
        announcement.state = state;
        announcement.instance = instance;
        auto &home = homes_[target / 2];
        api_.announce(home, announcement, static_cast<uint64_t>(now_.time_since_epoch() / milliseconds(1)), now_);
        const auto record = localRecord(home, announcement.target);
        if (record) {
            if (processes_[target].state != EndpointState::Active && record->state == EndpointState::Active) {
                violate("a target that drains or left is announced as active");
            }
            sendToDirectories({*record});
        }
    }

    void sendToDirectories(const std::vector<EndpointRecord> &records)
    {
        for (size_t directory = 0; directory < 2; ++directory) {
            network_.push_back({true, directory, nlohmann::json::to_cbor(toJson(AnnounceMessage{records}))});
        }
    }

    void subscribeCaller(size_t caller)
    {
        auto &directory = directories_[directoryOfCaller_[caller]];
        const auto request = makeSubscription(callers_[caller], kService, directory.node);
        const auto received = subscribeMessageFromJson(nlohmann::json::from_cbor(nlohmann::json::to_cbor(toJson(request))));
        const auto reply = subscribe(directory, received.value(), now_);
        network_.push_back({false, caller, nlohmann::json::to_cbor(toJson(reply))});
    }

    void deliver(const Message &message)
    {
        const auto json = nlohmann::json::from_cbor(message.bytes);
        if (message.toDirectory) {
            const auto announced = announceMessageFromJson(json).value();
            api_.applyAnnouncement(directories_[message.receiver], announced, now_);
            for (const auto &record : announced.records) {
                auto &newest = newestAnnounced_[message.receiver][record.id];
                newest = std::max(newest, Newest{record.incarnation, record.version, record.state});
            }
            return;
        }
        const auto update = updateMessageFromJson(json).value();
        for (const auto &record : update.records) {
            auto &newest = newestReceived_[message.receiver][record.id];
            newest = std::max(newest, Newest{record.incarnation, record.version, record.state});
        }
        api_.applyUpdate(callers_[message.receiver], update, now_);
    }

    void advance(Duration time, bool renew)
    {
        now_ += time;
        std::vector<TargetName> expired;
        for (auto &home : homes_) {
            const auto records = tickLocalTargets(home, now_, expired);
            if (renew && !records.empty()) {
                sendToDirectories(records);
            }
        }
        for (auto &directory : directories_) {
            for (const auto &update : tickDirectory(directory, now_)) {
                const size_t caller = update.subscriber == callers_[0].node ? 0 : 1;
                network_.push_back({false, caller, nlohmann::json::to_cbor(toJson(update.message))});
            }
        }
        for (auto &caller : callers_) {
            tickEndpoints(caller, now_);
        }
    }

    void call(size_t caller, size_t parameter)
    {
        auto &table = callers_[caller];
        std::vector<EndpointId> tried;
        for (size_t attempt = 0; attempt < 1 + parameter % 3; ++attempt) {
            const auto selection = api_.choose(table, kService, tried, random_, now_);
            if (!selection) {
                return;
            }
            if (std::find(tried.begin(), tried.end(), selection->endpoint) != tried.end()) {
                violate("an endpoint was tried twice");
            }
            tried.push_back(selection->endpoint);
            const auto newest = newestReceived_[caller].find(selection->endpoint);
            if (newest == newestReceived_[caller].end() || std::get<2>(newest->second) != EndpointState::Active) {
                violate("an endpoint that is not active was chosen");
            }
            const auto evidence = static_cast<CallEvidence>(parameter / 3 % 4);
            const int repeats = evidence == CallEvidence::Failure ? 6 : 1;
            for (int i = 0; i < repeats; ++i) {
                beginCall(table, kService, selection->endpoint);
                api_.endCall(table, kService, selection->endpoint, evidence == CallEvidence::Leaving ? CallEvidence::None : evidence, now_);
            }
        }
    }

    void checkDirectories()
    {
        for (size_t directory = 0; directory < 2; ++directory) {
            for (const auto &[id, row] : directories_[directory].services[kService].rows) {
                const Newest current{row.record.incarnation, row.record.version, row.record.state};
                if (current < newestAnnounced_[directory][id]) {
                    violate("a directory reverted to an older record");
                }
            }
        }
    }

    void checkCallers()
    {
        for (size_t caller = 0; caller < 2; ++caller) {
            const auto selection = api_.choose(callers_[caller], kService, {}, random_, now_);
            bool anyHealthy = false;
            for (const auto &row : callers_[caller].services[kService].rows) {
                const auto &record = row.record;
                const Newest current{record.incarnation, record.version, record.state};
                if (current < newestReceived_[caller][record.id]) {
                    violate("an older record replaced a newer one");
                }
                anyHealthy = anyHealthy || (record.state == EndpointState::Active && !record.suspect && !row.unlisted && !row.reportedLeaving);
            }
            if (anyHealthy && (!selection || selection->tier >= SelectionTier::Ejected)) {
                violate("ejection left no endpoint");
            }
        }
    }

    /// Runs five seconds without faults, after which every caller must have the correct state of every target.
    void runWithoutFaults()
    {
        network_.clear();
        for (int i = 0; i < 50; ++i) {
            for (size_t target = 0; target < kTargetCount && i % 10 == 0; ++target) {
                if (processes_[target].state != EndpointState::Left) {
                    announce(target, processes_[target].state, processes_[target].instance);
                }
            }
            if (i % 10 == 0) {
                subscribeCaller(0);
                subscribeCaller(1);
            }
            advance(milliseconds(100), i % 10 == 0);
            while (!network_.empty()) {
                const Message message = network_.front();
                network_.erase(network_.begin());
                deliver(message);
            }
            if (i == 30) {
                checkDrains();
            }
        }
        for (auto &caller : callers_) {
            for (size_t target = 0; target < kTargetCount; ++target) {
                const auto &rows = caller.services[kService].rows;
                const auto row = std::find_if(rows.begin(), rows.end(), [target](const EndpointRow &candidate) {
                    return candidate.record.id.target.value == "t" + std::to_string(target);
                });
                const bool usable = row != rows.end() && isUsable(*row) && !row->record.suspect && !row->unlisted;
                if (usable != (processes_[target].state == EndpointState::Active)) {
                    violate("a caller has the wrong state of a target after the faults ended");
                }
            }
        }
    }

    /// Checks that three seconds after the end of the faults no caller chooses a target that drained or left.
    void checkDrains()
    {
        for (auto &caller : callers_) {
            for (int i = 0; i < 20; ++i) {
                const auto selection = api_.choose(caller, kService, {}, random_, now_);
                if (!selection) {
                    break;
                }
                const auto target = static_cast<size_t>(selection->endpoint.target.value.back() - '0');
                if (processes_[target].state != EndpointState::Active) {
                    violate("a target is still chosen three seconds after it drained or left");
                }
            }
        }
    }

    void violate(const std::string &rule)
    {
        if (violation_.empty()) {
            violation_ = rule;
        }
    }

    const RoutingApi &api_;
    TimePoint now_{seconds(1000)};
    Random random_{11};
    std::array<Process, kTargetCount> processes_;
    std::array<LocalTargetTable, 2> homes_;
    std::array<DirectoryTable, 2> directories_;
    std::array<EndpointTable, 2> callers_;
    std::array<size_t, 2> directoryOfCaller_{0, 1};
    std::array<std::map<EndpointId, Newest>, 2> newestReceived_;
    std::array<std::map<EndpointId, Newest>, 2> newestAnnounced_;
    std::vector<Message> network_;
    std::string violation_;
};

} // namespace

auto realRouting() -> RoutingApi
{
    return RoutingApi{announceTarget, applyAnnouncement, applyUpdate, endCall, chooseEndpoint};
}

auto runRouting(const RoutingApi &api, const std::vector<RoutingCommand> &commands) -> std::string
{
    return Fleet(api).run(commands);
}

} // namespace snipestream::testing
