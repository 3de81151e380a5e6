#include "property.h"

#include <waxwing/state/memory_file_system.h>
#include <waxwing/state/posix_file_system.h>
#include <waxwing/state/record_file.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <vector>

using namespace waxwing;

namespace
{

using Records = RecordFile<MemoryFileSystem>;

constexpr auto path = "data/records";

StateResult<std::vector<std::string>> readAll(MemoryDisk &disk, Records::Tail tail = Records::Tail::MayBeTorn)
{
    MemoryFileSystem files(disk);
    std::vector<std::string> records;
    auto file = Records::open(files, path, tail, [&records](std::string_view payload) { records.emplace_back(payload); });
    if (!file) {
        return std::move(file).error();
    }
    return records;
}

void append(MemoryDisk &disk, const std::vector<std::string> &payloads)
{
    MemoryFileSystem files(disk);
    auto file = Records::open(files, path, Records::Tail::MayBeTorn, [](std::string_view) {});
    CPPUNIT_ASSERT(file.has_value());
    for (const auto &payload : payloads) {
        file.value().append(payload);
    }
    CPPUNIT_ASSERT(file.value().sync().has_value());
    CPPUNIT_ASSERT(files.syncFolder("data").has_value());
}

std::string encodeGroup(const std::vector<std::string> &payloads, std::string content)
{
    const auto synced = content.size();
    for (const auto &payload : payloads) {
        content += encodeRecord(payload, content.size(), synced);
    }
    return content;
}

std::vector<std::string> scan(const std::string &content, RecordScan &result)
{
    std::vector<std::string> records;
    result = scanRecords(content, [&records](std::string_view payload) { records.emplace_back(payload); });
    return records;
}

bool isPrefix(const std::vector<std::string> &prefix, const std::vector<std::string> &sequence)
{
    return prefix.size() <= sequence.size() && std::equal(prefix.begin(), prefix.end(), sequence.begin());
}

} // namespace

class RecordFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordFileTest);
    CPPUNIT_TEST(tornTailIsTruncated);
    CPPUNIT_TEST(damageInTheMiddleIsReported);
    CPPUNIT_TEST(damagedTailOfFinishedFileIsReported);
    CPPUNIT_TEST(failedSyncIsReportedAndFinal);
    CPPUNIT_TEST(recordIsWrittenOnceDiskHasSpaceAgain);
    CPPUNIT_TEST(operatingSystemFilesRoundTrip);
    CPPUNIT_TEST(anyRecordsRoundTrip);
    CPPUNIT_TEST(anyDamageYieldsPrefixOrReport);
    CPPUNIT_TEST(arbitraryBytesAreHarmless);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a record that was half written before a crash and then blocks the start or is read.
    void tornTailIsTruncated()
    {
        MemoryDisk disk;
        append(disk, {"one", "two"});
        const auto intact = disk.names[path]->bytes.size();
        append(disk, {"three"});
        disk.names[path]->bytes.resize(intact + 5);
        CPPUNIT_ASSERT(readAll(disk).value() == std::vector<std::string>({"one", "two"}));
        CPPUNIT_ASSERT_EQUAL(intact, disk.names[path]->bytes.size());
        append(disk, {"four"});
        CPPUNIT_ASSERT(readAll(disk).value() == std::vector<std::string>({"one", "two", "four"}));
    }

    // Guards against durable records that are dropped as if they were a torn tail.
    void damageInTheMiddleIsReported()
    {
        MemoryDisk disk;
        append(disk, {"one"});
        const auto second = disk.names[path]->bytes.size();
        append(disk, {"two"});
        append(disk, {"three"});
        disk.names[path]->bytes[second + 10] ^= 1;
        const auto result = readAll(disk);
        CPPUNIT_ASSERT(!result && result.error().code == StateErrorCode::Corrupt);
        CPPUNIT_ASSERT_EQUAL("data/records: record at offset " + std::to_string(second) + " is corrupt", result.error().message);
    }

    // Guards against a segment that lost its end, although the next segment was begun only after it was synced.
    void damagedTailOfFinishedFileIsReported()
    {
        MemoryDisk disk;
        append(disk, {"one", "two"});
        disk.names[path]->bytes.pop_back();
        CPPUNIT_ASSERT(!readAll(disk, Records::Tail::MustBeIntact));
    }

    // Guards against a write after a failed fsync, which could report success for data that the failed one lost.
    void failedSyncIsReportedAndFinal()
    {
        MemoryDisk disk;
        MemoryFileSystem files(disk);
        auto file = Records::open(files, path, Records::Tail::MayBeTorn, [](std::string_view) {});
        disk.failSync = true;
        file.value().append("a record");
        const auto result = file.value().sync();
        CPPUNIT_ASSERT(!result && result.error().code == StateErrorCode::SyncFailed);
        disk.failSync = false;
        CPPUNIT_ASSERT(!file.value().sync());
    }

    // Guards against a partial record, written before the disk was full, that stays in front of the retried one, and a record
    // that is written twice.
    void recordIsWrittenOnceDiskHasSpaceAgain()
    {
        const std::string record = "a record that is longer than the space that is left";
        MemoryDisk disk;
        MemoryFileSystem files(disk);
        auto file = Records::open(files, path, Records::Tail::MayBeTorn, [](std::string_view) {});
        file.value().append("first");
        CPPUNIT_ASSERT(file.value().sync());
        disk.bytesLeft = 30;
        file.value().append(record);
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto result = file.value().sync();
            CPPUNIT_ASSERT(!result && result.error().code == StateErrorCode::DiskFull);
        }
        disk.bytesLeft.reset();
        CPPUNIT_ASSERT(file.value().sync());
        std::vector<std::string> read;
        CPPUNIT_ASSERT(Records::open(files, path, Records::Tail::MustBeIntact, [&read](std::string_view payload) { read.emplace_back(payload); }));
        CPPUNIT_ASSERT(read == std::vector<std::string>({"first", record}));
    }

    // Guards against an implementation for the operating system that differs from the one that the tests use.
    void operatingSystemFilesRoundTrip()
    {
        char folder[] = "/tmp/waxwing-record-XXXXXX";
        CPPUNIT_ASSERT(mkdtemp(folder) != nullptr);
        const auto file = std::string(folder) + "/records";
        PosixFileSystem files;
        std::vector<std::string> read;
        const auto visit = [&read](std::string_view payload) {
            read.emplace_back(payload);
        };
        for (int i = 0; i < 3; ++i) {
            read.clear();
            auto records = RecordFile<PosixFileSystem>::open(files, file, RecordFile<PosixFileSystem>::Tail::MayBeTorn, visit);
            CPPUNIT_ASSERT(records.has_value());
            records.value().append("record");
            CPPUNIT_ASSERT(records.value().sync().has_value());
            // A torn tail that the next round truncates.
            CPPUNIT_ASSERT(files.openAppend(file).value().append("WxR1").has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.size());
        CPPUNIT_ASSERT(files.syncFolder(folder).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), files.list(folder).value().size());
        std::filesystem::remove_all(folder);
        CPPUNIT_ASSERT(files.openAppend(file).error().code == StateErrorCode::Output);
    }

    // Guards against payloads that the format can't carry, e.g. empty ones or ones that contain its magic.
    void anyRecordsRoundTrip()
    {
        checkProperty("records round trip", [](const std::vector<std::string> &first, const std::vector<std::string> &second) {
            auto all = first;
            all.insert(all.end(), second.begin(), second.end());
            RecordScan result;
            const auto content = encodeGroup(second, encodeGroup(first, {}));
            RC_ASSERT(scan(content, result) == all);
            RC_ASSERT(result.validBytes == content.size());
        });
    }

    // Guards against damage that is read as a record, or that removes durable records unreported when later ones exist.
    void anyDamageYieldsPrefixOrReport()
    {
        checkProperty("damage is found", [](const std::vector<std::string> &first, const std::vector<std::string> &second) {
            const auto durable = encodeGroup(first, {});
            auto content = encodeGroup(second, durable);
            RC_PRE(!content.empty());
            const auto place = *rc::gen::inRange<std::size_t>(0, content.size());
            const auto pattern = *rc::gen::inRange(1, 256);
            content[place] = static_cast<char>(content[place] ^ pattern);
            auto all = first;
            all.insert(all.end(), second.begin(), second.end());
            RecordScan result;
            const auto records = scan(content, result);
            RC_ASSERT(isPrefix(records, all));
            RC_ASSERT(records.size() < all.size());
            RC_ASSERT(result.corruptOffset.has_value() == (place < durable.size() && !second.empty()));
        });
    }

    // Guards against reads outside the content, and against records that were never written.
    void arbitraryBytesAreHarmless()
    {
        checkProperty("arbitrary bytes", [](const std::string &bytes, const std::vector<std::string> &payloads) {
            RecordScan result;
            RC_ASSERT(scan("WxR1" + bytes, result).empty());
            const auto content = encodeGroup(payloads, {});
            RC_ASSERT(isPrefix(scan(content + bytes, result), payloads));
            RC_ASSERT(result.validBytes == content.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordFileTest);
