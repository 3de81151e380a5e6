#pragma once

#include <waxwing/protocol/endpoint_status.h>
#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>

#include <functional>
#include <optional>
#include <string>

namespace waxwing
{

/// @brief Status probes to one endpoint, on a connection of their own, and what they show about its health.
class StatusProbe
{
public:
    /// @brief Called with each status received.
    /// @param sentAt when the probe was sent
    using Handler = std::function<void(const EndpointStatus &status, TimePoint sentAt)>;

    /// @brief Called when a probe fails.
    using FailureHandler = std::function<void()>;

    /// @brief Creates a probe that has not been sent.
    /// @param context runs all callbacks; one thread
    /// @param address IP:port
    StatusProbe(boost::asio::io_context &context, std::string address, Handler handler, FailureHandler onFailure = {});

    /// @brief Sends a probe, unless one is outstanding.
    void send(TimePoint now);

    /// @brief Tells whether the endpoint refuses or resets connections.
    bool isRefused() const
    {
        return m_isRefused;
    }

    /// @brief Time for which the endpoint has reported that it is not a primary; zero if it has not.
    Duration withoutRole(TimePoint now) const;

    /// @brief Forgets the role reported so far, when the endpoint becomes the primary.
    void forgetRole();

    /// @brief Time since the last status was received or, without any, since the first probe; zero while probes succeed.
    Duration silence(TimePoint now) const;

    const std::string &address() const
    {
        return m_address;
    }

private:
    void request(TimePoint sentAt);
    void fail(std::error_code error);

    boost::asio::io_context &m_context;
    std::string m_address;
    Handler m_handler;
    FailureHandler m_onFailure;
    std::optional<HttpConnection> m_connection;
    bool m_isOutstanding = false;
    bool m_isRefused = false;
    bool m_isFailing = false;
    std::optional<TimePoint> m_lastHeard;
    std::optional<TimePoint> m_notPrimarySince;
};

} // namespace waxwing
