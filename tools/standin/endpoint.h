#pragma once

#include "executor.h"

#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_server.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing
{
struct HttpRequest;
}

namespace waxwing::standin
{

struct Member;

/// @brief Endpoint API and admin API of a stand-in, with its latency, costs and faults.
class Endpoint
{
public:
    /// @brief Binds to a member, which must outlive this object.
    Endpoint(boost::asio::io_context &context, Member &member);

    /// @brief Opens the listening sockets.
    /// @return false if an address cannot be used
    bool start();

    /// @brief Answers the followers that wait for new entries, if there are any.
    void notifyFollowers();

private:
    struct Waiting
    {
        boost::json::object request;
        HttpReply reply;
        TimePoint deadline;
    };

    bool listen();
    void receive(HttpRequest &&request, const HttpReply &reply);
    void dispatch(const HttpRequest &request, const HttpReply &reply);
    void handle(const HttpRequest &request, const boost::json::object &body, const HttpReply &reply);
    void execute(const ExecuteRequest &request, const HttpReply &reply);
    void replicate(const boost::json::object &body, const HttpReply &reply);
    void changeRole(bool isPromotion, const boost::json::object &body, const HttpReply &reply);
    void answer(std::uint64_t connection, const HttpReply &reply, const boost::json::object &response);
    void send(const HttpReply &reply, unsigned status, std::string body, Duration delay);
    void administrate(const HttpRequest &request, const HttpReply &reply);
    void applyFaults();
    void closeConnection(std::uint64_t connection);
    bool admitConnection(std::uint64_t connection);
    void after(Duration delay, std::function<void()> action);
    void tick();

    boost::asio::io_context &m_context;
    Member &m_member;
    Executor m_executor;
    std::optional<HttpServer> m_server;
    std::optional<HttpServer> m_adminServer;
    std::vector<HttpServer> m_retired; // Servers closed by the fault `refuse`.
    std::uint64_t m_generation = 0; // Number of the present server, in the upper bits of connection identifiers.
    std::set<std::uint64_t> m_known; // Connections whose cost of opening has been paid.
    std::set<std::uint64_t> m_sessions; // Connections that run statements.
    std::vector<std::function<void()>> m_stalled;
    std::vector<Waiting> m_followers;
    std::string m_lastAnswer; // Body of the last answer to a statement, for the fault `reordered`.
};

} // namespace waxwing::standin
