#include "http_server_state.h"

#include "http_session.h"

#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

namespace waxwing
{

HttpServerState::HttpServerState(HttpServerOptions serverOptions)
    : options(std::move(serverOptions))
    , budget(options.maxHeldBytes)
    , heldBytes(Metrics::instance().gauge("waxwing_http_held_bytes", "address", options.listen))
{
}

void HttpServerState::enforceLimit()
{
    while (const auto connection = budget.connectionToStop()) {
        const auto entry = sessions.find(*connection);
        const auto session = entry == sessions.end() ? nullptr : entry->second.lock();
        if (session) {
            session->giveWay();
        }
        budget.close(*connection);
    }
    heldBytes.set(static_cast<std::int64_t>(budget.heldBytes()));
}

bool HttpServerState::closeReplaceable(std::string_view reason)
{
    const auto connection = budget.connectionToReplace();
    if (!connection) {
        return false;
    }
    recordLimit(reason, *connection, 0);
    const auto entry = sessions.find(*connection);
    if (const auto session = entry == sessions.end() ? nullptr : entry->second.lock()) {
        session->close();
    }
    budget.close(*connection);
    return true;
}

void HttpServerState::recordLimit(std::string_view reason, std::uint64_t connection, std::size_t bytes) const
{
    Metrics::instance().counter("waxwing_http_limits_total", "reason", reason).add();
    log::write(log::Level::Warning, "http limit reached",
               {{"reason", reason}, {"address", options.listen}, {"connection", connection}, {"bytes", bytes}, {"held_bytes", budget.heldBytes()}});
}

} // namespace waxwing
