#pragma once

#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace waxwing
{

/// @brief Control of a benchmark: makes each proxy that asks the owner of one group with one database.
class BenchControl
{
public:
    BenchControl(boost::asio::io_context &context, const std::string &listen, const std::string &endpoint, unsigned slots)
        : m_endpoint(endpoint)
        , m_slots(slots)
    {
        auto link = MessageLink::start(context, {.name = "control", .listen = listen},
                                       [this](const LinkPeer &from, wire::Envelope &&message) { receive(from, message); });
        if (link) {
            m_link.emplace(std::move(link.value()));
        }
    }

    bool isListening() const
    {
        return m_link.has_value();
    }

    /// Number of renewals received.
    std::size_t renewals = 0;

private:
    void receive(const LinkPeer &from, const wire::Envelope &message)
    {
        if (!message.has_renewal()) {
            return;
        }
        ++renewals;
        wire::Envelope reply;
        auto &grant = *reply.mutable_grant();
        grant.set_sequence(message.renewal().sequence());
        grant.set_lease_ms(1'200);
        grant.set_control_term(1);
        grant.set_config_version(1);
        auto &service = *grant.add_resources();
        service.set_kind("service");
        service.set_name("bench");
        service.set_version(1);
        service.set_spec_json(R"({"group":"bench","acknowledge":"primary"})");
        grant.set_directory_version(1);
        grant.set_directory_full(true);
        auto &group = *grant.add_groups();
        group.set_group("bench");
        group.set_term(1);
        group.set_primary("bench-1");
        group.set_owner(message.renewal().proxy());
        group.set_owner_epoch(1);
        auto &member = *group.add_members();
        member.set_database("bench-1");
        member.set_group("bench");
        member.set_address(m_endpoint);
        member.set_primary(true);
        member.set_term(1);
        member.set_slots(m_slots);
        member.set_connections(m_slots + 8);
        m_link->send(from, reply);
    }

    std::string m_endpoint;
    unsigned m_slots;
    std::optional<MessageLink> m_link;
};

} // namespace waxwing
