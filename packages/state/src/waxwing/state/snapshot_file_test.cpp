#include "property.h"

#include <waxwing/state/memory_file_system.h>
#include <waxwing/state/snapshot_file.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

constexpr auto path = "data/snapshot";

} // namespace

class SnapshotFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SnapshotFileTest);
    CPPUNIT_TEST(crashAtAnyStepLeavesOldOrNewContent);
    CPPUNIT_TEST(diskErrorsAreReported);
    CPPUNIT_TEST(anyDamageIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash during a replacement that leaves neither the old nor the new content.
    void crashAtAnyStepLeavesOldOrNewContent()
    {
        for (std::uint64_t operations = 0; operations < 6; ++operations) {
            MemoryDisk disk;
            MemoryFileSystem files(disk);
            CPPUNIT_ASSERT(writeSnapshotFile(files, path, "old").has_value());
            disk.operationsUntilStop = operations;
            const bool finished = writeSnapshotFile(files, path, "new").has_value();
            disk.crash([](std::string &tail) { tail.resize(tail.size() / 2); });
            const auto read = readSnapshotFile(files, path);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(finished ? "new" : "old"), read.value().value());
        }
    }

    // Guards against a snapshot that is reported as stored although a write or fsync failed.
    void diskErrorsAreReported()
    {
        MemoryDisk disk;
        MemoryFileSystem files(disk);
        CPPUNIT_ASSERT(!readSnapshotFile(files, path).value().has_value());
        disk.bytesLeft = 20;
        CPPUNIT_ASSERT(writeSnapshotFile(files, path, "content").error().code == StateErrorCode::DiskFull);
        disk.bytesLeft.reset();
        disk.failSync = true;
        CPPUNIT_ASSERT(writeSnapshotFile(files, path, "content").error().code == StateErrorCode::SyncFailed);
        CPPUNIT_ASSERT(!files.exists(path));
    }

    // Guards against a damaged snapshot that is restored.
    void anyDamageIsRefused()
    {
        checkProperty("damage is refused", [](const std::string &payload, const std::string &bytes) {
            auto content = encodeSnapshotFile(payload);
            RC_ASSERT(decodeSnapshotFile(content) == std::string_view(payload));
            RC_ASSERT(!decodeSnapshotFile(bytes).has_value());
            RC_ASSERT(!decodeSnapshotFile(std::string_view(content).substr(0, *rc::gen::inRange<std::size_t>(0, content.size()))).has_value());
            const auto place = *rc::gen::inRange<std::size_t>(0, content.size());
            content[place] = static_cast<char>(content[place] ^ *rc::gen::inRange(1, 256));
            RC_ASSERT(!decodeSnapshotFile(content).has_value());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotFileTest);
