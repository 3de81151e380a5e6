#include <waxwing/coordination/raft_replay.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace waxwing
{

void RaftReplay::add(std::string_view payload)
{
    if (!m_problem.empty()) {
        return;
    }
    wire::RaftRecord record;
    if (!record.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        m_problem = "a record can't be parsed as RaftRecord";
        return;
    }
    switch (record.body_case()) {
    case wire::RaftRecord::kHardState:
        m_hardState = record.hard_state();
        break;
    case wire::RaftRecord::kEntry:
        addEntry(*record.mutable_entry());
        break;
    case wire::RaftRecord::kReset:
        m_entries.clear();
        m_firstIndex = record.reset().index() + 1;
        break;
    case wire::RaftRecord::BODY_NOT_SET:
        m_problem = "a record holds neither an entry, a hard state nor a reset";
        break;
    }
}

void RaftReplay::addEntry(wire::RaftEntry &entry)
{
    const LogIndex index = entry.index();
    if (index == 0) {
        m_problem = "found entry 0, but the first entry of a log has index 1";
        return;
    }
    if (m_firstIndex == 0 || index < m_firstIndex) {
        m_entries.clear();
        m_firstIndex = index;
    }
    const auto next = m_firstIndex + m_entries.size();
    if (index > next) {
        m_problem = "found entry " + std::to_string(index) + " directly after entry " + std::to_string(next - 1);
        return;
    }
    m_entries.resize(index - m_firstIndex);
    m_entries.push_back({entry.term(), entry.kind(), std::move(*entry.mutable_data())});
    m_segmentLastIndex = std::max(m_segmentLastIndex, index);
}

bool RaftReplay::finish(std::optional<RaftSnapshot> snapshot, RaftStoredState &state)
{
    state.hardState = m_hardState;
    const LogIndex base = snapshot ? snapshot->index : 0;
    const LogIndex last = m_firstIndex == 0 ? 0 : m_firstIndex + m_entries.size() - 1;
    if (!m_entries.empty() && m_firstIndex > base + 1) {
        m_problem = "gap between snapshot and log: the log begins with entry " + std::to_string(m_firstIndex) + ", the snapshot ends with entry "
            + std::to_string(base);
        return false;
    }
    if (m_firstIndex != 0 && last < base) {
        m_needsReset = true;
        m_entries.clear();
    } else if (!m_entries.empty() && m_firstIndex <= base) {
        if (m_entries[base - m_firstIndex].term != snapshot->term) {
            m_needsReset = true;
            m_entries.clear();
        } else {
            m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(base - m_firstIndex + 1));
        }
    }
    state.entries.assign(std::make_move_iterator(m_entries.begin()), std::make_move_iterator(m_entries.end()));
    m_entries.clear();
    if (snapshot) {
        state.snapshot = std::make_shared<const RaftSnapshot>(std::move(*snapshot));
    }
    return true;
}

} // namespace waxwing
