#pragma once

#include "log_peers.h"

#include <waxwing/coordination/log_host.h>
#include <waxwing/coordination/log_port.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control
{

/// @brief Replicated log of a control process that tracks whether the process leads it.
template<class Machine>
class ControlLog
{
public:
    ControlLog(boost::asio::io_context &context, LogPeers &peers, LogHostOptions options)
        : m_host(context, peers, Machine(), std::move(options))
    {
        m_host.observeLeadership([this](bool leads, LogTerm term) {
            m_leads = leads;
            m_term = term;
        });
    }

    LogHost<Machine, LogPeers> &host()
    {
        return m_host;
    }

    const LogHost<Machine, LogPeers> &host() const
    {
        return m_host;
    }

    const Machine &machine() const
    {
        return m_host.machine();
    }

    bool leads() const
    {
        return m_leads;
    }

    /// @brief Access to this log; valid for the lifetime of the log.
    LogPort port()
    {
        LogPort port;
        port.propose = [this](std::vector<std::byte> command, LogPort::Handler handler) {
            m_host.propose(std::string(reinterpret_cast<const char *>(command.data()), command.size()), [handler = std::move(handler)](ProposeResult result) {
                handler({toFailure(result.outcome), std::move(result.result)});
            });
        };
        port.read = [this](LogPort::Handler handler) {
            m_host.read([handler = std::move(handler)](const ReadResult &result) { handler({toFailure(result.outcome), {}}); });
        };
        // Reports leadership, not the read lease: a leader whose read lease expires briefly within a term has missed no entry,
        // and every grant requires a read, which waits for the lease.
        port.isLeader = [this] {
            return m_leads;
        };
        port.term = [this] {
            return m_term;
        };
        port.leaderHint = [this] {
            return m_host.status().leaderAddress;
        };
        return port;
    }

private:
    static LogFailure toFailure(LogOutcome outcome)
    {
        switch (outcome) {
        case LogOutcome::Done:
            return LogFailure::None;
        case LogOutcome::NotLeader:
        case LogOutcome::Refused:
            return LogFailure::NotLeader;
        case LogOutcome::Overloaded:
            return LogFailure::Overloaded;
        case LogOutcome::Unknown:
            break;
        }
        return LogFailure::Unknown;
    }

    LogHost<Machine, LogPeers> m_host;
    bool m_leads = false;
    LogTerm m_term = 0;
};

} // namespace waxwing::control
