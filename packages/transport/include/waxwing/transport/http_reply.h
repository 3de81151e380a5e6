#pragma once

#include <cstdint>
#include <memory>

namespace waxwing
{

class HttpSession;
struct HttpResponse;

/// @brief Sends the response to one request. May be copied; only the first send counts.
class HttpReply
{
public:
    explicit HttpReply(std::weak_ptr<HttpSession> session, std::uint64_t sequence);

    /// @brief Sends the response, if the connection is still open. Call on the thread of the server.
    void send(HttpResponse response) const;

    /// @brief Tells whether the connection is still open.
    bool isOpen() const;

private:
    // The session owns itself while its connection is open; a reply must not keep a closed one alive.
    std::weak_ptr<HttpSession> m_session;
    std::uint64_t m_sequence;
};

} // namespace waxwing
