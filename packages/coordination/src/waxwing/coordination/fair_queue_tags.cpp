#include <waxwing/coordination/fair_queue_tags.h>

#include <algorithm>

namespace waxwing
{

std::uint64_t FairQueueTags::next(std::string_view workspace)
{
    auto found = m_next.find(workspace);
    if (found == m_next.end()) {
        found = m_next.emplace(workspace, m_virtualTime).first;
    }
    const auto tag = std::max(found->second, m_virtualTime);
    found->second = tag + 1;
    return tag;
}

void FairQueueTags::serve(std::uint64_t tag)
{
    m_virtualTime = std::max(m_virtualTime, tag);
}

void FairQueueTags::clear()
{
    m_next.clear();
    m_virtualTime = 0;
}

} // namespace waxwing
