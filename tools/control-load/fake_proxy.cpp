#include "fake_proxy.h"

#include <stdexcept>
#include <utility>

namespace waxwing::control_load
{

namespace
{

constexpr Duration renewalInterval = 400ms;
constexpr int failureDomains = 3;

} // namespace

FakeProxy::FakeProxy(boost::asio::io_context &context, const std::string &name, std::string address, const LinkKey &key, Duration offset, LoadTotals &totals,
                     VersionSeen onVersion)
    : m_name(name)
    , m_address(std::move(address))
    , m_totals(totals)
    , m_onVersion(std::move(onVersion))
    , m_timer(context)
{
    auto link = MessageLink::start(context, {.name = name, .key = key}, [this](const LinkPeer &, wire::Envelope &&message) { receive(message); });
    if (!link) {
        throw std::runtime_error("can't start the link of " + name);
    }
    m_link = std::make_unique<MessageLink>(std::move(link.value()));
    m_link->dial(m_address);
    schedule(offset);
}

void FakeProxy::schedule(Duration delay)
{
    m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            renew();
            schedule(renewalInterval);
        }
    });
}

void FakeProxy::renew()
{
    wire::Envelope message;
    auto &renewal = *message.mutable_renewal();
    renewal.set_sequence(++m_sequence);
    renewal.set_proxy(m_name);
    renewal.set_incarnation(1);
    renewal.set_failure_domain("fd" + std::to_string(std::hash<std::string>()(m_name) % failureDomains));
    renewal.set_link_address("127.0.0.1:10000");
    renewal.set_caller_address("127.0.0.1:10001");
    renewal.set_config_version(m_configVersion);
    renewal.set_directory_version(m_directoryVersion);
    ++m_totals.renewals;
    m_totals.renewalBytes += message.ByteSizeLong();
    m_sentAt = Clock::now();
    m_link->send({LinkPeer::Kind::Dialed, m_address}, message);
}

void FakeProxy::receive(const wire::Envelope &message)
{
    if (!message.has_grant()) {
        return;
    }
    const auto &grant = message.grant();
    if (grant.sequence() == m_sequence) {
        ++m_totals.grants;
        m_totals.grantBytes += message.ByteSizeLong();
        m_totals.grantTime += Clock::now() - m_sentAt;
    } else if (grant.sequence() == 0) {
        ++m_totals.pushes;
        m_totals.pushBytes += message.ByteSizeLong();
    }
    m_directoryVersion = std::max(m_directoryVersion, grant.directory_version());
    if (grant.config_version() > m_configVersion) {
        m_configVersion = grant.config_version();
        m_onVersion(m_configVersion);
    }
}

} // namespace waxwing::control_load
