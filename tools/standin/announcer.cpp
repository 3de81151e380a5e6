#include "announcer.h"

#include "member.h"

#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

namespace waxwing::standin
{

namespace
{

constexpr auto interval = 1s;
constexpr auto timeout = 300ms; // All proxies can be tried within an interval or two.

} // namespace

Announcer::Announcer(boost::asio::io_context &context, Member &member)
    : m_context(context)
    , m_member(member)
    , m_timer(context)
{
}

void Announcer::announce()
{
    schedule();
    if (m_member.faults.isSet("cut_all") || m_member.faults.isSet("stall")) {
        return;
    }
    tryNext(m_member.options.proxies.size());
}

void Announcer::schedule()
{
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            announce();
        }
    });
}

void Announcer::tryNext(std::size_t remaining)
{
    if (remaining == 0) {
        return;
    }
    m_next = (m_next + 1) % m_member.options.proxies.size();
    m_connection.emplace(m_context);
    m_connection->connect(m_member.options.proxies[m_next], timeout, [this, remaining](std::error_code error) {
        if (error) {
            tryNext(remaining - 1);
        } else {
            send(remaining);
        }
    });
}

void Announcer::send(std::size_t remaining)
{
    auto body = m_member.status();
    body.erase("running");
    body["address"] = m_member.options.listen;
    body["leaving"] = m_member.isAnnouncedLeaving;
    body["failure_domain"] = m_member.options.failureDomain;
    m_connection->exchange({.method = "POST", .target = "/v1/announcements", .body = boost::json::serialize(body)}, timeout,
                           [this, remaining](HttpExchange &&exchange) {
                               if (exchange.error || exchange.response.status >= 500) {
                                   tryNext(remaining - 1);
                               }
                           });
}

} // namespace waxwing::standin
