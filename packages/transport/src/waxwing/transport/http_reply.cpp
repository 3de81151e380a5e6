#include "http_session.h"

#include <waxwing/transport/http_reply.h>

namespace waxwing
{

HttpReply::HttpReply(std::weak_ptr<HttpSession> session, std::uint64_t sequence)
    : m_session(std::move(session))
    , m_sequence(sequence)
{
}

void HttpReply::send(HttpResponse response) const
{
    if (const auto session = m_session.lock()) {
        session->respond(m_sequence, std::move(response));
    }
}

bool HttpReply::isOpen() const
{
    return !m_session.expired();
}

} // namespace waxwing
