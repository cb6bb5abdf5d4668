#include "bench/capacity_measure.h"

#include "config/relay.h"
#include "node/failure_detector.h"
#include "routing/directory.h"
#include "routing/node_table.h"
#include "routing/selection.h"

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

constexpr size_t kDomains = 6;
constexpr size_t kEndpointsPerService = 30;

auto domainName(size_t number) -> DomainName
{
    return DomainName("domain-" + std::to_string(number % kDomains));
}

auto nodeName(size_t number) -> NodeName
{
    return NodeName("domain-" + std::to_string(number % kDomains) + "-vm-" + std::to_string(number));
}

auto serviceName(size_t number) -> ServiceName
{
    return ServiceName("service-" + std::to_string(number));
}

auto nodeRecord(size_t number) -> NodeRecord
{
    return {nodeName(number), true, domainName(number), {"10.20.100." + std::to_string(number % 250), 7001}, 1};
}

auto endpointRecord(size_t service, size_t number, uint64_t version) -> EndpointRecord
{
    EndpointRecord record;
    record.id = {nodeName(number), TargetName("target-1")};
    record.service = serviceName(service);
    record.domain = domainName(number);
    record.slots = 100;
    record.incarnation = 1;
    record.version = version;
    return record;
}

void benchNodeTable()
{
    printHead(
        "Node table and directory choice",
        {"nodes", "fold a record", "bytes per row", "directories of a service after a change", "again", "monitored nodes (of a sixth)", "relays (of a sixth)"});
    for (const size_t count : {100U, 1000U, 10000U}) {
        const double before = allocatedBytes();
        NodeTable table;
        const double fill = microsOnce([&] {
            for (size_t i = 0; i < count; ++i) {
                applyNodeRecord(table, nodeRecord(i));
            }
        });
        const double bytes = allocatedBytes() - before;
        std::vector<NodeName> own;
        for (size_t i = 0; i < count; i += kDomains) {
            own.push_back(nodeName(i));
        }
        DirectoryCache cache;
        const double changed = microsPerRun([&] {
            ++table.revision;
            directoryNodes(table, cache, serviceName(1));
        });
        const double again = microsPerRun([&] {
            directoryNodes(table, cache, serviceName(1));
        });
        const double monitored = microsPerRun([&] {
            monitoredNodes(table, nodeName(0));
        });
        const double relays = microsPerRun([&] {
            relaysOf(domainName(0), own);
        });
        printRow({std::to_string(count), formatNumber(fill / static_cast<double>(count)), formatNumber(bytes / static_cast<double>(count)),
                  formatNumber(changed), formatNumber(again), formatNumber(monitored), formatNumber(relays)});
    }
}

auto updateOf(size_t service, size_t endpoints, uint64_t version) -> UpdateMessage
{
    UpdateMessage update;
    update.service = serviceName(service);
    update.directory = nodeName(0);
    update.directoryIncarnation = 1;
    update.fromVersion = version - 1;
    update.toVersion = version;
    for (size_t i = 0; i < endpoints; ++i) {
        update.records.push_back(endpointRecord(service, service * endpoints + i, version));
    }
    return update;
}

void benchEndpoints()
{
    printHead("Endpoint table of a calling node", {"services", "endpoints each", "apply a record", "bytes per endpoint", "tick of all", "choose one"});
    const std::pair<size_t, size_t> sizes[] = {
        {1, kEndpointsPerService}, {34, kEndpointsPerService}, {340, kEndpointsPerService}, {1, 300}, {1, 3000}, {1, 10000}};
    for (const auto &[services, endpoints] : sizes) {
        const double before = allocatedBytes();
        EndpointTable table;
        table.domain = domainName(0);
        const TimePoint now = TimePoint(seconds(1000));
        double fill = 0;
        for (size_t i = 0; i < services; ++i) {
            makeSubscription(table, serviceName(i), nodeName(0));
            const UpdateMessage update = updateOf(i, endpoints, 1);
            fill += microsOnce([&] {
                applyUpdate(table, update, now);
            });
        }
        const double bytes = allocatedBytes() - before;
        const auto total = static_cast<double>(services * endpoints);
        const double tick = microsPerRun([&] {
            tickEndpoints(table, now);
        });
        Random random(1);
        const double choose = microsPerRun([&] {
            chooseEndpoint(table, serviceName(0), {}, random, now);
        });
        printRow({std::to_string(services), std::to_string(endpoints), formatNumber(fill / total), formatNumber(bytes / total), formatNumber(tick),
                  formatNumber(choose)});
    }
}

void benchDirectory()
{
    printHead("Directory node of one service with 30 endpoints",
              {"subscribers", "announcement", "subscription without news", "the same with CBOR both ways", "tick without news", "updates after 30 renewals",
               "updates after 1 change", "tick after 1 change", "bytes per subscriber"});
    for (const size_t subscribers : {10U, 100U, 1667U, 10000U}) {
        DirectoryTable table;
        table.node = nodeName(0);
        table.incarnation = 1;
        const TimePoint now = TimePoint(seconds(1000));
        uint64_t version = 1;
        const auto renewAll = [&] {
            ++version;
            for (size_t i = 0; i < kEndpointsPerService; ++i) {
                applyAnnouncement(table, {{endpointRecord(0, i, version)}}, now);
            }
        };
        renewAll();
        const double before = allocatedBytes();
        for (size_t i = 0; i < subscribers; ++i) {
            subscribe(table, {serviceName(0), nodeName(i), 1, kEndpointsPerService}, now);
        }
        const double bytes = (allocatedBytes() - before) / static_cast<double>(subscribers);
        const double announcement = microsPerRun(renewAll) / kEndpointsPerService;
        const double subscription = microsPerRun([&] {
            subscribe(table, {serviceName(0), nodeName(3), 1, kEndpointsPerService}, now);
        });
        const SubscribeMessage message{serviceName(0), nodeName(3), 1, kEndpointsPerService};
        const auto encoded = nlohmann::json::to_cbor(toJson(message));
        const double whole = microsPerRun([&] {
            const auto decoded = subscribeMessageFromJson(nlohmann::json::from_cbor(encoded));
            nlohmann::json::to_cbor(toJson(subscribe(table, decoded.value(), now)));
        });
        renewAll();
        const size_t afterRenewals = tickDirectory(table, now).size();
        const double tick = microsPerRun([&] {
            tickDirectory(table, now);
        });
        EndpointRecord draining = endpointRecord(0, 1, ++version);
        draining.state = EndpointState::Draining;
        applyAnnouncement(table, {{draining}}, now);
        size_t afterChange = 0;
        const double changed = microsOnce([&] {
            afterChange = tickDirectory(table, now).size();
        });
        printRow({std::to_string(subscribers), formatNumber(announcement), formatNumber(subscription), formatNumber(whole), formatNumber(tick),
                  std::to_string(afterRenewals), std::to_string(afterChange), formatNumber(changed), formatNumber(bytes)});
    }
}

} // namespace

void benchRouting()
{
    benchNodeTable();
    benchEndpoints();
    benchDirectory();
}

} // namespace snipestream::bench
