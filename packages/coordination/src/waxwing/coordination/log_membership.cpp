#include <waxwing/coordination/log_membership.h>
#include <waxwing/support/identifier.h>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace
{

/// Bounds the memory that packets with forged senders can use.
constexpr std::size_t maxRememberedAddresses = 1024;

/// Fewer voters could not replace a voter whose disk is lost.
constexpr std::size_t minVoters = 3;

} // namespace

LogMembership::LogMembership(std::string address, std::vector<std::string> initialMembers)
    : LogMembership(std::move(address), std::move(initialMembers), Options())
{
}

LogMembership::LogMembership(std::string address, std::vector<std::string> initialMembers, const Options &options)
    : m_address(std::move(address))
    , m_options(options)
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

bool LogMembership::isInitialAddress(const std::string &address) const
{
    return std::binary_search(m_initialMembers.begin(), m_initialMembers.end(), address);
}

std::vector<LogMembership::AddressedPacket> LogMembership::receive(const wire::RaftPacket &packet, const wire::RaftMembership &membership, bool empty,
                                                                   TimePoint now)
{
    if (!packet.has_join()) {
        if (packet.has_join_reply()) {
            handleJoinReply(packet.join_reply());
        } else if (packet.has_leave() && findMember(membership, packet.leave().id()) != nullptr) {
            m_leavingAt[packet.leave().id()] = now;
        }
        return {};
    }
    const auto &join = packet.join();
    if (join.id() == 0 || join.address().empty() || join.address() == m_address || (!m_options.open && !isInitialAddress(join.address()))) {
        return {};
    }
    handleJoin(join, membership, now);
    AddressedPacket reply {join.address(), {}};
    reply.packet.set_from_address(m_address);
    auto &body = *reply.packet.mutable_join_reply();
    body.set_id(m_id);
    body.set_address(m_address);
    body.set_nonce(join.nonce());
    body.set_empty(empty);
    if (m_options.open) {
        for (const auto &member : membership.members()) {
            body.add_contacts(member.address());
        }
    }
    return {std::move(reply)};
}

void LogMembership::handleJoin(const wire::RaftJoin &join, const wire::RaftMembership &membership, TimePoint now)
{
    learnAddress(join.id(), join.address());
    if (!membership.members().empty() && (m_receivedJoins.size() < maxRememberedAddresses || m_receivedJoins.contains(join.address()))) {
        m_receivedJoins[join.address()] = {join.id(), now};
    }
}

void LogMembership::handleJoinReply(const wire::RaftJoinReply &reply)
{
    if (reply.nonce() != m_nonce || reply.address() == m_address) {
        return;
    }
    if (isInitialAddress(reply.address())) {
        if (reply.empty()) {
            m_emptyMembers[reply.address()] = reply.id();
        } else {
            m_emptyMembers.erase(reply.address());
        }
    }
    for (const auto &contact : reply.contacts()) {
        if (m_reportedAddresses.size() < maxRememberedAddresses) {
            m_reportedAddresses.insert(contact);
        }
    }
}

std::vector<LogMembership::AddressedPacket> LogMembership::leaveRequests(const wire::RaftMembership &membership) const
{
    std::vector<AddressedPacket> requests;
    if (!m_leaves || !m_options.open) {
        return requests;
    }
    for (const auto &member : membership.members()) {
        if (member.id() != m_id) {
            auto &request = requests.emplace_back(AddressedPacket {addressOf(member.id(), membership), {}});
            request.packet.set_from_address(m_address);
            request.packet.mutable_leave()->set_id(m_id);
        }
    }
    return requests;
}

bool LogMembership::isLeaving(MemberId id) const
{
    return m_leavingAt.contains(id) || (m_leaves && id == m_id);
}

bool LogMembership::shouldJoin(const wire::RaftMembership &membership, bool hasLeader) const
{
    if (m_leaves) {
        return false;
    }
    const auto *self = findMember(membership, m_id);
    if (membership.members().empty()) {
        return true;
    }
    // In an open log, a voter that could not be reached may have been replaced, which its own log doesn't show, and a member that
    // was removed may have returned.
    return !hasLeader && (m_options.open || (self != nullptr && !self->voter()));
}

