#include <waxwing/coordination/raft_log.h>

#include <xxhash.h>

#include <algorithm>

namespace waxwing
{

RaftSnapshot makeRaftSnapshot(LogIndex index, LogTerm term, const wire::RaftMembership &membership, std::string state)
{
    wire::RaftSnapshot message;
    message.set_index(index);
    message.set_term(term);
    *message.mutable_membership() = membership;
    message.set_state(std::move(state));
    RaftSnapshot snapshot {index, term, membership, message.SerializeAsString(), 0};
    snapshot.checksum = XXH64(snapshot.encoded.data(), snapshot.encoded.size(), 0);
    return snapshot;
}

std::optional<RaftSnapshot> decodeRaftSnapshot(std::string encoded)
{
    wire::RaftSnapshot message;
    if (!message.ParseFromString(encoded) || message.index() == 0) {
        return std::nullopt;
    }
    RaftSnapshot snapshot {message.index(), message.term(), message.membership(), std::move(encoded), 0};
    snapshot.checksum = XXH64(snapshot.encoded.data(), snapshot.encoded.size(), 0);
    return snapshot;
}

void RaftLog::reset(LogIndex index, LogTerm term, const wire::RaftMembership &membership)
{
    m_entries.clear();
    m_baseIndex = index;
    m_baseTerm = term;
    m_memberships.assign(1, {index, membership});
}

void RaftLog::append(RaftEntry entry)
{
    m_entries.push_back(std::move(entry));
    if (m_entries.back().kind == wire::RAFT_ENTRY_KIND_MEMBERSHIP) {
        wire::RaftMembership membership;
        membership.ParseFromString(m_entries.back().data);
        m_memberships.emplace_back(lastIndex(), std::move(membership));
    }
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index && !m_entries.empty()) {
        m_entries.pop_back();
    }
    while (m_memberships.size() > 1 && m_memberships.back().first >= index) {
        m_memberships.pop_back();
    }
}

void RaftLog::compactTo(LogIndex index)
{
    while (m_baseIndex < index && !m_entries.empty()) {
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        ++m_baseIndex;
    }
    while (m_memberships.size() > 1 && m_memberships[1].first <= m_baseIndex) {
        m_memberships.erase(m_memberships.begin());
    }
}

std::optional<LogTerm> RaftLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    if (index < m_baseIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const wire::RaftMembership &RaftLog::membershipAt(LogIndex index) const
{
    auto found = std::find_if(m_memberships.rbegin(), m_memberships.rend(), [index](const auto &item) { return item.first <= index; });
    return found == m_memberships.rend() ? m_memberships.front().second : found->second;
}

const wire::RaftMember *findMember(const wire::RaftMembership &membership, MemberId id)
{
    const auto found = std::find_if(membership.members().begin(), membership.members().end(), [id](const auto &member) { return member.id() == id; });
    return found == membership.members().end() ? nullptr : &*found;
}

bool isVoter(const wire::RaftMembership &membership, MemberId id)
{
    const auto *member = findMember(membership, id);
    return member != nullptr && member->voter();
}

std::size_t voterCount(const wire::RaftMembership &membership)
{
    return static_cast<std::size_t>(std::count_if(membership.members().begin(), membership.members().end(), [](const auto &member) { return member.voter(); }));
}

} // namespace waxwing
