#include "session_control.h"

#include "session_status.h"

#include <waxwing/platform/control_calls.h>
#include <waxwing/state/compression.h>
#include <waxwing/state/message_bytes.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <algorithm>
#include <utility>

namespace waxwing::control
{

namespace
{

// A new leader knows every database after one heartbeat interval, plus a quarter of it for the transfer.
constexpr double directoryCollectionIntervals = 1.25;

// Shortest time between directories in which only holders differ. While proxies restart one after another, each sends the
// directory to all others.
constexpr Duration holdersInterval = 200ms;

// An election takes less; a proxy that asked earlier has asked another member since.
constexpr Duration maxWaitingAge = 2s;
// Renewals of all proxies together are answered at this spacing, which leaves most of a small VM's processor time to the log. The
// longest interval leaves a lease of 2 s the time for an election and a search.
constexpr Duration renewalSpacing = 4ms;
constexpr Duration minRenewalInterval = 400ms;
constexpr Duration maxRenewalInterval = 800ms;
constexpr double rateMillis = 1000; // rates are sent in thousandths of an operation a second
constexpr Duration ignoredLogInterval = 5s; // another writer may repeat its heartbeats for as long as it runs
constexpr Duration recordInterval = 200ms; // between attempts at records that an overloaded log refused
constexpr Duration firstCopiesLogInterval = 1s; // a new configuration goes to all proxies within milliseconds
// A proxy states a configuration as soon as it is in force, and once in a renewal interval at least.
constexpr Duration lateConfirmation = 1s;

} // namespace

SessionControl::SessionControl(boost::asio::io_context &context, Options options, const SessionsMachine &machine, SessionControlPorts ports)
    : m_options(std::move(options))
    , m_machine(machine)
    , m_ports(std::move(ports))
    , m_leases(m_options.leases)
    , m_rates(m_options.rates)
    , m_beats([this](const std::string &member, const wire::PoolEnvelope &message) { m_ports.sendToMember(member, message); })
    , m_sendDirectly(std::exchange(m_ports.sendToProxy, [this](const std::string &proxy, const wire::PoolEnvelope &message) { sendToProxy(proxy, message); }))
    , m_supervisor(context, PrimarySupervisor::State {m_machine, m_directory, m_leases, m_holders}, m_ports, m_options.primaries,
                   [this] { m_directoryChanged = true; })
{
}

void SessionControl::handleMessage(const std::string &from, const wire::PoolEnvelope &message)
{
    updateLeadership();
    if (message.has_beat()) {
        handleBeat(from, message.beat());
    } else if (message.has_beat_answer()) {
        m_beats.receive(message.beat_answer());
    } else if (message.has_relay()) {
        handleRelay(from, message.relay());
    } else if (m_active) {
        setPath(from, {});
        handleProxy(from, message);
    } else {
        forwardProxy(from, message);
    }
}

void SessionControl::handleBeat(const std::string &from, const wire::PoolBeat &beat)
{
    if (!m_active) {
        return;
    }
    const auto answer = [this, from, correlation = beat.correlation(), incarnation = beat.incarnation()](bool recorded) {
        wire::PoolEnvelope message;
        message.mutable_beat_answer()->set_correlation(correlation);
        message.mutable_beat_answer()->set_incarnation(incarnation);
        message.mutable_beat_answer()->set_recorded(recorded);
        m_ports.sendToMember(from, message);
    };
    if (beat.member().leaving()) {
        handleDeregistration(beat.member(), answer);
        return;
    }
    handleHeartbeat(beat.member());
    if (beat.correlation() != 0) {
        answer(true);
    }
}

void SessionControl::handleProxy(const std::string &proxy, const wire::PoolEnvelope &message)
{
    if (message.has_renewal()) {
        handleRenewal(proxy, message.renewal());
    } else if (message.has_withdrawn()) {
        m_supervisor.confirmWithdrawal(message.withdrawn());
    }
}

void SessionControl::forwardProxy(const std::string &proxy, const wire::PoolEnvelope &message)
{
    const auto leader = m_ports.log.leaderHint();
    const bool leaderOutOfReach = message.has_withdrawn() || (message.has_renewal() && message.renewal().unreachable_leader() == leader);
    if (message.has_renewal()) {
        m_proxiesAwaitingLeader[proxy] = Clock::now();
        if (leader.empty()) {
            m_referredLeader.clear(); // the former leader may be elected again
        }
    }
    if (!leader.empty() && leaderOutOfReach) {
        wire::PoolEnvelope relay;
        relay.mutable_relay()->set_proxy(proxy);
        *relay.mutable_relay()->mutable_content() = message;
        m_ports.sendToMember(leader, relay);
    } else if (message.has_renewal()) {
        referToLeader(proxy);
    }
}

void SessionControl::handleRelay(const std::string &from, const wire::PoolRelay &relay)
{
    const auto &content = relay.content();
    if (!content.has_renewal() && !content.has_withdrawn()) {
        m_sendDirectly(relay.proxy(), content); // from the leader
    } else if (m_active) {
        setPath(relay.proxy(), from);
        handleProxy(relay.proxy(), content);
    }
}

void SessionControl::setPath(const std::string &proxy, const std::string &member)
{
    const auto found = m_relayMembers.find(proxy);
    if (member == (found == m_relayMembers.end() ? std::string() : found->second)) {
        return;
    }
    if (member.empty()) {
        m_relayMembers.erase(found);
    } else {
        if (found == m_relayMembers.end()) {
            log::write(log::Level::Info, "proxy reached through another member", {{"proxy", proxy}, {"member", member}});
        }
        m_relayMembers[proxy] = member;
    }
    if (const auto known = m_leases.proxies().find(proxy); known != m_leases.proxies().end()) {
        known->second.configuration.recordPath(m_messageNumber + 1);
    }
}

void SessionControl::handleNotSent(const std::string &to, const wire::PoolEnvelope &message)
{
    const auto &content = message.has_relay() ? message.relay().content() : message;
    const auto proxy = m_leases.proxies().find(message.has_relay() ? message.relay().proxy() : to);
    const auto &grant = content.grant();
    const bool hasConfiguration = content.has_grant() && !(grant.document().empty() && grant.compressed_document().empty());
    if (m_active && hasConfiguration && proxy != m_leases.proxies().end()) {
        proxy->second.configuration.recordLost(grant.config_version(), Clock::now());
    }
}

void SessionControl::sendToProxy(const std::string &proxy, const wire::PoolEnvelope &message)
{
    const auto member = m_relayMembers.find(proxy);
    if (!m_active || member == m_relayMembers.end()) {
        m_sendDirectly(proxy, message);
        return;
    }
    wire::PoolEnvelope relay;
    relay.mutable_relay()->set_proxy(proxy);
    *relay.mutable_relay()->mutable_content() = message;
    if (message.has_grant()) {
        relay.mutable_relay()->mutable_content()->mutable_grant()->set_relayed(true);
    }
    m_ports.sendToMember(member->second, relay);
}

void SessionControl::referToLeader(const std::string &proxy)
{
    wire::PoolEnvelope reply;
    reply.mutable_not_leader()->set_leader(m_ports.log.leaderHint());
    m_ports.sendToProxy(proxy, reply);
}

void SessionControl::referWaitingProxies(TimePoint now)
{
    for (const auto &[proxy, renewedAt] : std::exchange(m_proxiesAwaitingLeader, {})) {
        if (now - renewedAt < maxWaitingAge) {
            referToLeader(proxy);
        }
    }
}

void SessionControl::followLeader()
{
    if (m_proxiesAwaitingLeader.empty()) {
        return;
    }
    // Without this, proxies that asked during an election would search on, one member at a time.
    const auto leader = m_ports.log.leaderHint();
    if (leader.empty() || leader == m_referredLeader) {
        return;
    }
    m_referredLeader = leader;
    referWaitingProxies(Clock::now());
}

void SessionControl::updateLeadership()
{
    const bool leads = m_ports.log.isLeader();
    if (m_active || m_activating) {
        if (!leads || (m_active && m_ports.log.term() != m_term)) {
            deactivate();
        }
    }
    if (!leads || m_active || m_activating) {
        return;
    }
    m_activating = true;
    // The state machine may lack committed entries of earlier leaders until a read is confirmed.
    m_ports.log.read([this, generation = m_generation](LogReply &&reply) {
        if (generation != m_generation) {
            return;
        }
        m_activating = false;
        if (reply.failure == LogFailure::None) {
            activate();
        }
    });
}

void SessionControl::activate()
{
    ++m_generation;
    m_active = true;
    m_term = m_ports.log.term();
    m_activeSince = Clock::now();
    m_numberedDirectory.reset(m_term);
    m_directory.clear();
    m_leases.reset(m_activeSince, m_machine.proxies());
    m_rates.reset();
    m_limitedWorkspaces.clear();
    m_firstStart = m_machine.proxies().empty();
    m_departingProxies.clear();
    m_refusedRecords.clear();
    m_relayMembers.clear();
    m_holders.clear();
    m_holderInputs = {};
    m_holdersPending = false;
    m_supervisor.reset(true);
    applyConfig();
    m_entryApplied = true;
    // The databases that earlier leaders recorded are used until heartbeats replace them; those without heartbeats expire as usual.
    for (const auto &[id, member] : m_machine.members()) {
        if (platform::isUsable(member)) {
            m_directory.applyHeartbeat(member, m_activeSince);
        } else {
            ignoreHeartbeat("recorded-not-usable");
        }
    }
    referWaitingProxies(m_activeSince);
    Metrics::instance().gauge("waxwing_control_leader").set(1);
    log::write(log::Level::Info, "leading", {{"term", m_term}, {"version", m_machine.version()}, {"services", m_machine.services().size()}});
}

void SessionControl::deactivate()
{
    ++m_generation;
    if (m_active) {
        log::write(log::Level::Warning, "no longer leading", {{"term", m_term}, {"version", m_machine.version()}});
    }
    m_active = false;
    m_activating = false;
    m_supervisor.reset(false);
    Metrics::instance().gauge("waxwing_control_leader").set(0);
}

bool SessionControl::isDirectoryComplete(TimePoint now) const
{
    return now - m_activeSince >= std::chrono::duration_cast<Duration>(m_options.heartbeat * directoryCollectionIntervals);
}

void SessionControl::tick()
{
    updateLeadership();
    m_beats.tick(Clock::now());
    if (!m_active) {
        followLeader();
        return;
    }
    const auto now = Clock::now();
    for (const auto &proxy : m_leases.expire(now)) {
        log::write(log::Level::Info, "lease of a proxy ended", {{"proxy", proxy}});
        m_rates.remove(proxy);
        m_departingProxies.insert(proxy);
        recordProxy(proxy, true, [](LogReply &&) {});
    }
    for (const auto &entry : m_directory.expire(now)) {
        log::write(log::Level::Warning, "database silent, removed",
                   {{"database", entry.member.id()}, {"service", entry.member.service()}, {"silent_ms", toMilliseconds(now - entry.lastHeartbeat).count()}});
        wire::PoolMember gone = entry.member;
        gone.set_leaving(true);
        recordDatabase(gone, true);
        m_directoryChanged = true;
    }
    recordRefused(now);
    if (std::exchange(m_entryApplied, false)) {
        applyConfig();
        m_directoryChanged = true;
    }
    updateHolders(now);
    m_supervisor.tick(now, isDirectoryComplete(now));
    const bool known = isDirectoryComplete(now) || !m_machine.members().empty();
    if (known && m_directoryChanged) {
        numberDirectory(now);
    }
    pushUpdates(now);
    reportSentConfigurations(now);
}

void SessionControl::updateHolders(TimePoint now)
{
    const HolderInputs inputs {m_leases.changes(), m_config.version, m_machine.proxies().size(), m_leases.isComplete(now)};
    if (inputs == m_holderInputs) {
        return;
    }
    m_holderInputs = inputs;
    std::vector<ConnectionHolders::Proxy> proxies;
    for (const auto &[name, proxy] : m_leases.proxies()) {
        proxies.push_back({name, proxy.link, proxy.failureDomain, proxy.draining});
    }
    std::map<std::string, std::size_t, std::less<>> limits;
    for (const auto &[name, service] : m_config.services) {
        limits[name] = service.maxConnections;
    }
    // The proxies of an earlier leader renew within one interval; until then, the holders that it chose remain in use.
    const auto expected = std::max(proxies.size(), m_machine.proxies().size());
    // At a first start nothing tells how many proxies there are.
    const bool pending = !m_leases.isComplete(now) && (m_firstStart || m_holders.needsHolders(expected, limits));
    if (std::exchange(m_holdersPending, pending) != pending) {
        m_directoryChanged = true;
    }
    if (!pending && m_holders.update(proxies, limits)) {
        m_directoryChanged = true;
        for (const auto &name : m_holders.changedServices()) {
            const auto holders = m_holders.holders(name);
            const auto limit = limits.find(name);
            log::write(log::Level::Info, "holders changed",
                       {{"service", name},
                        {"proxies", proxies.size()},
                        {"limit", limit == limits.end() ? 0 : limit->second},
                        {"holders", holders.size()},
                        {"connections", holders.empty() ? 0 : holders.front().connections}});
        }
    }
}

void SessionControl::applyConfig()
{
    if (m_machine.version() == m_config.version) {
        return;
    }
    auto decoded = platform::decodeConfig(m_machine.document());
    if (!decoded.errors.empty()) {
        log::write(log::Level::Error, "stored configuration not readable", {{"version", m_machine.version()}, {"problem", decoded.errors.front()}});
        return;
    }
    m_config = std::move(decoded.config);
    std::map<std::string, RateShares::Limit, std::less<>> limits;
    for (const auto &[name, workspace] : m_config.workspaces) {
        limits[name] = {workspace.operationsPerSecond, workspace.burst};
    }
    m_rates.setLimits(std::move(limits));
}

void SessionControl::handleRenewal(const std::string &proxy, const wire::PoolRenewal &renewal)
{
    const auto now = Clock::now();
    const auto known = m_leases.proxies().find(proxy);
    const auto before = known == m_leases.proxies().end() ? ContentDelivery() : known->second.configuration;
    auto &renewed = m_leases.renew(renewal, now);
    if (renewal.received_term() == m_term) {
        renewed.configuration.recordReceived(renewal.received_number(), now);
    }
    logLateConfirmation(proxy, before, renewed.configuration.held(), now);
    m_supervisor.report(proxy, renewal, now);
    if (m_config.hasWorkspaces) {
        std::vector<RateDemand> demands;
        for (const auto &rate : renewal.rates()) {
            demands.push_back({rate.workspace(), static_cast<double>(rate.demand_millis()) / rateMillis, static_cast<double>(rate.held_millis()) / rateMillis});
        }
        m_rates.renew(proxy, renewal.incarnation(), renewal.rates_term() == m_term ? renewal.rates_number() : 0, demands);
    }
    auto grantOnSuccess = [this, generation = m_generation, proxy, incarnation = renewal.incarnation(), sequence = renewal.sequence()](LogReply &&reply) {
        if (generation == m_generation && reply.failure == LogFailure::None) {
            grant(proxy, incarnation, sequence);
        }
    };
    // A later leader must know of the lease, so the proxy is recorded first. A removal that was already proposed may be applied
    // after this renewal, so such a proxy is recorded again.
    if (m_machine.proxies().contains(proxy) && !m_departingProxies.contains(proxy)) {
        m_ports.log.read(std::move(grantOnSuccess));
        return;
    }
    recordProxy(proxy, false, [this, proxy, grantOnSuccess = std::move(grantOnSuccess)](LogReply &&reply) {
        if (reply.failure == LogFailure::None) {
            m_departingProxies.erase(proxy);
        }
        grantOnSuccess(std::move(reply));
    });
}

void SessionControl::recordProxy(const std::string &proxy, bool gone, LogPort::Handler handler)
{
    wire::SessionsCommand command;
    command.mutable_set_proxy()->set_proxy(proxy);
    command.mutable_set_proxy()->set_gone(gone);
    m_ports.log.propose(encodeMessage(command), std::move(handler));
}

void SessionControl::grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence)
{
    const auto found = m_leases.proxies().find(proxy);
    if (found == m_leases.proxies().end() || found->second.incarnation != incarnation) {
        return;
    }
    const auto now = Clock::now();
    // A lease must not be granted with a directory that lacks a primary change which was already applied.
    if (m_numberedDirectory.isAssigned() && std::exchange(m_entryApplied, false)) {
        applyConfig();
        numberDirectory(now);
    }
    m_leases.grant(proxy, now);
    wire::PoolEnvelope message;
    auto &content = *message.mutable_grant();
    content.set_sequence(sequence);
    content.set_incarnation(incarnation);
    content.set_lease_ms(static_cast<std::uint32_t>(toMilliseconds(m_leases.options().lease).count()));
    content.set_renew_after_ms(static_cast<std::uint32_t>(toMilliseconds(renewalInterval()).count()));
    fillGrant(proxy, found->second, content, now);
    fillRates(proxy, content, now);
    m_ports.sendToProxy(proxy, message);
}

