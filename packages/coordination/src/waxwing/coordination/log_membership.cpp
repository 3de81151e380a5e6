#include <waxwing/coordination/log_membership.h>
#include <waxwing/support/identifier.h>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace
{

/// Addresses remembered; bounds the memory against packets with invented senders.
constexpr std::size_t addressLimit = 1024;

} // namespace

LogMembership::LogMembership(std::string address, std::vector<std::string> initialMembers)
    : m_address(std::move(address))
    , m_initialMembers(std::move(initialMembers))
    , m_nonce(randomIdentifier())
{
    std::sort(m_initialMembers.begin(), m_initialMembers.end());
}

void LogMembership::start(MemberId id)
{
    m_id = id;
    m_emptyMembers[m_address] = id;
    m_addresses[id] = m_address;
}

std::vector<LogMembership::Addressed> LogMembership::receive(const wire::RaftPacket &packet, const wire::RaftMembership &membership, bool empty)
{
    if (packet.has_join()) {
        const auto &join = packet.join();
        if (!std::binary_search(m_initialMembers.begin(), m_initialMembers.end(), join.address()) || join.id() == 0 || join.address() == m_address) {
            return {};
        }
        learnAddress(join.id(), join.address());
        if (!membership.members().empty()) {
            m_joining[join.address()] = join.id();
        }
        Addressed reply {join.address(), {}};
        reply.packet.set_from_address(m_address);
        auto &body = *reply.packet.mutable_join_reply();
        body.set_id(m_id);
        body.set_address(m_address);
        body.set_nonce(join.nonce());
        body.set_empty(empty);
        return {std::move(reply)};
    }
    const auto &reply = packet.join_reply();
    if (packet.has_join_reply() && reply.nonce() == m_nonce && reply.address() != m_address
        && std::binary_search(m_initialMembers.begin(), m_initialMembers.end(), reply.address())) {
        if (reply.empty()) {
            m_emptyMembers[reply.address()] = reply.id();
        } else {
            m_emptyMembers.erase(reply.address());
        }
    }
    return {};
}

bool LogMembership::shouldJoin(const wire::RaftMembership &membership, bool hasLeader) const
{
    const auto *self = findMember(membership, m_id);
    return membership.members().empty() || (!hasLeader && self != nullptr && !self->voter());
}

std::vector<LogMembership::Addressed> LogMembership::joinRequests() const
{
    std::vector<Addressed> requests;
    for (const auto &address : m_initialMembers) {
        if (address == m_address) {
            continue;
        }
        auto &request = requests.emplace_back(Addressed {address, {}});
        request.packet.set_from_address(m_address);
        auto &join = *request.packet.mutable_join();
        join.set_id(m_id);
        join.set_address(m_address);
        join.set_nonce(m_nonce);
    }
    return requests;
}

bool LogMembership::canBootstrap() const
{
    // One member forms the log; the others receive it. Two that did so with different identities of a third one would
    // form two logs.
    return !m_initialMembers.empty() && m_initialMembers.front() == m_address
        && std::all_of(m_initialMembers.begin(), m_initialMembers.end(), [this](const auto &address) { return m_emptyMembers.contains(address); });
}

wire::RaftMembership LogMembership::initialMembership() const
{
    wire::RaftMembership membership;
    for (const auto &address : m_initialMembers) {
        auto &member = *membership.add_members();
        member.set_id(m_emptyMembers.at(address));
        member.set_address(address);
        member.set_voter(true);
    }
    return membership;
}

std::optional<RaftMembershipChange> LogMembership::nextChange(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp,
                                                              const std::function<bool(MemberId)> &isActive)
{
    // A late request of an earlier process must not remove the member that now runs at its address.
    std::erase_if(m_joining, [&](const auto &item) {
        return std::any_of(membership.members().begin(), membership.members().end(),
                           [&](const auto &member) { return member.address() == item.first && (member.id() == item.second || isActive(member.id())); });
    });
    for (const auto &[address, id] : m_joining) {
        for (const auto &member : membership.members()) {
            // The process at this address has a new disk, so the old identity can't come back. Removing it first leaves
            // the same number of members that must answer.
            if (member.address() == address) {
                return RaftMembershipChange {RaftMembershipChange::Kind::Remove, member.id(), {}};
            }
        }
        return RaftMembershipChange {RaftMembershipChange::Kind::AddLearner, id, address};
    }
    for (const auto &member : membership.members()) {
        if (!member.voter() && isCaughtUp(member.id())) {
            return RaftMembershipChange {RaftMembershipChange::Kind::Promote, member.id(), {}};
        }
    }
    return std::nullopt;
}

void LogMembership::learnAddress(MemberId id, const std::string &address)
{
    if (!address.empty() && (m_addresses.size() < addressLimit || m_addresses.contains(id))) {
        m_addresses[id] = address;
    }
}

std::string LogMembership::address(MemberId id) const
{
    const auto found = m_addresses.find(id);
    return found == m_addresses.end() ? std::string() : found->second;
}

std::string LogMembership::addressOf(MemberId id, const wire::RaftMembership &membership) const
{
    const auto *member = findMember(membership, id);
    return member != nullptr && !member->address().empty() ? member->address() : address(id);
}

} // namespace waxwing
