#include "idempotency/claim_record.h"
#include "idempotency/packed_response.h"
#include "tests/support/section.h"

#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

auto anyResponse() -> rc::Gen<RecordedResponse>
{
    const auto text = rc::gen::arbitrary<std::string>();
    return rc::gen::construct<RecordedResponse>(rc::gen::inRange(100, 600), rc::gen::container<HeaderList>(rc::gen::pair(text, text)), text);
}

auto anyRecord() -> ClaimsRecord
{
    ClaimsRecord record;
    record.kind = *rc::gen::element(RecordKind::Fence, RecordKind::Claims, RecordKind::Handover);
    record.domain = DomainName(*rc::gen::arbitrary<std::string>());
    record.range = *rc::gen::inRange<uint32_t>(0, kRangeCount);
    record.epoch = *rc::gen::arbitrary<uint64_t>();
    record.sequence = *rc::gen::arbitrary<uint64_t>();
    record.notBefore = *rc::gen::arbitrary<uint64_t>();
    record.quarantineLeft = milliseconds(*rc::gen::inRange(0, 86'400'000));
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        ClaimEntry entry;
        entry.key = {TeamName(*rc::gen::arbitrary<std::string>()), *rc::gen::arbitrary<std::string>()};
        entry.fingerprint = *rc::gen::arbitrary<uint64_t>();
        entry.attempt = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()};
        entry.attemptNumber = *rc::gen::inRange<uint32_t>(0, 9);
        entry.state = static_cast<ClaimState>(*rc::gen::inRange(0, 4));
        entry.age = milliseconds(*rc::gen::inRange(0, 86'400'000));
        if (*rc::gen::arbitrary<bool>()) {
            entry.response = *anyResponse();
        }
        record.claims.push_back(std::move(entry));
    }
    return record;
}

} // namespace

/// Guards against records that are not read back from the log as they were written, and against crashes on damaged records.
class ClaimRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimRecordTest);
    CPPUNIT_TEST(testRoundTrip);
    CPPUNIT_TEST(testDamagedInput);
    CPPUNIT_TEST(testPackedResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("a record is read back as written and its size is within the bound", [] {
            const ClaimsRecord record = anyRecord();
            const std::string text = toJson(record);
            const auto parsed = claimsRecordFromJson(text);
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(parsed.value() == record);
            size_t bound = 400 + 2 * record.domain.value.size();
            for (const auto &entry : record.claims) {
                bound += maxEntryBytes(entry);
            }
            RC_ASSERT(text.size() <= bound);
        }));
    }

    void testDamagedInput()
    {
        CPPUNIT_ASSERT(rc::check("a damaged record is parsed as an error or another record and never throws", [] {
            std::string text = toJson(anyRecord());
            const int damageCount = *rc::gen::inRange(1, 5);
            for (int i = 0; i < damageCount; ++i) {
                const auto at = *rc::gen::inRange<size_t>(0, text.size());
                if (*rc::gen::arbitrary<bool>()) {
                    text[at] = *rc::gen::arbitrary<char>();
                } else {
                    text.erase(at, *rc::gen::inRange<size_t>(1, 20));
                }
                RC_PRE(!text.empty());
            }
            const auto parsed = claimsRecordFromJson(text);
            const bool hasValueOrMessage = parsed.has_value() || !parsed.error().message.empty();
            RC_ASSERT(hasValueOrMessage);
        }));
        for (const char *text : {"", "[]", "7", "{}", R"({"type":7})", R"({"type":"claims"})", R"({"type":"claims","kind":"claims","claims":7})"}) {
            section(text, [text] {
                CPPUNIT_ASSERT(claimsRecordFromJson(text).error().code == ErrorCode::InvalidInput);
            });
        }
        CPPUNIT_ASSERT(claimsRecordFromJson(R"({"type":"lease"})").error().code == ErrorCode::NotFound);
    }

    void testPackedResponse()
    {
        CPPUNIT_ASSERT(rc::check("unpacking a packed response returns the original", [] {
            const RecordedResponse response = *anyResponse();
            RC_ASSERT(unpackResponse(packResponse(response)) == response);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRecordTest);

} // namespace snipestream