void SessionControl::fillRates(const std::string &proxy, wire::PoolGrant &grant, TimePoint now)
{
    if (!m_config.hasWorkspaces) {
        return;
    }
    grant.set_has_rates(true);
    for (const auto &share : m_rates.grant(proxy, grant.number(), m_leases.knownPart(now), now)) {
        auto &rate = *grant.add_rates();
        rate.set_workspace(share.workspace);
        rate.set_rate_millis(static_cast<std::uint64_t>(share.rate * rateMillis));
        rate.set_burst(share.burst);
        rate.set_credit(share.credit);
        rate.set_limited(share.isLimited);
        const auto known = m_limitedWorkspaces.find(share.workspace);
        if (share.isLimited == (known != m_limitedWorkspaces.end())) {
            continue;
        }
        if (share.isLimited) {
            m_limitedWorkspaces.insert(share.workspace);
        } else {
            m_limitedWorkspaces.erase(known);
        }
        log::write(log::Level::Info, share.isLimited ? "workspace beyond its rate limit" : "workspace within its rate limit again",
                   {{"workspace", share.workspace}, {"demand", m_rates.demand(share.workspace)}, {"in_force", m_rates.inForce(share.workspace)}});
    }
}

Duration SessionControl::renewalInterval() const
{
    return std::clamp(renewalSpacing * static_cast<int>(m_leases.proxies().size()), minRenewalInterval, maxRenewalInterval);
}

