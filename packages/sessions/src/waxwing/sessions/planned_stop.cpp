#include <waxwing/sessions/planned_stop.h>
#include <waxwing/sessions/session_server.h>
#include <waxwing/support/log.h>

namespace waxwing
{

namespace
{

constexpr Duration logFlushTime = 50ms; // the log thread writes its last lines within this time
constexpr Duration exitMargin = 700ms; // the process exits this long before the stop limit
constexpr Duration answerMargin = 200ms; // running statements are interrupted this long before the exit, which leaves time for their answers

} // namespace

PlannedStop::PlannedStop(SessionServer &server, Duration limit)
    : m_server(server)
    , m_limit(limit)
{
}

void PlannedStop::begin(TimePoint now)
{
    log::write(log::Level::Info, "stopping", {{"sessions", m_server.sessions()}});
    m_begunAt = now;
    m_server.announceStop(Clock::now() + m_limit - exitMargin - answerMargin);
}

bool PlannedStop::advance(TimePoint now)
{
    if (!m_begunAt) {
        return false;
    }
    const auto since = now - *m_begunAt;
    if (since < balancerRemovalTime) {
        return false; // the load balancer may still send new callers
    }
    if (!m_refusing) {
        m_refusing = true;
        m_server.refuseWaitingStatements();
    }
    if (since >= m_limit / 2) {
        m_server.abortTransactions("the proxy stops");
    }
    if (since >= m_limit - exitMargin - answerMargin) {
        m_server.interrupt();
    }
    const auto left = m_server.closeIdle();
    const bool last = since >= m_limit - exitMargin;
    if (!m_stoppedAcceptingAt && (left == 0 || last)) {
        // From here on no new caller can arrive whose request would be cut off by the exit of the process.
        m_server.stopAccepting();
        m_stoppedAcceptingAt = now;
        log::write(log::Level::Info, "stopped accepting", {{"sessions_left", left}, {"after_ms", toMilliseconds(since).count()}});
    }
    if (last && !m_cutLogged && left != 0) {
        m_cutLogged = true;
        log::write(log::Level::Warning, "sessions cut by the stop", {{"sessions", left}, {"waiting", m_server.outstandingRequests()}});
    }
    // Connections that the kernel had already accepted may have become sessions since.
    return m_stoppedAcceptingAt && now - *m_stoppedAcceptingAt >= logFlushTime && (left == 0 || last);
}

} // namespace waxwing
