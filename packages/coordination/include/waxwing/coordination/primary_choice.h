#pragma once

#include <waxwing/coordination/term_position.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Chooses the database that becomes the primary of a service, so that no acknowledged commit is lost.
class PrimaryChoice
{
public:
    /// State of one database.
    struct Database
    {
        std::string id;
        bool draining = false;
        bool restarted = false; ///< an earlier run under this id may have held commits that its log lacks
        /// Last position of the log that it received; nothing if it does not respond, or is still the primary.
        std::optional<TermPosition> received;
    };

    /// @param previous id of the former primary
    explicit PrimaryChoice(std::string previous);

    /// @brief Adds a database of the service.
    void add(Database database);

    /// @brief Adds a database that may hold commits but is gone.
    void addMissing(std::string id)
    {
        m_missing.push_back(std::move(id));
    }

    /// @brief Adds a database that is gone and had received the log up to a position, and nothing since.
    void addStopped(std::string id, TermPosition received)
    {
        m_stopped.emplace_back(std::move(id), received);
    }

    /// @brief Databases that may hold commits which no known log has, not counting the former primary.
    std::vector<std::string> missing() const;

    /// @brief Sets the highest position that a proxy has acknowledged to a caller, or may still acknowledge. Call it only
    /// after all proxies have stopped acknowledging further commits.
    void setAcknowledgedPosition(std::optional<TermPosition> acknowledged)
    {
        m_acknowledged = acknowledged;
    }

    /// @brief Sets a position that an acknowledged commit certainly has or follows. Other than the acknowledged position, it may be known
    /// of some proxies only, and holds also if no database is missing.
    void setCertainPosition(TermPosition certain)
    {
        m_certain = certain;
    }

    /// @brief Sets a position that an acknowledged commit may have. No log that ends before it is chosen.
    void setAwaitedPosition(TermPosition awaited)
    {
        m_awaited = awaited;
    }

    /// @brief Tells whether there are known logs, and all of them end before a position.
    bool lacks(const TermPosition &position) const;

    /// @brief Returns whether the choice needs the acknowledged position, because the log of a database is missing.
    bool needsAcknowledgedPosition() const
    {
        return !m_formerPrimaryEnd && !missing().empty();
    }

    /// @brief Returns whether the log of the former primary is known. No other database can hold further commits.
    bool hasFormerPrimaryLog() const
    {
        return m_formerPrimaryEnd.has_value();
    }

    /// @brief Chooses a replica that has received the whole log of a former primary that stepped down.
    /// @return id of the replica; empty as long as there is none
    std::string bestAfterStepDown() const;

    /// @brief Chooses among databases that have all stopped receiving the log.
    /// @return id of the database; empty if any choice could lose an acknowledged commit
    std::string bestAmongStopped() const;

private:
    bool isBetter(const Database &one, const Database &other) const;

    std::string m_previous;
    std::vector<Database> m_databases; ///< databases whose logs are known
    std::vector<std::string> m_missing;
    std::vector<std::pair<std::string, TermPosition>> m_stopped;
    std::optional<TermPosition> m_formerPrimaryEnd; ///< last position in the log of the former primary, if it has stepped down
    std::optional<TermPosition> m_acknowledged;
    TermPosition m_certain;
    TermPosition m_awaited;
};

} // namespace waxwing