void SessionControl::fillGrant(const std::string &name, SessionLeases::Proxy &proxy, wire::PoolGrant &grant, TimePoint now)
{
    grant.set_control_term(m_term);
    grant.set_number(++m_messageNumber);
    grant.set_config_version(m_machine.version());
    grant.set_share_permille(m_leases.share(proxy));
    if (proxy.configuration.isDue(m_machine.version(), now)) {
        if (proxy.takesCompressed && !compressedDocument().empty()) {
            grant.set_compressed_document(compressedDocument());
        } else {
            grant.set_document(m_machine.document());
        }
        const bool isLost = proxy.configuration.isLost();
        proxy.configuration.recordSent(m_machine.version(), now, grant.number());
        logSentConfiguration(name, proxy.configuration, isLost, now);
    }
    m_numberedDirectory.fill(grant, {proxy.directoryVersion, proxy.contentHash, proxy.databasesHash, proxy.takesChanges});
    if (m_numberedDirectory.isAssigned()) {
        proxy.directoryVersion = m_numberedDirectory.version();
    }
}

void SessionControl::logSentConfiguration(const std::string &name, const ContentDelivery &delivery, bool isLost, TimePoint now)
{
    const auto member = m_relayMembers.find(name);
    if (delivery.copies() == 1 && member == m_relayMembers.end()) {
        ++m_firstCopies;
        reportSentConfigurations(now);
        return;
    }
    log::write(log::Level::Info, "configuration sent again or through a member",
               {{"proxy", name},
                {"version", delivery.sent()},
                {"held", delivery.held()},
                {"copies", delivery.copies()},
                {"former_lost", isLost},
                {"since_first_ms", toMilliseconds(now - delivery.firstSentAt()).count()},
                {"member", member == m_relayMembers.end() ? std::string() : member->second}});
}

