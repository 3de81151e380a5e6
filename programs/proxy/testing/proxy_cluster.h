#pragma once

#include "dispatcher.h"
#include "testing/fake_control.h"
#include "testing/fake_endpoint.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwing
{

/// @brief Two proxies, a control leader and the three databases of group `orders`, joined in memory on one thread.
class ProxyCluster
{
public:
    ProxyCluster()
    {
        for (const auto *name : {"orders-1", "orders-2", "orders-3"}) {
            endpoints.push_back(std::make_unique<FakeEndpoint>(context, name, "orders"));
        }
        endpoints[0]->isPrimary = true;
        control.resources = {resource("service", "shop", R"({"group":"orders","acknowledge":"primary"})", 1)};
        control.group.set_group("orders");
        control.group.set_term(1);
        control.group.set_primary("orders-1");
        control.group.set_owner("a");
        control.group.set_owner_epoch(1);
        for (const auto &endpoint : endpoints) {
            *control.group.add_members() = endpoint->announcement();
        }
        control.send = [this](const std::string &proxy, wire::Envelope &&message) {
            post(proxy, {LinkPeer::Kind::Dialed, "control"}, std::move(message));
        };
        for (const auto *name : {"a", "b"}) {
            addProxy(name);
        }
        for (const auto &[name, proxy] : proxies) {
            proxy->start();
        }
        runUntil([this] { return proxies["a"]->hasLease() && proxies["b"]->hasLease() && proxies["a"]->group("orders") != nullptr && isConnected(); });
    }

    static wire::ResourceChange resource(const std::string &kind, const std::string &name, const std::string &spec, std::uint64_t version)
    {
        wire::ResourceChange change;
        change.set_kind(kind);
        change.set_name(name);
        change.set_spec_json(spec);
        change.set_version(version);
        return change;
    }

    void addProxy(const std::string &name)
    {
        TokenKeyRing keys;
        keys.rotate(1, std::string(32, 'k'));
        Dispatcher::Options options {
            .name = name, .incarnation = 1, .failureDomain = "fd1", .linkAddress = "link-" + name, .controlAddresses = {"control"}, .seed = 7};
        proxies[name] = std::make_unique<Dispatcher>(context, options, std::move(keys), [this, name](const LinkPeer &to, const wire::Envelope &message) {
            route(name, to, message);
            return true;
        });
        wire::Peer peer;
        peer.set_proxy(name);
        peer.set_link_address("link-" + name);
        control.peers.push_back(peer);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        // Only ends a test that would hang; no verdict depends on how long a condition takes.
        const auto giveUp = Clock::now() + 60s;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition does not come about", Clock::now() < giveUp);
            context.run_one_for(10ms);
        }
    }

    bool isConnected()
    {
        return proxies["a"]->group("orders")->members().connected().count() == endpoints.size();
    }

    /// @brief Sends a statement; its answer arrives in the returned place.
    std::shared_ptr<std::optional<wire::StatementAnswer>> send(const std::string &proxy, wire::StatementRequest request)
    {
        auto place = std::make_shared<std::optional<wire::StatementAnswer>>();
        if (request.request_id().empty()) {
            request.set_request_id("request-" + std::to_string(++m_requests));
        }
        if (request.deadline_ms() == 0) {
            request.set_deadline_ms(30'000);
        }
        ++m_sent;
        proxies[proxy]->submit(std::move(request), [this, place](wire::StatementAnswer &&answer) {
            CPPUNIT_ASSERT_MESSAGE("a request is answered once", !place->has_value());
            ++m_answered;
            *place = std::move(answer);
        });
        return place;
    }

    wire::StatementAnswer ask(const std::string &proxy, const wire::StatementRequest &request)
    {
        const auto place = send(proxy, request);
        runUntil([&] { return place->has_value(); });
        return **place;
    }

    static wire::StatementRequest write(const std::string &statement, const std::string &session = {})
    {
        wire::StatementRequest request;
        request.set_service("shop");
        request.set_statement(statement);
        request.set_kind(wire::WRITE);
        request.set_session(session);
        request.set_freshness("session");
        return request;
    }

    static wire::StatementRequest read(const std::string &statement, const std::string &freshness, const std::string &session = {})
    {
        auto request = write(statement, session);
        request.set_kind(wire::READ);
        request.set_freshness(freshness);
        return request;
    }

    static wire::StatementRequest step(wire::ForwardAction action, const std::string &transaction, const std::string &statement = {})
    {
        auto request = write(statement);
        request.set_action(action);
        request.set_transaction(transaction);
        if (!transaction.empty()) {
            request.clear_service();
        }
        return request;
    }

    /// @brief Runs a proxy no longer: what is sent to it is not sent.
    void kill(const std::string &name)
    {
        m_dead.insert(name);
        control.renewals.erase(name);
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard = boost::asio::make_work_guard(context);
    FakeControl control;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::map<std::string, std::unique_ptr<Dispatcher>> proxies;

    std::size_t unanswered() const
    {
        return m_sent - m_answered;
    }

private:
    void route(const std::string &from, const LinkPeer &to, const wire::Envelope &message)
    {
        if (m_dead.contains(from)) {
            return;
        }
        if (to.id == "control") {
            boost::asio::post(context, [this, from, message] { control.receive(from, message); });
            return;
        }
        const auto name = to.kind == LinkPeer::Kind::Accepted ? to.id : to.id.substr(std::string_view("link-").size());
        if (m_dead.contains(name)) {
            boost::asio::post(context, [this, from, to, copy = wire::Envelope(message)]() mutable { proxies[from]->onNotSent(to, std::move(copy)); });
            return;
        }
        const auto sender = to.kind == LinkPeer::Kind::Accepted ? LinkPeer {LinkPeer::Kind::Dialed, "link-" + from} : LinkPeer {LinkPeer::Kind::Accepted, from};
        post(name, sender, wire::Envelope(message));
    }

    void post(const std::string &proxy, const LinkPeer &from, wire::Envelope &&message)
    {
        boost::asio::post(context, [this, proxy, from, bytes = message.SerializeAsString()] {
            wire::Envelope received;
            if (!m_dead.contains(proxy) && received.ParseFromString(bytes)) { // as the link does
                proxies[proxy]->receive(from, std::move(received));
            }
        });
    }

    std::set<std::string> m_dead;
    std::size_t m_requests = 0;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
};

} // namespace waxwing
