#pragma once

#include "caller_history.h"
#include "connection_pool.h"
#include "operation.h"
#include "results.h"
#include "statement_api.h"

#include <waxwing/support/random.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace waxwing::load
{

struct LoadOptions;

/// @brief Open-loop load: starts each operation at its planned time, however long the others take.
class Generator
{
public:
    /// @brief Plans the run.
    /// @param options settings, which must outlive this object
    Generator(boost::asio::io_context &context, const LoadOptions &options);

    /// @brief Starts the arrivals; the context ends after the last operation.
    void start();

    /// @brief What was measured; complete after the context has ended.
    const Results &results() const
    {
        return m_results;
    }

private:
    using OperationPointer = std::shared_ptr<Operation>; // Shared by the handlers of its timers and connections.

    void startDue();
    void startOperation(std::size_t arrival);
    void addSteps(Operation &operation, unsigned key);
    std::size_t takeSession();
    void send(const OperationPointer &operation);
    void exchange(const OperationPointer &operation, ConnectionPool::Connection connection);
    void receive(const OperationPointer &operation, const Answer &answer, TimePoint sent);
    bool retries(const Operation &operation, const Answer &answer) const;
    void finish(const OperationPointer &operation, const Answer &answer);
    void finishIfLast();

    boost::asio::io_context &m_context;
    const LoadOptions &m_options;
    std::vector<OperationClass> m_classes;
    std::vector<Arrival> m_arrivals;
    StatementApi m_api;
    std::string m_run; // Identifies the run in values and session names.
    ConnectionPool m_pool;
    CallerHistory m_history;
    Results m_results;
    Random m_random;
    boost::asio::steady_timer m_timer;
    TimePoint m_start;
    std::vector<Session> m_sessions;
    std::vector<std::size_t> m_idleSessions;
    std::size_t m_next = 0; // Index of the next arrival.
    std::size_t m_inProgress = 0;
};

} // namespace waxwing::load
