#pragma once

#include <waxwing/support/identifier.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Database of a test: answers statements and probes as it is told to.
class FakeEndpoint
{
public:
    /// @brief What happens to the next statements.
    enum class Behaviour {
        Answer,
        Hold, ///< answers when release() is called
        Tear, ///< loses half of the result
        AnswerOther, ///< answers with the correlation id of another request
        Drop, ///< closes the connection after the statement arrived
        Reject, ///< with `rejectReason`
    };

    FakeEndpoint(boost::asio::io_context &context, std::string name, std::string group)
        : m_name(std::move(name))
        , m_group(std::move(group))
        , m_server(std::move(
              HttpServer::start(context, {.listen = "127.0.0.1:0"}, [this](HttpRequest &&request, const HttpReply &reply) { handle(request, reply); }).value()))
    {
    }

    wire::Announcement announcement() const
    {
        wire::Announcement announcement;
        announcement.set_address("127.0.0.1:" + std::to_string(m_server.port()));
        announcement.set_database(m_name);
        announcement.set_group(m_group);
        announcement.set_primary(isPrimary);
        announcement.set_term(term);
        announcement.set_position(position);
        announcement.set_slots(slots);
        announcement.set_connections(20);
        announcement.set_failure_domain("fd1");
        return announcement;
    }

    /// Answers the statements that were held.
    void release()
    {
        for (auto &[request, reply] : std::exchange(m_held, {})) {
            answer(request, reply);
        }
    }

    std::size_t held() const
    {
        return m_held.size();
    }

    Behaviour behaviour = Behaviour::Answer;
    std::string rejectReason = "no-slot";
    bool isPrimary = false;
    bool isSilent = false; ///< answers no probe
    std::uint64_t term = 1;
    std::uint64_t position = 10;
    std::uint32_t slots = 3;
    std::vector<std::string> ran; ///< statements that ran, oldest first
    std::set<std::uint64_t> transactions; ///< connections with an open transaction

private:
    void handle(const HttpRequest &request, const HttpReply &reply)
    {
        if (request.target == "/v1/status") {
            if (!isSilent) {
                reply.send({.body = boost::json::serialize(boost::json::object {{"database", m_name},
                                                                                {"group", m_group},
                                                                                {"role", isPrimary ? "primary" : "replica"},
                                                                                {"term", term},
                                                                                {"term_start", 0},
                                                                                {"position", position},
                                                                                {"slots", slots},
                                                                                {"connections", 20},
                                                                                {"running", 0}})});
            }
        } else if (behaviour == Behaviour::Hold) {
            m_held.emplace_back(request, reply);
        } else if (behaviour == Behaviour::Drop) {
            run(request);
            m_server.close(request.connection);
        } else {
            answer(request, reply);
        }
    }

    std::string run(const HttpRequest &request)
    {
        const auto body = boost::json::parse(request.body).as_object();
        if (request.target != "/v1/execute") {
            if (request.target == "/v1/begin") {
                transactions.insert(request.connection);
            } else {
                transactions.erase(request.connection);
            }
            return {};
        }
        const std::string statement(body.at("statement").as_string());
        ran.push_back(statement);
        if (body.at("kind") == "write") {
            ++position;
            return {};
        }
        return "value of " + statement.substr(statement.find(' ') + 1);
    }

    void answer(const HttpRequest &request, const HttpReply &reply)
    {
        const auto body = boost::json::parse(request.body).as_object();
        std::string result;
        const bool isRejected = behaviour == Behaviour::Reject || body.at("term").to_number<std::uint64_t>() < term;
        if (!isRejected) {
            result = run(request);
        }
        const auto checksum = toHex(hash64(result));
        if (behaviour == Behaviour::Tear) {
            result = result.empty() ? "x" : result.substr(0, result.size() / 2);
        }
        reply.send({.status = isRejected ? 409U : 200U,
                    .body = boost::json::serialize(boost::json::object {
                        {"correlation_id", behaviour == Behaviour::AnswerOther ? "other" : std::string(body.at("correlation_id").as_string())},
                        {"outcome", isRejected ? "rejected" : "done"},
                        {"reason",
                         !isRejected                          ? ""
                             : behaviour == Behaviour::Reject ? rejectReason
                                                              : "wrong-term"},
                        {"term", term},
                        {"position", position},
                        {"result", result},
                        {"rows", 1},
                        {"checksum", checksum}})});
    }

    std::string m_name;
    std::string m_group;
    std::vector<std::pair<HttpRequest, HttpReply>> m_held;
    HttpServer m_server;
};

} // namespace waxwing