void SessionControl::reportSentConfigurations(TimePoint now)
{
    if (m_firstCopies == 0 || now < m_nextFirstCopiesLogAt) {
        return;
    }
    m_nextFirstCopiesLogAt = now + firstCopiesLogInterval;
    std::size_t behind = 0;
    std::string first;
    for (const auto &[name, proxy] : m_leases.proxies()) {
        if (proxy.configuration.held() < m_machine.version()) {
            first = behind++ == 0 ? name : first;
        }
    }
    log::write(log::Level::Info, "configuration sent",
               {{"version", m_machine.version()},
                {"copies", std::exchange(m_firstCopies, 0)},
                {"proxies", m_leases.proxies().size()},
                {"not_confirmed", behind},
                {"first_not_confirmed", first}});
}

void SessionControl::logLateConfirmation(const std::string &proxy, const ContentDelivery &before, std::uint64_t held, TimePoint now) const
{
    const bool isConfirmed = before.held() < before.sent() && held >= before.sent();
    if (isConfirmed && now - before.firstSentAt() >= lateConfirmation) {
        log::write(log::Level::Info, "configuration confirmed late",
                   {{"proxy", proxy}, {"version", held}, {"since_first_ms", toMilliseconds(now - before.firstSentAt()).count()}, {"copies", before.copies()}});
    }
}

