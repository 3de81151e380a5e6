#pragma once

#include <waxwing/coordination/term_position.h>

#include <optional>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Databases of a service while it has no primary, and which of them takes over without the loss of a commit.
class PrimaryChoice
{
public:
    /// What is known of one database.
    struct Database
    {
        std::string id;
        bool draining = false;
        /// End of the log it received; nothing if it does not answer, or still leads.
        std::optional<TermPosition> received;
    };

    /// @param previous id of the primary before
    explicit PrimaryChoice(std::string previous);

    void add(Database database);

    /// @brief Takes note that a database may hold commits although it is not known at present.
    void addMissing()
    {
        ++m_missing;
    }

    /// @brief Sets the highest position that any caller was told or may still be told; only for proxies that acknowledge
    /// nothing further.
    void setAcknowledgedPosition(std::optional<TermPosition> acknowledged)
    {
        m_acknowledged = acknowledged;
    }

    /// @brief Tells whether the choice depends on what callers were told, because a database is missing.
    bool needsAcknowledgedPosition() const
    {
        return m_missing != 0 && !m_former;
    }

    /// @brief Tells whether the log of the former primary is known, so that no other database can hold more.
    bool hasFormerPrimaryLog() const
    {
        return m_former.has_value();
    }

    /// @brief Chooses after the former primary stepped down: a replica that has received all that it has.
    /// @return the id, or empty if none has yet
    std::string bestAfterStepDown() const;

    /// @brief Chooses among databases none of which receives any more.
    /// @return the id, or empty while a commit could be lost
    std::string bestAmongStopped() const;

private:
    bool isBetter(const Database &one, const Database &other) const;

    std::string m_previous;
    std::vector<Database> m_databases; ///< those whose logs are known
    std::size_t m_missing = 0; ///< without the former primary
    std::optional<TermPosition> m_former; ///< end of the log of the former primary, if it has stepped down
    std::optional<TermPosition> m_acknowledged;
};

} // namespace waxwing
