#include <waxwing/support/option_table.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

struct SampleOptions
{
    std::string name;
    unsigned count = 1;
    Duration wait {};
};

using Table = OptionTable<SampleOptions>;

Table::Parsed parse(std::vector<std::string> arguments)
{
    const Table table {{"name", Table::text("a name", &SampleOptions::name)},
                       {"count", Table::number("a count", &SampleOptions::count, 1U, 10U)},
                       {"wait-ms", Table::duration("a wait", &SampleOptions::wait, 1ms, 100.0)}};
    arguments.insert(arguments.begin(), "sample");
    std::vector<char *> pointers;
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return table.parse(static_cast<int>(arguments.size()), pointers.data());
}

} // namespace

class OptionTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OptionTableTest);
    CPPUNIT_TEST(valuesAreReadIntoTheirFields);
    CPPUNIT_TEST(allProblemsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a unit that is lost between the command line and the field.
    void valuesAreReadIntoTheirFields()
    {
        const auto parsed = parse({"--name", "a", "--count", "7", "--wait-ms", "1.5"});
        CPPUNIT_ASSERT(parsed.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), parsed.options.name);
        CPPUNIT_ASSERT_EQUAL(7U, parsed.options.count);
        CPPUNIT_ASSERT(parsed.options.wait == 1500us);
    }

    // Guards against values out of range, unknown options and stray arguments that are silently ignored.
    void allProblemsAreReported()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), parse({"--count", "11", "--wait-ms", "1x", "--other", "stray"}).errors.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OptionTableTest);