const std::string &SessionControl::compressedDocument()
{
    if (m_compressedVersion != m_machine.version()) {
        m_compressedDocument = compress(m_machine.document());
        m_compressedVersion = m_machine.version();
    }
    return m_compressedDocument;
}

wire::PoolGrant SessionControl::makeDirectory() const
{
    wire::PoolGrant grant;
    grant.set_has_directory(true);
    grant.set_holders_pending(m_holdersPending);
    for (const auto &address : m_ports.members()) {
        grant.add_control(address);
    }
    std::map<std::string, wire::PoolServiceView *, std::less<>> views;
    for (const auto &[name, record] : m_machine.services()) {
        auto *view = grant.add_services();
        view->set_service(name);
        view->set_epoch(record.epoch());
        view->set_primary(record.primary());
        views[name] = view;
    }
    for (const auto &[id, entry] : m_directory.entries()) {
        auto &view = views[entry.member.service()];
        if (view == nullptr) {
            view = grant.add_services();
            view->set_service(entry.member.service());
        }
        *view->add_members() = entry.member;
    }
    for (auto &[name, view] : views) {
        for (const auto &holder : m_holders.holders(name)) {
            auto &entry = *view->add_holders();
            entry.set_proxy(holder.proxy);
            entry.set_link(holder.link);
            entry.set_failure_domain(holder.failureDomain);
            entry.set_connections(static_cast<std::uint32_t>(holder.connections));
        }
    }
    return grant;
}

