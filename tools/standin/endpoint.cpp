#include "endpoint.h"

#include "member.h"
#include "replicator.h"

#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <memory>
#include <utility>

namespace waxwing::standin
{

namespace json = boost::json;

namespace
{

constexpr auto followerWait = 100ms; // Answers at least this often, so that a change of terms reaches followers.
constexpr auto tickInterval = 5ms;
constexpr unsigned generationShift = 48;
constexpr std::size_t maxServerConnections = 2000; // Probes and replication included; the limit of the database is checked separately.

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool isTrue(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

unsigned statusOf(const json::object &response)
{
    const auto *outcome = response.if_contains("outcome");
    return outcome != nullptr && *outcome == "rejected" ? 409 : 200;
}

} // namespace

Endpoint::Endpoint(boost::asio::io_context &context, Member &member)
    : m_context(context)
    , m_member(member)
    , m_executor(member)
{
}

bool Endpoint::start()
{
    if (!listen()) {
        return false;
    }
    if (!m_member.options.adminListen.empty()) {
        auto server = HttpServer::start(m_context, {.listen = m_member.options.adminListen},
                                        [this](HttpRequest &&request, const HttpReply &reply) { administrate(request, reply); });
        if (!server) {
            return false;
        }
        m_adminServer.emplace(std::move(server.value()));
    }
    tick();
    return true;
}

bool Endpoint::listen()
{
    HttpServerOptions options {.listen = m_member.options.listen, .maxConnections = maxServerConnections};
    // Connections of a retired server keep other identifiers than those of the present one.
    const auto base = ++m_generation << generationShift;
    options.onClose = [this, base](std::uint64_t identifier) {
        const auto connection = base | identifier;
        m_known.erase(connection);
        m_sessions.erase(connection);
        m_executor.connectionClosed(connection);
    };
    auto server = HttpServer::start(m_context, std::move(options), [this, base](HttpRequest &&request, const HttpReply &reply) {
        request.connection |= base;
        receive(std::move(request), reply);
    });
    if (!server) {
        return false;
    }
    m_server.emplace(std::move(server.value()));
    return true;
}

void Endpoint::notifyFollowers()
{
    const auto now = Clock::now();
    std::erase_if(m_followers, [this, now](const Waiting &waiting) {
        auto response = Replicator::serve(m_member, waiting.request);
        if (!response && now < waiting.deadline) {
            return false;
        }
        send(waiting.reply, 200, json::serialize(response.value_or(json::object {{"outcome", "rejected"}, {"reason", "nothing-new"}})), 0ms);
        return true;
    });
}

void Endpoint::receive(HttpRequest &&request, const HttpReply &reply)
{
    if (m_member.faults.isSet("cut_all")) {
        m_member.faults.count("cut_all");
        return; // No response: packets of a cut network are lost.
    }
    const bool isReplication = request.target == "/v1/replicate";
    auto delay = isReplication ? Duration(0) : m_member.options.latency;
    if (m_known.insert(request.connection).second && !isReplication) {
        delay += m_member.options.connectCost;
    }
    auto action = [this, request = std::move(request), reply] {
        dispatch(request, reply);
    };
    if (delay > 0ms) {
        after(delay, std::move(action));
    } else {
        action();
    }
}

void Endpoint::dispatch(const HttpRequest &request, const HttpReply &reply)
{
    if (m_member.faults.isSet("stall")) {
        m_member.faults.count("stall");
        m_stalled.emplace_back([this, request, reply] { dispatch(request, reply); });
        return;
    }
    if (request.method == "GET" && request.target == "/v1/status") {
        answer(request.connection, reply, m_member.status());
        return;
    }
    boost::system::error_code error;
    const auto body = json::parse(request.body, error);
    if (request.method != "POST" || error || !body.is_object()) {
        send(reply, 400, R"({"outcome":"rejected","reason":"invalid-request"})", m_member.options.latency);
        return;
    }
    handle(request, body.as_object(), reply);
}

void Endpoint::handle(const HttpRequest &request, const json::object &body, const HttpReply &reply)
{
    if (request.target == "/v1/replicate") {
        replicate(body, reply);
        return;
    }
    if (request.target == "/v1/promote" || request.target == "/v1/follow") {
        changeRole(request.target == "/v1/promote", body, reply);
        return;
    }
    ExecuteRequest execute;
    execute.correlation = body.contains("correlation_id") ? body.at("correlation_id") : json::value();
    execute.term = numberOf(body, "term");
    execute.statement = textOf(body, "statement");
    execute.isWrite = textOf(body, "kind") == "write";
    execute.isInTransaction = isTrue(body, "transaction");
    execute.connection = request.connection;
    if (!admitConnection(request.connection)) {
        answer(request.connection, reply,
               {{"correlation_id", execute.correlation}, {"outcome", "rejected"}, {"reason", "too-many-connections"}, {"term", 0}, {"position", 0}});
    } else if (request.target == "/v1/execute") {
        this->execute(execute, reply);
    } else if (request.target == "/v1/begin") {
        answer(request.connection, reply, m_executor.begin(execute));
    } else if (request.target == "/v1/commit") {
        answer(request.connection, reply, m_executor.commit(execute));
        notifyFollowers();
    } else if (request.target == "/v1/rollback") {
        answer(request.connection, reply, m_executor.rollback(execute));
    } else {
        send(reply, 404, R"({"outcome":"rejected","reason":"unknown-target"})", m_member.options.latency);
    }
}

void Endpoint::execute(const ExecuteRequest &request, const HttpReply &reply)
{
    Statement statement;
    if (const auto rejection = m_executor.start(request, statement)) {
        answer(request.connection, reply, *rejection);
        return;
    }
    const auto factor = m_member.faults.slowFactor();
    if (factor > 1) {
        m_member.faults.count("slow_factor");
    }
    const auto cost = statement.cost.value_or(m_member.options.statementCost);
    // A statement runs to its end even if its caller goes away.
    after(Duration(static_cast<Duration::rep>(static_cast<double>(cost.count()) * factor)), [this, request, statement, reply] {
        answer(request.connection, reply, m_executor.finish(request, statement));
        notifyFollowers();
    });
}

void Endpoint::replicate(const json::object &body, const HttpReply &reply)
{
    if (m_member.faults.isSet("cut_group")) {
        m_member.faults.count("cut_group");
        return;
    }
    if (const auto response = Replicator::serve(m_member, body)) {
        send(reply, 200, json::serialize(*response), 0ms);
        return;
    }
    m_followers.push_back({.request = body, .reply = reply, .deadline = Clock::now() + followerWait});
}

void Endpoint::changeRole(bool isPromotion, const json::object &body, const HttpReply &reply)
{
    const auto term = numberOf(body, "term");
    const bool isAccepted = isPromotion ? m_member.promote(term) : m_member.follow(term, textOf(body, "primary"));
    const auto &database = m_member.database;
    json::object response {{"outcome", isAccepted ? "done" : "rejected"},
                           {"reason", isAccepted ? "" : "wrong-term"},
                           {"term", isAccepted ? term : database.fence()},
                           {"position", database.position()}};
    if (isPromotion && isAccepted) {
        response["position"] = database.termStart();
    }
    send(reply, statusOf(response), json::serialize(response), m_member.options.latency);
}

void Endpoint::answer(std::uint64_t connection, const HttpReply &reply, const json::object &response)
{
    auto body = json::serialize(response);
    auto delay = m_member.options.latency;
    if (response.contains("correlation_id")) {
        auto &faults = m_member.faults;
        const auto previous = std::exchange(m_lastAnswer, body);
        if (faults.happens("drop")) {
            closeConnection(connection);
            return;
        }
        if (!previous.empty() && faults.happens("reordered")) {
            body = previous;
        }
        if (faults.happens("torn")) {
            auto torn = response;
            const auto result = response.contains("result") ? std::string(response.at("result").as_string()) : std::string();
            // Half of the text is lost: of the result if there is one, so that only the checksum tells; otherwise of the message.
            torn["result"] = result.substr(0, result.size() / 2);
            body = result.empty() ? body.substr(0, body.size() / 2) : json::serialize(torn);
        }
        if (faults.happens("late")) {
            delay += faults.lateBy();
        }
    }
    send(reply, statusOf(response), std::move(body), delay);
}

void Endpoint::send(const HttpReply &reply, unsigned status, std::string body, Duration delay)
{
    auto action = [this, reply, status, body = std::move(body)]() mutable {
        if (!m_member.faults.isSet("cut_all")) {
            reply.send({.status = status, .body = std::move(body)});
        }
    };
    if (delay > 0ms) {
        after(delay, std::move(action));
    } else {
        action();
    }
}

void Endpoint::administrate(const HttpRequest &request, const HttpReply &reply)
{
    if (request.method == "POST" && request.target == "/admin/faults") {
        boost::system::error_code parseError;
        const auto body = json::parse(request.body, parseError);
        const auto error = parseError || !body.is_object() ? std::optional<std::string>("not a JSON object") : m_member.faults.set(body.as_object());
        if (error) {
            reply.send({.status = 400, .body = json::serialize(json::object {{"error", *error}})});
            return;
        }
        m_member.history.record("faults", {{"set", body}});
        applyFaults();
    }
    auto report = m_member.faults.report();
    auto status = m_member.status();
    status["fence"] = m_member.database.fence();
    status["leaving"] = m_member.isAnnouncedLeaving;
    report["status"] = std::move(status);
    reply.send({.body = json::serialize(report)});
}

void Endpoint::applyFaults()
{
    auto &faults = m_member.faults;
    if (faults.isSet("refuse") && m_server) {
        faults.count("refuse");
        m_followers.clear();
        m_server->drain();
        for (const auto connection : std::set(m_known)) {
            closeConnection(connection);
        }
        m_server->closeIdle();
        // Kept until the end: a destroyed server is still used by a pending accept while one of its connections is open.
        m_retired.push_back(std::move(*m_server));
        m_server.reset();
    } else if (!faults.isSet("refuse") && !m_server) {
        listen();
    }
    if (!faults.isSet("stall")) {
        for (const auto &action : std::exchange(m_stalled, {})) {
            action();
        }
    }
}

void Endpoint::closeConnection(std::uint64_t connection)
{
    if (m_server && connection >> generationShift == m_generation) {
        m_server->close(connection & ((std::uint64_t(1) << generationShift) - 1));
    }
}

bool Endpoint::admitConnection(std::uint64_t connection)
{
    if (m_sessions.contains(connection)) {
        return true;
    }
    if (m_sessions.size() >= m_member.options.connections) {
        m_member.history.record("reject", {{"reason", "too-many-connections"}});
        return false;
    }
    m_sessions.insert(connection);
    return true;
}

void Endpoint::after(Duration delay, std::function<void()> action)
{
    // Shared with the pending wait, which outlives this call.
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

void Endpoint::tick()
{
    notifyFollowers();
    after(tickInterval, [this] { tick(); });
}

} // namespace waxwing::standin
