#include "bench/capacity_measure.h"

#include "config/change.h"
#include "config/relay.h"
#include "idempotency/claim_record.h"
#include "lease/messages.h"
#include "node/claim_messages.h"
#include "quota/messages.h"
#include "routing/directory.h"
#include "routing/node_table.h"

#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

const NodeName kNode("domain-0-vm-1234");
const DomainName kDomain("domain-0");
constexpr uint64_t kIncarnation = 1'790'000'000'000;

auto endpointRecord() -> EndpointRecord
{
    EndpointRecord record;
    record.id = {kNode, TargetName("target-1")};
    record.service = ServiceName("service-123");
    record.domain = kDomain;
    record.slots = 100;
    record.incarnation = kIncarnation;
    record.version = 12345;
    return record;
}

void show(const char *name, const nlohmann::json &message)
{
    printRow({name, std::to_string(cborBytes(message))});
}

void showText(const char *name, const std::string &text)
{
    printRow({name, std::to_string(text.size())});
}

} // namespace

void benchMessages()
{
    printHead("Payloads of messages between nodes (CBOR)", {"message", "bytes"});
    show("directory.announce, 1 target", toJson(AnnounceMessage{{endpointRecord()}}));
    show("directory.subscribe", toJson(SubscribeMessage{ServiceName("service-123"), kNode, kIncarnation, 12345}));
    UpdateMessage update{ServiceName("service-123"), kNode, kIncarnation, 12344, 12345, false, {}};
    show("directory.subscribe, reply without news", toJson(update));
    update.records.push_back(endpointRecord());
    show("directory.update, 1 change", toJson(update));
    update.records.assign(30, endpointRecord());
    show("directory.update, 30 endpoints", toJson(update));
    QuotaRequest quotaRequest;
    quotaRequest.team = TeamName("studio-abertawe");
    quotaRequest.from = kNode;
    quotaRequest.number = kIncarnation << 20U;
    quotaRequest.minAmount = kOneToken;
    quotaRequest.requestedAmount = 5 * kOneToken;
    quotaRequest.reports = {{kIncarnation << 20U, 4 * kOneToken, 0}};
    show("quota.ask with one report", toJson(quotaRequest));
    show("quota.grant",
         toJson(QuotaResponse{quotaRequest.team, kNode, quotaRequest.number, QuotaOutcome::Granted, quotaRequest.number, 5 * kOneToken, seconds(1), Duration{},
                              milliseconds(10), 700 * kOneToken}));
    LeasePing ping{{kDomain, 17}, 12, kNode, kIncarnation, 123'456'789'012'345, kIncarnation, 3, false, true};
    show("lease.ping", toJson(ping));
    show("lease.ping, reply", toJson(LeasePong{ping.key, 12, kIncarnation, ping.sentAt, kNode, kIncarnation, true, 3, true, UnloggedBit::Clear}));
    show("node.check, reply", nlohmann::json{{"incarnation", kIncarnation}});
    show("config.records", nlohmann::json{{"from", 123456}});
    RecordsResponse response;
    response.nextOffset = 123456;
    show("config.records, reply without news", nlohmann::json{{"records", encodeRecordsResponse(response)}, {"ageMs", 120}});
    BeginRequest begin;
    begin.key = {TeamName("studio-abertawe"), "b6f3c1d2-0f5e-4a55-9d0c-1a2b3c4d5e6f"};
    begin.fingerprint = 0x1234567890ABCDEF;
    begin.attempt = {0x1234567890ABCDEF, 0xFEDCBA0987654321};
    begin.entryNode = kNode;
    begin.timeLeft = seconds(5);
    show("claim.begin", toJson(begin));
    Outcome outcome;
    outcome.kind = OutcomeKind::Done;
    outcome.response = RecordedResponse{201, {{"Content-Type", "application/json"}}, std::string(200, 'x')};
    show("claim.end with a response of 200 bytes", toJson(EndRequest{begin.key, begin.attempt, outcome}));

    printHead("Records on the log (JSON)", {"record", "bytes"});
    showText("node", toJson(NodeRecord{kNode, true, kDomain, {"10.20.100.200", 7001}, kIncarnation}).dump());
    LeaseRecord lease;
    lease.key = {kDomain, 17};
    lease.epoch = 12;
    lease.holder = kNode;
    lease.incarnation = kIncarnation;
    lease.witnesses.assign(5, kNode);
    showText("lease", toJson(lease).dump());
    const KeyRule rule{
        KeyId("key-123456"), TeamName("studio-abertawe"), std::string(32, 'a'), std::string(64, 'b'), {"operator@studio.example", "new studio, ticket 4711"}};
    showText("change of one key", encodeChange({"change-0123456789abcdef", 12345, "operator@studio.example", {rule}, {}}));
}

} // namespace snipestream::bench
