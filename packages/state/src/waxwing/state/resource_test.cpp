#include <waxwing/state/resource.h>

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;

class ResourceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResourceTest);
    CPPUNIT_TEST(allProblemsAreReportedAtOnce);
    CPPUNIT_TEST(validSpecsOfEveryKindAreAccepted);
    CPPUNIT_TEST(weightsMustBePositiveNumbers);
    CPPUNIT_TEST_SUITE_END();

    static std::string problems(const ResourceKey &key, std::string_view spec)
    {
        std::string text;
        for (const auto &error : validateResource(key, boost::json::parse(spec))) {
            text += (text.empty() ? "" : " ") + error.field;
        }
        return text;
    }

public:
    // Guards against stopping at the first problem, and against misspelt fields that are silently ignored.
    void allProblemsAreReportedAtOnce()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("name spec.group spec.acknowledge spec.limit"),
                             problems({"service", "Orders"}, R"({"acknowledge": "all", "limit": "x"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("spec.slots spec.caller_share_percent"), problems({"limits", "a"}, R"({"slots": 0, "caller_share_percent": "5"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("kind spec"), problems({"table", "a"}, "[]"));
        CPPUNIT_ASSERT_EQUAL(std::string("spec.services[1] spec.services[2]"), problems({"deployment", "a"}, R"({"services": ["x", "x", 5]})"));
    }

    // Guards against a check that rejects a specification which the documentation allows.
    void validSpecsOfEveryKindAreAccepted()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), problems({"deployment", "a"}, R"({"services": ["x"], "description": "d"})"));
        CPPUNIT_ASSERT_EQUAL(std::string(), problems({"service", "a"}, R"({"group": "g", "acknowledge": "primary", "limits": "l", "policy": "p"})"));
        CPPUNIT_ASSERT_EQUAL(std::string(), problems({"group", "a"}, R"({"databases_expected": 3, "failure_domains_spread": true})"));
        CPPUNIT_ASSERT_EQUAL(std::string(), problems({"limits", "a"}, R"({"slots": 3, "connections": 20, "queue_length": 100, "transaction_idle_ms": 5000})"));
        CPPUNIT_ASSERT_EQUAL(std::string(), problems({"policy", "a"}, R"({"reads": "primary", "queue": "fifo", "retry_budget": "none", "admission": "none",
            "concurrency": "fixed", "weights": {"batch-order": 2, "note": 0.5}, "long_share_percent": 20})"));
    }

    // Guards against a weight that makes the value density of statements zero, negative or infinite.
    void weightsMustBePositiveNumbers()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("spec.weights.a spec.weights.b spec.weights.c"),
                             problems({"policy", "p"}, R"({"weights": {"a": 0, "b": -1, "c": "2", "d": 2}})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourceTest);