void SessionControl::numberDirectory(TimePoint now)
{
    using Difference = NumberedDirectory::Difference;
    auto directory = makeDirectory();
    m_directoryChanged = false;
    if (m_numberedDirectory.isAssigned()) {
        const auto difference = m_numberedDirectory.compare(directory);
        if (difference == Difference::None) {
            return;
        }
        if (difference == Difference::HoldersOnly && now - m_directoryNumberedAt < holdersInterval) {
            m_directoryChanged = true; // a later tick() numbers it
            return;
        }
    }
    m_numberedDirectory.assign(std::move(directory));
    m_directoryNumberedAt = now;
}

void SessionControl::pushUpdates(TimePoint now)
{
    if (!m_numberedDirectory.isAssigned()) {
        return;
    }
    const auto version = m_numberedDirectory.version();
    for (auto &[name, proxy] : m_leases.proxies()) {
        if (proxy.directoryVersion == version && !proxy.configuration.isDue(m_machine.version(), now)) {
            continue;
        }
        wire::PoolEnvelope message;
        fillGrant(name, proxy, *message.mutable_grant(), now);
        m_ports.sendToProxy(name, message);
    }
}

void SessionControl::heartbeat(const wire::PoolMember &member, std::function<void(bool acknowledged)> handler)
{
    updateLeadership();
    if (m_active) {
        handleHeartbeat(member);
        handler(true);
        return;
    }
    const auto leader = m_ports.log.leaderHint();
    if (leader.empty()) {
        handler(false);
        return;
    }
    if (member.draining()) {
        m_beats.forward(leader, member, Clock::now(), std::move(handler));
        return;
    }
    wire::PoolEnvelope message;
    *message.mutable_beat()->mutable_member() = member;
    m_ports.sendToMember(leader, message);
    handler(true); // the next heartbeat repeats it
}

