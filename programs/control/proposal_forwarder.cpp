#include "proposal_forwarder.h"

#include <waxwing/support/identifier.h>

#include <utility>

namespace waxwing::control
{

ProposalForwarder::ProposalForwarder(LogPort local, std::string ownAddress, Send send, Duration timeout)
    : m_local(std::move(local))
    , m_ownAddress(std::move(ownAddress))
    , m_send(std::move(send))
    , m_timeout(timeout)
    , m_lastCorrelation(randomIdentifier()) // random, so that an answer to an earlier process does not match
{
}

LogPort ProposalForwarder::port()
{
    auto port = m_local;
    port.propose = [this](std::vector<std::byte> command, LogPort::Handler handler) {
        const auto leader = m_local.leaderHint();
        if (m_local.isLeader() || leader.empty() || leader == m_ownAddress) {
            m_local.propose(std::move(command), std::move(handler));
            return;
        }
        wire::ControlPacket packet;
        auto &proposal = *packet.mutable_proposal();
        proposal.set_correlation(++m_lastCorrelation);
        proposal.set_command(command.data(), command.size());
        m_pendingProposals.emplace(m_lastCorrelation, PendingProposal {std::move(handler), Clock::now() + m_timeout});
        m_send(leader, packet);
    };
    return port;
}

void ProposalForwarder::receive(const wire::ControlPacket &packet, const std::function<void(const wire::ControlPacket &answer)> &reply)
{
    if (packet.has_proposal()) {
        const auto &proposal = packet.proposal();
        const auto *data = reinterpret_cast<const std::byte *>(proposal.command().data());
        m_local.propose({data, data + proposal.command().size()}, [reply, correlation = proposal.correlation()](LogReply &&result) {
            wire::ControlPacket answer;
            auto &content = *answer.mutable_result();
            content.set_correlation(correlation);
            content.set_done(result.failure == LogFailure::None);
            content.set_unknown(result.failure == LogFailure::Unknown);
            content.set_result(result.result.data(), result.result.size());
            reply(answer);
        });
        return;
    }
    auto pending = m_pendingProposals.extract(packet.result().correlation());
    if (pending.empty()) {
        return;
    }
    LogReply result;
    if (packet.result().done()) {
        const auto *data = reinterpret_cast<const std::byte *>(packet.result().result().data());
        result.result.assign(data, data + packet.result().result().size());
    } else {
        result.failure = packet.result().unknown() ? LogFailure::Unknown : LogFailure::NotLeader;
    }
    pending.mapped().handler(std::move(result));
}

void ProposalForwarder::tick(TimePoint now)
{
    std::vector<LogPort::Handler> expired;
    std::erase_if(m_pendingProposals, [&](auto &entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        expired.push_back(std::move(entry.second.handler));
        return true;
    });
    for (const auto &handler : expired) {
        handler({LogFailure::Unknown, {}});
    }
}

} // namespace waxwing::control