std::vector<LogMembership::AddressedPacket> LogMembership::joinRequests() const
{
    std::set<std::string> addresses(m_initialMembers.begin(), m_initialMembers.end());
    if (m_options.open) {
        addresses.insert(m_reportedAddresses.begin(), m_reportedAddresses.end());
        for (const auto &[id, address] : m_addresses) {
            addresses.insert(address);
        }
    }
    std::vector<AddressedPacket> requests;
    for (const auto &address : addresses) {
        if (address == m_address) {
            continue;
        }
        auto &request = requests.emplace_back(AddressedPacket {address, {}});
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
    // Only one member forms the log, and the others receive it. If two members did so, and a third one had restarted with a new
    // identity in between, they would form two logs.
    return m_options.mayBootstrap && !m_initialMembers.empty() && m_initialMembers.front() == m_address
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
                                                              const std::function<bool(MemberId)> &isActive, TimePoint now)
{
    std::erase_if(m_silentSince, [&membership](const auto &item) { return findMember(membership, item.first) == nullptr; });
    for (const auto &member : membership.members()) {
        if (member.id() == m_id || isActive(member.id())) {
            m_silentSince.erase(member.id());
        } else {
            m_silentSince.emplace(member.id(), now);
        }
    }
    std::erase_if(m_leavingAt, [&](const auto &item) { return findMember(membership, item.first) == nullptr || now - item.second > m_options.leaveLifetime; });
    // A delayed request of an earlier process must not remove the member that now runs at its address.
    std::erase_if(m_receivedJoins, [&](const auto &item) {
        return (m_options.open && now - item.second.receivedAt > m_options.joinRequestLifetime)
            || std::any_of(membership.members().begin(), membership.members().end(),
                           [&](const auto &member) { return member.address() == item.first && (member.id() == item.second.id || isActive(member.id())); });
    });
    for (const auto &[address, join] : m_receivedJoins) {
        for (const auto &member : membership.members()) {
            // The process at this address has a new disk, so the old identity can't return. Removing it before the new one is
            // added leaves the number of members that must reply unchanged.
            if (member.address() == address) {
                return RaftMembershipChange {RaftMembershipChange::Kind::Remove, member.id(), {}};
            }
        }
        return RaftMembershipChange {RaftMembershipChange::Kind::AddLearner, join.id, address};
    }
    if (m_options.open) {
        return nextReplacement(membership, isCaughtUp, now);
    }
    for (const auto &member : membership.members()) {
        if (!member.voter() && isCaughtUp(member.id())) {
            return RaftMembershipChange {RaftMembershipChange::Kind::Promote, member.id(), {}};
        }
    }
    return std::nullopt;
}

std::optional<RaftMembershipChange> LogMembership::nextReplacement(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp,
                                                                   TimePoint now)
{
    const auto isSilent = [&](MemberId id) {
        const auto since = m_silentSince.find(id);
        return since != m_silentSince.end() && now - since->second >= m_options.silentVoterTimeout;
    };
    std::size_t voters = 0;
    MemberId silentVoter = 0;
    MemberId leavingVoter = 0;
    MemberId otherVoter = 0;
    bool isAnySilent = false;
    MemberId silentLearner = 0;
    std::vector<MemberId> candidates;
    for (const auto &member : membership.members()) {
        const bool silent = isSilent(member.id());
        if (member.voter()) {
            ++voters;
            silentVoter = silent ? member.id() : silentVoter;
            leavingVoter = isLeaving(member.id()) ? member.id() : leavingVoter;
            otherVoter = member.id() != m_id ? member.id() : otherVoter;
            isAnySilent = isAnySilent || m_silentSince.contains(member.id());
        } else if (isCaughtUp(member.id()) && !isLeaving(member.id())) {
            candidates.push_back(member.id());
        } else if (silent) {
            silentLearner = member.id();
        }
    }
    const auto wanted = wantedVoters();
    const bool even = voters % 2 == 0;
    // An even number of voters bears no more losses than one voter less, and each entry has to reach one more member.
    const bool missing = voters < wanted && (even || candidates.size() > 1 || voters < minVoters);
    // The replacement votes before the silent or leaving voter is removed: without both of them, the loss of one more voter would stop a
    // log that has a majority.
    const bool replaceable = (silentVoter != 0 || leavingVoter != 0) && !even && voters <= wanted;
    if (!candidates.empty() && (missing || replaceable)) {
        return RaftMembershipChange {RaftMembershipChange::Kind::Promote, candidates.front(), {}};
    }
    if (silentVoter != 0 && (even || voters > wanted)) {
        return RaftMembershipChange {RaftMembershipChange::Kind::Remove, silentVoter, {}};
    }
    if (leavingVoter != 0 && even && voters > minVoters) {
        return RaftMembershipChange {RaftMembershipChange::Kind::Remove, leavingVoter, {}};
    }
    if (!even || voters <= wanted) {
        m_surplusSince.reset();
    } else if (!m_surplusSince) {
        m_surplusSince = now;
    } else if (!isAnySilent && now - *m_surplusSince >= m_options.silentVoterTimeout) {
        // The silent voter has returned before it was removed. A new leader waits, since it doesn't know yet which voter is silent.
        return RaftMembershipChange {RaftMembershipChange::Kind::Remove, otherVoter, {}};
    }
    if (silentLearner != 0) {
        return RaftMembershipChange {RaftMembershipChange::Kind::Remove, silentLearner, {}};
    }
    return std::nullopt;
}

std::size_t LogMembership::wantedVoters() const
{
    return std::max(2 * m_options.lossesToBear + 1, minVoters);
}

void LogMembership::learnAddress(MemberId id, const std::string &address)
{
    if (!address.empty() && (m_addresses.size() < maxRememberedAddresses || m_addresses.contains(id))) {
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
