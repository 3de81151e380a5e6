#include <waxwing/protocol/announcement_codec.h>
#include <waxwing/protocol/caller_codec.h>
#include <waxwing/protocol/endpoint_codec.h>
#include <waxwing/support/identifier.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(allProblemsAreNamedByField);
    CPPUNIT_TEST(mustNotRepeatRequiresAKey);
    CPPUNIT_TEST(stepsOfATransactionMayRepeatItsFields);
    CPPUNIT_TEST(lateAndTornAnswersAreErrors);
    CPPUNIT_TEST(announcementSurvivesTheRoundTrip);
    CPPUNIT_TEST(statusWithFurtherFieldsIsRead);
    CPPUNIT_TEST_SUITE_END();

    static std::string answer(const std::string &correlation, const std::string &result, const std::string &checksumOf, const std::string &rows = "1")
    {
        return R"({"correlation_id":")" + correlation + R"(","outcome":"done","reason":"","term":3,"position":9,"result":)" + result + R"(,"rows":)" + rows
            + R"(,"checksum":")" + toHex(hash64(checksumOf)) + R"("})";
    }

public:
    // Guards against a misspelt field that is ignored, and against errors that don't say which field is wrong.
    void allProblemsAreNamedByField()
    {
        wire::StatementRequest request;
        const auto error
            = decodeCallerRequest(R"({"service":"s","statement":"read k","kind":"reed","deadline_ms":0,"freshness":{"mode":"any","age":1},"sesion":"x"})",
                                  CallerRequestKind::Statement, request);
        for (const auto *field : {"kind: ", "deadline_ms: ", "freshness.age: unknown field", "sesion: unknown field"}) {
            CPPUNIT_ASSERT_MESSAGE(error, error.find(field) != std::string::npos);
        }
    }

    // Guards against an at-most-once statement without a key that identifies its retries.
    void mustNotRepeatRequiresAKey()
    {
        wire::StatementRequest request;
        const auto error
            = decodeCallerRequest(R"({"service":"s","statement":"write k v","kind":"write","must_not_repeat":true})", CallerRequestKind::Statement, request);
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key: missing; must_not_repeat requires it"), error);
    }

    // Guards against clients that send the same fields with each step and have all their transactions refused.
    void stepsOfATransactionMayRepeatItsFields()
    {
        wire::StatementRequest request;
        const auto *fields = R"({"service":"s","session":"t","caller":"c","operation":"o","kind":"write","deadline_ms":5,"statement":"write k v"})";
        CPPUNIT_ASSERT_EQUAL(std::string(), decodeCallerRequest(fields, CallerRequestKind::TransactionStatement, request));
        CPPUNIT_ASSERT_EQUAL(std::string("s"), request.service());
        CPPUNIT_ASSERT_EQUAL(std::string(), decodeCallerRequest(R"({"service":"s","session":"t","kind":"write"})", CallerRequestKind::Finish, request));
        CPPUNIT_ASSERT_EQUAL(std::string("statement: unknown field"), decodeCallerRequest(fields, CallerRequestKind::Finish, request));
    }

    // Guards against handing a caller the answer to another request, or a part of an answer.
    void lateAndTornAnswersAreErrors()
    {
        CPPUNIT_ASSERT(std::holds_alternative<EndpointAnswer>(decodeEndpointAnswer(answer("a", R"("v1")", "v1"), "a")));
        CPPUNIT_ASSERT(std::holds_alternative<std::string>(decodeEndpointAnswer(answer("b", R"("v1")", "v1"), "a")));
        CPPUNIT_ASSERT(std::holds_alternative<std::string>(decodeEndpointAnswer(answer("a", R"("v")", "v1"), "a")));
        CPPUNIT_ASSERT(std::holds_alternative<std::string>(decodeEndpointAnswer(answer("a", R"(["x"])", R"(["x"])", "2"), "a")));
        const auto whole = answer("a", R"("v1")", "v1");
        CPPUNIT_ASSERT(std::holds_alternative<std::string>(decodeEndpointAnswer(whole.substr(0, whole.size() / 2), "a")));
    }

    // Guards against fields of an announcement that get lost on the way to control.
    void announcementSurvivesTheRoundTrip()
    {
        wire::Announcement sent;
        sent.set_address("127.0.0.1:9001");
        sent.set_database("orders-1");
        sent.set_group("orders");
        sent.set_primary(true);
        sent.set_term(3);
        sent.set_term_start(96);
        sent.set_position(120);
        sent.set_slots(3);
        sent.set_connections(20);
        sent.set_failure_domain("fd1");
        sent.set_leaving(true);
        wire::Announcement received;
        CPPUNIT_ASSERT_EQUAL(std::string(), decodeAnnouncement(encodeAnnouncement(sent), received));
        CPPUNIT_ASSERT_EQUAL(sent.SerializeAsString(), received.SerializeAsString());
    }

    // Guards against a proxy that rejects the status of every endpoint because it holds a field unknown to the proxy.
    void statusWithFurtherFieldsIsRead()
    {
        const auto status = decodeEndpointStatus(
            R"({"database": "a", "group": "g", "role": "primary", "term": 2, "term_start": 1, "position": 7, "slots": 3, "connections": 20, "running": 0, "fence": 2})");
        CPPUNIT_ASSERT(std::holds_alternative<EndpointStatus>(status));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), static_cast<std::uint64_t>(std::get<EndpointStatus>(status).position));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
