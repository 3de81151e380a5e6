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
        m_problem = "a record is not readable";
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
        m_first = record.reset().index() + 1;
        break;
    case wire::RaftRecord::BODY_NOT_SET:
        m_problem = "a record has no content";
        break;
    }
}

void RaftReplay::addEntry(wire::RaftEntry &entry)
{
    const LogIndex index = entry.index();
    if (m_first == 0 || index < m_first) {
        m_entries.clear();
        m_first = index;
    }
    const auto next = m_first + m_entries.size();
    if (index == 0 || index > next) {
        m_problem = "entry " + std::to_string(index) + " follows entry " + std::to_string(next - 1);
        return;
    }
    m_entries.resize(index - m_first);
    m_entries.push_back({entry.term(), entry.kind(), std::move(*entry.mutable_data())});
    m_segmentLastIndex = std::max(m_segmentLastIndex, index);
}

bool RaftReplay::finish(std::optional<RaftSnapshot> snapshot, RaftStoredState &state)
{
    state.hardState = m_hardState;
    const LogIndex base = snapshot ? snapshot->index : 0;
    const LogIndex last = m_first == 0 ? 0 : m_first + m_entries.size() - 1;
    if (!m_entries.empty() && m_first > base + 1) {
        m_problem = "the log begins with entry " + std::to_string(m_first) + " but the snapshot ends with entry " + std::to_string(base);
        return false;
    }
    if (m_first != 0 && last < base) {
        m_needsReset = true;
        m_entries.clear();
    } else if (!m_entries.empty() && m_first <= base) {
        if (m_entries[base - m_first].term != snapshot->term) {
            m_needsReset = true;
            m_entries.clear();
        } else {
            m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(base - m_first + 1));
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