void SessionControl::deregister(const wire::PoolMember &member, std::function<void(bool recorded)> handler)
{
    updateLeadership();
    const auto leader = m_ports.log.leaderHint();
    if (m_active) {
        handleDeregistration(member, std::move(handler));
    } else if (leader.empty()) {
        handler(false);
    } else {
        m_beats.forward(leader, member, Clock::now(), std::move(handler));
    }
}

void SessionControl::handleDeregistration(const wire::PoolMember &member, std::function<void(bool recorded)> handler)
{
    const auto *entry = m_directory.find(member.id());
    const auto recorded = m_machine.members().find(member.id());
    wire::PoolMember leaving = entry != nullptr ? entry->member : recorded != m_machine.members().end() ? recorded->second : member;
    if (member.born_ms() != 0) {
        leaving.set_born_ms(member.born_ms());
    }
    leaving.set_leaving(true);
    m_supervisor.stopReceiving(std::move(leaving), [this, generation = m_generation, handler = std::move(handler)](const wire::PoolMember &stopped) mutable {
        if (generation == m_generation) {
            recordDeregistration(stopped, std::move(handler));
        } else {
            handler(false);
        }
    });
}

void SessionControl::recordDeregistration(const wire::PoolMember &leaving, std::function<void(bool recorded)> handler)
{
    m_refusedRecords.erase(leaving.id()); // it must not follow the notice
    wire::SessionsCommand command;
    *command.mutable_set_member()->mutable_member() = leaving;
    m_ports.log.propose(encodeMessage(command), [this, generation = m_generation, leaving, handler = std::move(handler)](LogReply &&reply) {
        const bool done = reply.failure == LogFailure::None;
        log::write(log::Level::Info, "database left", {{"database", leaving.id()}, {"born_ms", leaving.born_ms()}, {"recorded", done}});
        const auto *known = m_directory.find(leaving.id());
        if (done && generation == m_generation && known != nullptr && known->member.born_ms() <= leaving.born_ms()) {
            m_directory.deregister(leaving.id());
            m_directoryChanged = true;
        }
        handler(done);
    });
}

