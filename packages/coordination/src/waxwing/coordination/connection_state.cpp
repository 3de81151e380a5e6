#include <waxwing/coordination/connection_state.h>

#include <algorithm>

namespace waxwing
{

std::string ConnectionState::sharedName(const SessionState::Prepared &statement)
{
    return (statement.writes ? "w" : "r") + statement.shape;
}

ConnectionState::Preparation ConnectionState::compare(const SessionState &session, const SessionState::Prepared *statement) const
{
    Preparation preparation;
    preparation.discard = std::any_of(m_values.begin(), m_values.end(), [&](const auto &value) { return !session.values.contains(value.first); });
    for (const auto &[name, value] : session.values) {
        const auto known = m_values.find(name);
        if (preparation.discard || known == m_values.end() || known->second != value) {
            preparation.values.emplace_back(name, value);
        }
    }
    preparation.prepare = statement != nullptr && (preparation.discard || !m_prepared.contains(sharedName(*statement)));
    return preparation;
}

void ConnectionState::apply(const Preparation &preparation, const SessionState::Prepared *statement)
{
    if (preparation.discard) {
        m_values.clear();
        m_prepared.clear();
    }
    for (const auto &[name, value] : preparation.values) {
        m_values[name] = value;
    }
    if (preparation.prepare) {
        m_prepared.insert(sharedName(*statement));
    }
}

std::size_t ConnectionState::distance(const SessionState &session) const
{
    const auto preparation = compare(session, nullptr);
    return preparation.values.size() + (preparation.discard ? 1 : 0);
}

} // namespace waxwing
