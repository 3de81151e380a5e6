#include "statement_exchange.h"

#include <waxwing/platform/database_wire.h>
#include <waxwing/protocol/pool_reply.h>
#include <waxwing/sessions/database_connection.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace
{

constexpr std::string_view discardCommand = "discard";
constexpr std::string_view setCommand = "set";
constexpr std::string_view prepareCommand = "prepare";

const SessionState::Prepared *preparedBy(const SessionJob &job)
{
    return job.prepared ? &*job.prepared : nullptr;
}

} // namespace

StatementExchange::StatementExchange(DatabaseConnection &connection, std::string database)
    : m_state(connection.state())
    , m_connection(connection.number())
    , m_database(std::move(database))
{
}

void StatementExchange::add(std::string_view command)
{
    m_bytes += command;
    ++m_commands;
}

void StatementExchange::addPreparation(const SessionJob &job)
{
    addCommands(job, m_state.compare(*job.session, preparedBy(job)));
}

void StatementExchange::addPreparationInTransaction(const SessionJob &job)
{
    addCommands(job, m_state.extend(*job.session, preparedBy(job)));
}

void StatementExchange::addCommands(const SessionJob &job, const ConnectionState::Preparation &preparation)
{
    const auto addOwn = [this](std::string_view kind, const std::string &text) {
        add(platform::encodeOwnStatement(text));
        m_preparation.push_back(kind);
        Metrics::instance().counter("waxwing_session_preparations_total", "command", kind).add();
    };
    m_state.apply(preparation, preparedBy(job));
    if (preparation.discard) {
        addOwn(discardCommand, platform::discardText());
    }
    for (const auto &[name, value] : preparation.values) {
        addOwn(setCommand, platform::setText(name, value));
    }
    if (log::isEnabled(log::Level::Debug) && (preparation.discard || !preparation.values.empty())) {
        boost::json::array names;
        for (const auto &[name, value] : preparation.values) {
            names.emplace_back(name);
        }
        log::write(log::Level::Debug, "connection state sent",
                   {{"request", job.id},
                    {"service", job.route.service},
                    {"database", m_database},
                    {"connection", m_connection},
                    {"discard", preparation.discard},
                    {"values", std::move(names)}});
    }
    if (preparation.prepare) {
        const auto &prepared = *job.prepared;
        const auto name = m_state.nameOf(prepared);
        addOwn(prepareCommand, platform::prepareText(name, prepared.writes, prepared.shape));
        log::write(log::Level::Info, "statement prepared",
                   {{"request", job.id},
                    {"service", job.route.service},
                    {"database", m_database},
                    {"connection", m_connection},
                    {"name", name},
                    {"writes", prepared.writes},
                    {"shape", prepared.shape},
                    {"forwarded", job.forwarded}});
    }
}

std::string StatementExchange::text(const SessionJob &job) const
{
    if (!job.prepared) {
        return job.text;
    }
    const auto name = m_state.nameOf(*job.prepared);
    if (log::isEnabled(log::Level::Debug)) { // as many lines as statements
        log::write(log::Level::Debug, "prepared statement sent",
                   {{"request", job.id},
                    {"service", job.route.service},
                    {"database", m_database},
                    {"connection", m_connection},
                    {"name", name},
                    {"forwarded", job.forwarded}});
    }
    return platform::executeText(name, job.text);
}

const PoolReply *StatementExchange::findRefusedPreparation(const SessionJob &job, const std::vector<PoolReply> &replies) const
{
    const PoolReply *first = nullptr;
    for (std::size_t i = 0; i < std::min(m_preparation.size(), replies.size()); ++i) {
        if (replies[i].error == SessionError::None) {
            continue;
        }
        first = first == nullptr ? &replies[i] : first;
        Metrics::instance().counter("waxwing_session_preparations_refused_total", "command", m_preparation[i]).add();
        log::write(log::Level::Warning, "preparation refused",
                   {{"request", job.id},
                    {"service", job.route.service},
                    {"database", m_database},
                    {"connection", m_connection},
                    {"command", m_preparation[i]},
                    {"error", static_cast<int>(replies[i].error)}});
    }
    return first;
}

} // namespace waxwing
