#include <waxwing/sessions/planned_stop.h>
#include <waxwing/sessions/session_server.h>
#include <waxwing/support/log.h>

namespace waxwing
{

namespace
{

constexpr Duration logNotice = 50ms; // the thread of the log writes the last lines in this time
constexpr Duration exitMargin = 700ms; // left of the stop limit for the end of the process
constexpr Duration answerMargin = 200ms; // before that, for the answers to statements that are given up

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
    m_server.forwarded().stop();
}

bool PlannedStop::advance(TimePoint now)
{
    if (!m_begunAt) {
        return false;
    }
    const auto since = now - *m_begunAt;
    if (since < balancerRemovalTime) {
        return false; // new callers still arrive
    }
    if (!m_refuses) {
        m_refuses = true;
        m_server.refuseWaits();
    }
    if (since >= m_limit / 2) {
        m_server.abortTransactions("the proxy stops");
    }
    if (since >= m_limit - exitMargin - answerMargin) {
        m_server.interrupt();
    }
    const auto left = m_server.closeIdle();
    const bool last = since >= m_limit - exitMargin;
    if (!m_lastCallers && (left == 0 || last)) {
        // From here on no caller can arrive whose request the end of the process would cut.
        m_server.stopAccepting();
        m_lastCallers = now;
        log::write(log::Level::Info, "stopped accepting", {{"sessions_left", left}, {"after_ms", toMilliseconds(since).count()}});
    }
    if (last && !m_cutNoted && left != 0) {
        m_cutNoted = true;
        log::write(log::Level::Warning, "sessions cut by the stop", {{"sessions", left}, {"waiting", m_server.handling()}});
    }
    // Callers that the kernel had accepted may have begun their sessions since.
    return m_lastCallers && now - *m_lastCallers >= logNotice && (left == 0 || last);
}

} // namespace waxwing
