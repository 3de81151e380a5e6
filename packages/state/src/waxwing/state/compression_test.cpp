#include <waxwing/state/compression.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class CompressionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompressionTest);
    CPPUNIT_TEST(dataComesBackUnchanged);
    CPPUNIT_TEST(damagedOrCutDataIsRefused);
    CPPUNIT_TEST(resultAboveTheLimitIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::string makeData(std::size_t size)
    {
        std::string data;
        for (std::size_t i = 0; data.size() < size; ++i) {
            data += R"({"name":"route-)" + std::to_string(i * 7919) + R"("},)";
        }
        data.resize(size);
        return data;
    }

public:
    // Guards against a configuration that differs from the stored one after it was sent compressed.
    void dataComesBackUnchanged()
    {
        for (const std::size_t size : {0, 1, 65'535, 65'536, 400'000}) {
            const auto data = makeData(size);
            const auto result = decompress(compress(data), size);
            CPPUNIT_ASSERT(result.has_value());
            CPPUNIT_ASSERT(data == *result);
        }
        CPPUNIT_ASSERT(compress(makeData(400'000)).size() < 100'000);
    }

    // Guards against a truncated configuration that is put in force.
    void damagedOrCutDataIsRefused()
    {
        const auto data = makeData(10'000);
        const auto compressed = compress(data);
        CPPUNIT_ASSERT(!decompress("", data.size()));
        CPPUNIT_ASSERT(!decompress("not compressed", data.size()));
        CPPUNIT_ASSERT(!decompress(std::string_view(compressed).substr(0, compressed.size() - 1), data.size()));
        auto damaged = compressed;
        damaged[compressed.size() / 2] = static_cast<char>(damaged[compressed.size() / 2] ^ 1);
        CPPUNIT_ASSERT(!decompress(damaged, data.size()));
    }

    // Guards against a small message that fills the memory of its receiver.
    void resultAboveTheLimitIsRefused()
    {
        const auto compressed = compress(std::string(1'000'000, 'x'));
        CPPUNIT_ASSERT(compressed.size() < 10'000);
        CPPUNIT_ASSERT(!decompress(compressed, 999'999));
        CPPUNIT_ASSERT(decompress(compressed, 1'000'000).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);
