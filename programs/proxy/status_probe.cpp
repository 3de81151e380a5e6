#include "status_probe.h"

#include <waxwing/protocol/endpoint_codec.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/transport_error.h>

#include <utility>

namespace waxwing
{

namespace
{

// Ten times the round trip between regions; a primary that is silent for longer is suspected.
constexpr auto probeTimeout = 250ms;

} // namespace

StatusProbe::StatusProbe(boost::asio::io_context &context, std::string address, Handler handler, FailureHandler onFailure)
    : m_context(context)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_onFailure(std::move(onFailure))
{
}

void StatusProbe::send(TimePoint now)
{
    if (m_isOutstanding) {
        return;
    }
    m_isOutstanding = true;
    if (!m_lastHeard) {
        m_lastHeard = now;
    }
    if (m_connection && m_connection->isOpen()) {
        request(now);
        return;
    }
    m_connection.emplace(m_context);
    m_connection->connect(m_address, probeTimeout, [this](std::error_code error) {
        if (error) {
            fail(error);
            return;
        }
        request(Clock::now());
    });
}

void StatusProbe::request(TimePoint sentAt)
{
    m_connection->exchange({.target = "/v1/status"}, probeTimeout, [this, sentAt](HttpExchange &&exchange) {
        if (exchange.error) {
            fail(exchange.error);
            return;
        }
        const auto status = decodeEndpointStatus(exchange.response.body);
        if (std::holds_alternative<std::string>(status)) {
            Metrics::instance().counter("waxwing_probe_failures_total", "reason", "malformed").add();
            fail(TransportError::MalformedMessage);
            return;
        }
        m_isOutstanding = false;
        m_isRefused = false;
        m_isFailing = false;
        m_lastHeard = Clock::now();
        const auto &received = std::get<EndpointStatus>(status);
        if (received.isPrimary) {
            m_notPrimarySince.reset();
        } else if (!m_notPrimarySince) {
            m_notPrimarySince = sentAt;
        }
        m_handler(received, sentAt);
    });
}

void StatusProbe::fail(std::error_code error)
{
    m_isOutstanding = false;
    m_isFailing = true;
    m_isRefused = error == TransportError::ConnectFailed || error == TransportError::ConnectionLost;
    Metrics::instance().counter("waxwing_probe_failures_total", "reason", m_isRefused ? "refused" : "silent").add();
    if (m_onFailure) {
        m_onFailure();
    }
}

Duration StatusProbe::withoutRole(TimePoint now) const
{
    return m_notPrimarySince ? Duration(now - *m_notPrimarySince) : Duration::zero();
}

void StatusProbe::forgetRole()
{
    m_notPrimarySince.reset();
}

Duration StatusProbe::silence(TimePoint now) const
{
    return m_isFailing && m_lastHeard ? Duration(now - *m_lastHeard) : Duration::zero();
}

} // namespace waxwing
