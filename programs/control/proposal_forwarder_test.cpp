#include "proposal_forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

using namespace waxwing;
using namespace waxwing::control;

class ProposalForwarderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProposalForwarderTest);
    CPPUNIT_TEST(proposalRunsAtTheLeaderAndItsResultReturns);
    CPPUNIT_TEST(lostAnswerIsUnknown);
    CPPUNIT_TEST_SUITE_END();

    bool m_leads = false;
    std::vector<wire::ControlPacket> m_sent;
    std::optional<LogReply> m_reply;

    ProposalForwarder makeForwarder()
    {
        LogPort port;
        port.propose = [](std::vector<std::byte> command, LogPort::Handler handler) {
            handler({LogFailure::None, std::move(command)});
        };
        port.isLeader = [this] {
            return m_leads;
        };
        port.leaderHint = [] {
            return std::string("leader:1");
        };
        return {port, "self:1", [this](const std::string &, const wire::ControlPacket &packet) { m_sent.push_back(packet); }, 500ms};
    }

    void propose(ProposalForwarder &forwarder)
    {
        forwarder.port().propose({std::byte(7)}, [this](LogReply &&reply) { m_reply = std::move(reply); });
    }

public:
    // Guards against intents that are refused because another process leads the intent log.
    void proposalRunsAtTheLeaderAndItsResultReturns()
    {
        auto follower = makeForwarder();
        propose(follower);
        CPPUNIT_ASSERT(!m_reply);
        auto leader = makeForwarder();
        leader.receive(m_sent.front(), [&](const wire::ControlPacket &answer) {
            follower.receive(answer, {});
            follower.receive(answer, {}); // a repeated answer must not call the handler again
        });
        CPPUNIT_ASSERT(m_reply && m_reply->failure == LogFailure::None && m_reply->result == std::vector {std::byte(7)});
        m_leads = true;
        propose(follower);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_sent.size()); // the leader does not forward
    }

    // Guards against a lost answer that is reported as a refusal although the intent may be recorded, and against a handler
    // that is never called.
    void lostAnswerIsUnknown()
    {
        auto follower = makeForwarder();
        propose(follower);
        follower.tick(Clock::now());
        CPPUNIT_ASSERT(!m_reply);
        follower.tick(Clock::now() + 500ms);
        CPPUNIT_ASSERT(m_reply && m_reply->failure == LogFailure::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProposalForwarderTest);