void SessionControl::handleHeartbeat(const wire::PoolMember &member)
{
    if (m_machine.hasDeregistered(member.id(), member.born_ms())) {
        ignoreHeartbeat("deregistered");
        return;
    }
    if (m_config.version != 0 && !m_config.services.contains(member.service())) {
        ignoreHeartbeat("unknown-service");
        return;
    }
    if (!platform::isUsable(member)) {
        ignoreHeartbeat("not-usable");
        return;
    }
    if (!m_directory.hasRoomFor(member)) {
        ignoreHeartbeat("directory-full");
        return;
    }
    if (m_directory.applyHeartbeat(member, Clock::now())) {
        log::write(log::Level::Info, "database changed",
                   {{"database", member.id()},
                    {"service", member.service()},
                    {"address", member.address()},
                    {"born_ms", member.born_ms()},
                    {"sequence", member.sequence()},
                    {"primary", member.primary()},
                    {"draining", member.draining()}});
        recordDatabase(member, false);
        m_directoryChanged = true;
    }
}

void SessionControl::ignoreHeartbeat(std::string_view reason)
{
    Metrics::instance().counter("waxwing_control_heartbeats_ignored_total", "reason", reason).add();
    ++m_ignoredHeartbeats;
    if (const auto now = Clock::now(); now >= m_nextIgnoredLogAt) {
        m_nextIgnoredLogAt = now + ignoredLogInterval;
        log::write(log::Level::Warning, "heartbeat ignored", {{"reason", reason}, {"count", std::exchange(m_ignoredHeartbeats, 0)}});
    }
}

void SessionControl::recordDatabase(const wire::PoolMember &member, bool silent)
{
    wire::SessionsCommand command;
    *command.mutable_set_member()->mutable_member() = member;
    command.mutable_set_member()->set_silent(silent);
    m_refusedRecords.erase(member.id());
    m_ports.log.propose(encodeMessage(command), [this, generation = m_generation, member, silent](LogReply &&reply) {
        if (reply.failure != LogFailure::None) {
            log::write(log::Level::Info, "database not recorded", {{"database", member.id()}});
            if (generation == m_generation) {
                m_refusedRecords[member.id()] = {member, silent};
            }
        }
    });
}

void SessionControl::recordRefused(TimePoint now)
{
    if (m_refusedRecords.empty() || now < m_nextRecordAt) {
        return;
    }
    m_nextRecordAt = now + recordInterval;
    for (const auto &[id, record] : std::exchange(m_refusedRecords, {})) {
        recordDatabase(record.member, record.silent);
    }
}

void SessionControl::storeConfig(std::string document, std::function<void(StoreOutcome outcome, const std::vector<std::string> &errors)> handler)
{
    auto decoded = platform::decodeConfig(document);
    if (!decoded.errors.empty()) {
        handler(StoreOutcome::Invalid, decoded.errors);
        return;
    }
    wire::SessionsCommand command;
    command.mutable_set_document()->set_version(decoded.config.version);
    command.mutable_set_document()->set_document(std::move(document));
    if (decoded.config.version <= m_machine.version()) {
        // The stored configuration is at least as new, so nothing is committed. The read confirms that this member's state is current.
        m_ports.log.read([handler](LogReply &&reply) { handler(reply.failure == LogFailure::None ? StoreOutcome::Accepted : StoreOutcome::NotLeader, {}); });
        return;
    }
    m_ports.log.propose(encodeMessage(command), [handler, version = decoded.config.version](LogReply &&reply) {
        if (reply.failure == LogFailure::None) {
            log::write(log::Level::Info, "configuration stored", {{"version", version}});
            handler(StoreOutcome::Accepted, {});
        } else {
            handler(reply.failure == LogFailure::Unknown ? StoreOutcome::Unknown : StoreOutcome::NotLeader, {});
        }
    });
}

boost::json::object SessionControl::status(const LogStatus &log) const
{
    return sessionStatus(log, m_machine, m_directory, m_leases, m_active, Clock::now());
}

void SessionControl::readConfig(std::function<void(const std::string *document)> handler)
{
    m_ports.log.read(
        [this, handler](LogReply &&reply) { handler(reply.failure == LogFailure::None && m_machine.version() != 0 ? &m_machine.document() : nullptr); });
}

} // namespace waxwing::control
