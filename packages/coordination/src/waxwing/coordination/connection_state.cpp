#include <waxwing/coordination/connection_state.h>

#include <algorithm>

namespace waxwing
{

ConnectionState::ConnectionState()
    : ConnectionState(Options())
{
}

ConnectionState::ConnectionState(const Options &options)
    : m_options(options)
{
}

ConnectionState::Preparation ConnectionState::compare(const SessionState &session, const SessionState::Prepared *statement) const
{
    const bool hasOtherValues = std::any_of(m_values.begin(), m_values.end(), [&](const auto &value) { return !session.values.contains(value.first); });
    if (!hasOtherValues && (statement == nullptr || !isFullFor(*statement))) {
        return extend(session, statement);
    }
    return {true, {session.values.begin(), session.values.end()}, statement != nullptr};
}

ConnectionState::Preparation ConnectionState::extend(const SessionState &session, const SessionState::Prepared *statement) const
{
    Preparation preparation;
    for (const auto &[name, value] : session.values) {
        const auto known = m_values.find(name);
        if (known == m_values.end() || known->second != value) {
            preparation.values.emplace_back(name, value);
        }
    }
    preparation.prepare = statement != nullptr && !m_prepared.contains(*statement);
    return preparation;
}

bool ConnectionState::isFullFor(const SessionState::Prepared &statement) const
{
    const bool exceeds = m_prepared.size() >= m_options.maxStatements || m_shapeBytes + statement.shape.size() > m_options.maxShapeBytes;
    return exceeds && !m_prepared.empty() && !m_prepared.contains(statement);
}

bool ConnectionState::hasRoomInTransaction(const SessionState::Prepared &statement) const
{
    const bool exceeds
        = m_prepared.size() >= m_options.maxStatementsInTransaction || m_shapeBytes + statement.shape.size() > m_options.maxShapeBytesInTransaction;
    return !exceeds || m_prepared.contains(statement);
}

void ConnectionState::apply(const Preparation &preparation, const SessionState::Prepared *statement)
{
    if (preparation.discard) {
        m_values.clear();
        forgetPrepared();
    }
    for (const auto &[name, value] : preparation.values) {
        m_values[name] = value;
    }
    if (preparation.prepare) {
        m_prepared.emplace(*statement, ++m_lastNumber);
        m_shapeBytes += statement->shape.size();
    }
}

std::string ConnectionState::nameOf(const SessionState::Prepared &statement) const
{
    return "p" + std::to_string(m_prepared.at(statement));
}

std::size_t ConnectionState::distance(const SessionState &session) const
{
    const auto preparation = compare(session, nullptr);
    return preparation.values.size() + (preparation.discard ? 1 : 0);
}

void ConnectionState::forgetPrepared()
{
    m_prepared.clear();
    m_shapeBytes = 0;
}

} // namespace waxwing
