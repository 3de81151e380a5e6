#include "control_service.h"

#include <waxwing/state/message_bytes.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace waxwing::control
{

namespace
{

constexpr std::size_t defaultDatabases = 3;

std::size_t databasesExpected(const wire::Resource &resource)
{
    boost::json::error_code error;
    const auto spec = boost::json::parse(resource.spec_json(), error);
    if (error || !spec.is_object()) {
        return defaultDatabases;
    }
    const auto *value = spec.get_object().if_contains("databases_expected");
    return value != nullptr && value->is_int64() ? static_cast<std::size_t>(value->get_int64()) : defaultDatabases;
}

Counter &counter(std::string_view name)
{
    return Metrics::instance().counter(name);
}

void countRefusal(std::string_view reason)
{
    Metrics::instance().counter("waxwing_control_refusals_total", "reason", reason).add();
}

} // namespace

ControlService::ControlService(const ControlServiceOptions &options, const ConfigMachine &machine, LogPort configLog, LogPort intentLog, ControlPorts ports)
    : m_options(options)
    , m_configLog(std::move(configLog))
    , m_intentLog(std::move(intentLog))
    , m_ports(std::move(ports))
    , m_state {machine, LeaseTable(options.lease), EndpointDirectory(options.directory), FailureDetector(options.detector), {}, {}}
    , m_promotions(options.promotion, m_state, m_ports,
                   [this](wire::ConfigCommand command, PromotionRunner::ProposeHandler handler) { propose(std::move(command), std::move(handler)); })
{
}

void ControlService::handleMessage(const std::string &proxy, wire::Envelope &&message)
{
    updateLeadership();
    if (!m_active) {
        if (message.has_renewal() || message.has_intent_begin() || message.has_intent_finish() || message.has_intent_release()) {
            sendNotLeader(proxy);
        }
        return;
    }
    switch (message.body_case()) {
    case wire::Envelope::kRenewal:
        handleRenewal(proxy, message.renewal());
        break;
    case wire::Envelope::kTermWithdrawn:
        m_promotions.handleWithdrawn(proxy, message.term_withdrawn());
        break;
    case wire::Envelope::kWritesHeld:
        m_promotions.handleWritesHeld(proxy, message.writes_held());
        break;
    case wire::Envelope::kIntentBegin:
    case wire::Envelope::kIntentFinish:
    case wire::Envelope::kIntentRelease:
        handleIntent(proxy, std::move(message));
        break;
    default:
        counter("waxwing_control_unexpected_messages_total").add();
        break;
    }
}

void ControlService::handleApplied()
{
    m_directoryOutdated = true;
}

void ControlService::tick()
{
    updateLeadership();
    if (!m_active) {
        return;
    }
    const auto now = m_ports.now();
    for (const auto &ended : m_state.leases.takeEnded(now)) {
        log::write(log::Level::Info, "lease ended", {{"proxy", ended.proxy}, {"incarnation", ended.incarnation}});
        m_assignmentNeeded = true;
    }
    for (const auto &group : m_state.directory.expire(now)) {
        m_changedGroups.insert(group);
    }
    refreshDirectory();
    m_promotions.tick();
    if (m_assignmentNeeded || now - m_lastAssignment >= m_options.assignmentInterval) {
        assignOwners();
    }
    removeExpiredProxies();
    refreshDirectory();
}

void ControlService::updateLeadership()
{
    const bool leads = m_configLog.isLeader();
    if (!leads) {
        if (m_active || m_activating) {
            deactivate();
        }
        return;
    }
    if (m_active && m_configLog.term() != m_term) {
        deactivate(); // another leader may have been active between the two terms
    }
    if (m_active || m_activating) {
        return;
    }
    m_activating = true;
    // Until a read is confirmed, the machine may lack committed entries of earlier leaders.
    m_configLog.read([this, generation = m_generation](LogReply &&reply) {
        if (generation != m_generation) {
            return;
        }
        m_activating = false;
        if (reply.failure == LogFailure::None) {
            activate();
        }
    });
}

void ControlService::activate()
{
    const auto now = m_ports.now();
    ++m_generation;
    m_active = true;
    m_term = m_configLog.term();
    m_activeSince = now;
    m_assignmentRunning = false;
    m_state.leases.clear();
    m_state.directory.clear();
    m_state.detector.clear();
    m_state.sessions.clear();
    m_state.groups.clear();
    m_pendingReleases.clear();
    m_lastLiveTimes.clear();
    m_changedGroups.clear();
    m_promotions.reset();
    for (const auto &[name, proxy] : m_state.machine.proxies()) {
        m_state.leases.assume({name, proxy.incarnation()}, now);
        m_lastLiveTimes[name] = now;
    }
    m_publisher.reset(static_cast<std::uint32_t>(m_configLog.term()));
    m_groupsVersion = 0;
    m_collectingMembers = true;
    m_directoryOutdated = true;
    refreshGroups();
    refreshDirectory();
    Metrics::instance().gauge("waxwing_control_leader").set(1);
    log::write(log::Level::Info, "leading", {{"term", m_configLog.term()}, {"version", m_state.machine.version()}, {"proxies", m_lastLiveTimes.size()}});
}

void ControlService::deactivate()
{
    ++m_generation;
    m_active = false;
    m_activating = false;
    m_promotions.reset();
    Metrics::instance().gauge("waxwing_control_leader").set(0);
    log::write(log::Level::Warning, "no longer leading", {{"version", m_state.machine.version()}});
}

void ControlService::propose(wire::ConfigCommand command, PromotionRunner::ProposeHandler handler)
{
    m_configLog.propose(encodeMessage(command), [this, generation = m_generation, handler = std::move(handler)](LogReply &&reply) {
        if (generation != m_generation) {
            return;
        }
        wire::ConfigResult result;
        const bool accepted = reply.failure == LogFailure::None && decodeMessage(reply.result, result) && result.status() == wire::ACCEPTED;
        // The handler may send a grant, which must contain the directory with the changes of the command.
        refreshDirectory();
        handler(accepted);
        refreshDirectory();
    });
}

void ControlService::handleRenewal(const std::string &proxy, const wire::Renewal &renewal)
{
    counter("waxwing_control_renewals_total").add();
    auto &session = m_state.sessions[proxy];
    if (session.incarnation != renewal.incarnation()) {
        session = {};
        session.incarnation = renewal.incarnation();
        m_assignmentNeeded = true;
    }
    if (session.draining != renewal.draining()) {
        m_assignmentNeeded = true;
    }
    session.failureDomain = renewal.failure_domain();
    session.linkAddress = renewal.link_address();
    session.callerAddress = renewal.caller_address();
    session.configVersion = renewal.config_version();
    session.directoryVersion = renewal.directory_version();
    session.draining = renewal.draining();
    session.lastRenewal = m_ports.now();
    session.owned.clear();
    for (const auto &owned : renewal.owned()) {
        session.owned.insert(owned.group());
    }
    recordAnnouncements(renewal);
    recordEvidence(proxy, renewal);
    if (isRegistered(proxy, session)) {
        m_configLog.read([this, generation = m_generation, proxy, incarnation = renewal.incarnation(), sequence = renewal.sequence()](LogReply &&reply) {
            if (generation == m_generation && reply.failure == LogFailure::None) {
                grant(proxy, incarnation, sequence);
            }
        });
    } else if (!session.registering) {
        registerProxy(proxy, renewal.sequence());
    }
}

void ControlService::recordAnnouncements(const wire::Renewal &renewal)
{
    const auto now = m_ports.now();
    for (const auto &announcement : renewal.announcements()) {
        if (m_state.directory.announce(announcement, now)) {
            m_changedGroups.insert(announcement.group());
        }
    }
}

void ControlService::recordEvidence(const std::string &proxy, const wire::Renewal &renewal)
{
    std::vector<const wire::Evidence *> evidence;
    for (const auto &item : renewal.evidence()) {
        evidence.push_back(&item);
    }
    m_state.detector.report(proxy, renewal.failure_domain(), evidence, m_ports.now());
}

bool ControlService::isRegistered(const std::string &proxy, const ProxySession &session) const
{
    const auto &proxies = m_state.machine.proxies();
    const auto registered = proxies.find(proxy);
    return registered != proxies.end() && registered->second.incarnation() == session.incarnation
        && registered->second.failure_domain() == session.failureDomain && registered->second.link_address() == session.linkAddress
        && registered->second.caller_address() == session.callerAddress;
}

void ControlService::registerProxy(const std::string &proxy, std::uint64_t sequence)
{
    auto &session = m_state.sessions.at(proxy);
    // A new leader assumes that the recorded incarnation, and no other, holds a lease. The record is therefore replaced
    // only after the lease of the previous incarnation has ended.
    const auto registered = m_state.machine.proxies().find(proxy);
    if (registered != m_state.machine.proxies().end() && registered->second.incarnation() != session.incarnation
        && m_state.leases.mayHold({proxy, registered->second.incarnation()}, m_ports.now())) {
        countRefusal("other-incarnation");
        return;
    }
    session.registering = true;
    wire::ConfigCommand command;
    auto &record = *command.mutable_register_proxy()->mutable_proxy();
    record.set_proxy(proxy);
    record.set_incarnation(session.incarnation);
    record.set_failure_domain(session.failureDomain);
    record.set_link_address(session.linkAddress);
    record.set_caller_address(session.callerAddress);
    propose(std::move(command), [this, proxy, incarnation = session.incarnation, sequence](bool accepted) {
        auto &current = m_state.sessions[proxy];
        if (current.incarnation != incarnation) {
            return;
        }
        current.registering = false;
        if (accepted) {
            grant(proxy, incarnation, sequence);
        }
    });
}

void ControlService::grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence)
{
    auto &session = m_state.sessions[proxy];
    if (session.incarnation != incarnation) {
        return;
    }
    if (m_promotions.blocksLease(proxy)) {
        countRefusal("withdrawal-not-confirmed");
        return;
    }
    const auto now = m_ports.now();
    const bool wasLive = m_state.leases.isLive({proxy, incarnation}, now);
    if (!m_state.leases.grant({proxy, incarnation}, now)) {
        countRefusal("other-incarnation");
        return;
    }
    m_lastLiveTimes[proxy] = now;
    m_assignmentNeeded = m_assignmentNeeded || !wasLive;
    wire::Envelope message;
    auto &content = *message.mutable_grant();
    content.set_sequence(sequence);
    content.set_incarnation(incarnation);
    content.set_lease_ms(static_cast<std::uint32_t>(toMilliseconds(m_options.lease.lease).count()));
    content.set_control_term(m_configLog.term());
    fillConfig(session.configVersion, content);
    // Each grant with a lease includes the terms, because a proxy whose lease had ended may have missed a promotion.
    m_publisher.fill(session.directoryVersion, content);
    fillPeers(content);
    session.granted = true;
    session.sentConfigVersion = content.config_version();
    session.sentDirectoryVersion = content.directory_version();
    m_ports.sendToProxy(proxy, message);
    counter("waxwing_control_grants_total").add();
}

void ControlService::fillConfig(std::uint64_t knownVersion, wire::Grant &grant) const
{
    const auto &machine = m_state.machine;
    grant.set_config_version(machine.version());
    if (knownVersion == machine.version()) {
        return;
    }
    const auto add = [&grant](const wire::Resource &resource) {
        auto &change = *grant.add_resources();
        change.set_kind(resource.kind());
        change.set_name(resource.name());
        change.set_version(resource.version());
        change.set_deleted(resource.deleted());
        change.set_spec_json(resource.spec_json());
    };
    const auto changes = knownVersion == 0 ? std::nullopt : machine.changesAfter(knownVersion);
    if (changes) {
        std::for_each(changes->begin(), changes->end(), add);
        return;
    }
    grant.set_config_full(true);
    for (const auto &[key, resource] : machine.resources()) {
        add(resource);
    }
}

void ControlService::fillPeers(wire::Grant &grant) const
{
    std::set<std::string_view> addedOwners;
    for (const auto &group : grant.groups()) {
        const auto session = m_state.sessions.find(group.owner());
        const auto &proxies = m_state.machine.proxies();
        const auto registered = proxies.find(group.owner());
        if (registered == proxies.end() || !addedOwners.insert(group.owner()).second) {
            continue;
        }
        auto &peer = *grant.add_peers();
        peer.set_proxy(group.owner());
        peer.set_incarnation(session == m_state.sessions.end() ? registered->second.incarnation() : session->second.incarnation);
        peer.set_link_address(registered->second.link_address());
    }
}

void ControlService::sendNotLeader(const std::string &proxy)
{
    countRefusal("not-leader");
    wire::Envelope message;
    message.mutable_not_leader()->set_leader_link_address(m_ports.leaderLinkAddress());
    m_ports.sendToProxy(proxy, message);
}

void ControlService::refreshGroups()
{
    if (m_groupsVersion == m_state.machine.version() && m_groupsVersion != 0) {
        return;
    }
    m_groupsVersion = m_state.machine.version();
    std::map<std::string, std::size_t, std::less<>> groups;
    const auto &resources = m_state.machine.resources();
    for (auto resource = resources.lower_bound({"group", {}}); resource != resources.end() && resource->first.kind == "group"; ++resource) {
        groups[resource->first.name] = databasesExpected(resource->second);
    }
    for (const auto &[name, expected] : m_state.groups) {
        if (!groups.contains(name)) {
            m_publisher.remove(name);
        }
    }
    if (groups != m_state.groups) {
        m_assignmentNeeded = true;
    }
    m_state.groups = std::move(groups);
}

bool ControlService::areMembersComplete(const std::string &group) const
{
    const auto *members = m_state.directory.members(group);
    return !m_collectingMembers || (members != nullptr && members->size() >= m_state.groups.at(group));
}

void ControlService::refreshDirectory()
{
    if (!m_active) {
        return;
    }
    if (m_collectingMembers && m_ports.now() - m_activeSince >= m_options.memberCollectionTimeout) {
        m_collectingMembers = false;
        m_directoryOutdated = true;
    }
    if (!m_directoryOutdated && m_changedGroups.empty()) {
        return;
    }
    refreshGroups();
    const auto update = [this](const std::string &name) {
        if (!m_state.groups.contains(name)) {
            return;
        }
        wire::GroupDirectory content;
        content.set_group(name);
        if (const auto *record = m_state.machine.group(name)) {
            content.set_term(record->term());
            content.set_primary(record->primary());
            content.set_term_start(record->term_start());
            // The owner is published only with its recorded incarnation: a restarted proxy is not among the holders that a
            // promotion waits for, and must not act as the owner that its previous incarnation was.
            const auto owner = m_state.machine.proxies().find(record->owner());
            if (owner != m_state.machine.proxies().end() && owner->second.incarnation() == record->owner_incarnation()) {
                content.set_owner(record->owner());
            }
            content.set_owner_epoch(record->owner_epoch());
            *content.mutable_term_history() = record->term_history();
        }
        if (const auto *members = m_state.directory.members(name); members != nullptr && areMembersComplete(name)) {
            for (const auto &[database, member] : *members) {
                auto &announcement = *content.add_members();
                announcement = member.announcement;
                announcement.clear_position(); // changes constantly; owners read it from the endpoint
            }
        }
        m_publisher.update(content);
    };
    if (m_directoryOutdated) {
        for (const auto &[name, expected] : m_state.groups) {
            update(name);
        }
    } else {
        std::for_each(m_changedGroups.begin(), m_changedGroups.end(), update);
    }
    m_directoryOutdated = false;
    m_changedGroups.clear();
    pushChanges();
}

void ControlService::pushChanges()
{
    const auto now = m_ports.now();
    for (auto &[proxy, session] : m_state.sessions) {
        const bool behind = session.sentConfigVersion != m_state.machine.version() || session.sentDirectoryVersion != m_publisher.version();
        // A proxy without a grant receives the full state with its first grant.
        if (!behind || !session.granted || !m_state.leases.isLive({proxy, session.incarnation}, now)) {
            continue;
        }
        wire::Envelope message;
        auto &content = *message.mutable_grant();
        content.set_control_term(m_configLog.term());
        // An earlier push may have been lost: what the proxy has stated counts, not what was sent.
        fillConfig(session.configVersion, content);
        m_publisher.fill(session.directoryVersion, content);
        fillPeers(content);
        session.sentConfigVersion = content.config_version();
        session.sentDirectoryVersion = content.directory_version();
        m_ports.sendToProxy(proxy, message);
        counter("waxwing_control_pushes_total").add();
    }
}

void ControlService::handleIntent(const std::string &proxy, wire::Envelope &&message)
{
    wire::IntentCommand command;
    IntentRequest request;
    if (message.has_intent_begin()) {
        request = {proxy, message.intent_begin().incarnation(), message.intent_begin().correlation()};
        // An owner without a lease must not start a statement, because promotions do not wait for it.
        if (!m_state.leases.isLive({message.intent_begin().proxy(), message.intent_begin().incarnation()}, m_ports.now())) {
            wire::IntentResult refused;
            refused.set_state(wire::UNAVAILABLE);
            countRefusal("intent-without-lease");
            answerIntent(request, refused);
            return;
        }
        *command.mutable_begin() = std::move(*message.mutable_intent_begin());
    } else if (message.has_intent_finish()) {
        request = {proxy, message.intent_finish().incarnation(), message.intent_finish().correlation()};
        *command.mutable_finish() = std::move(*message.mutable_intent_finish());
    } else {
        request = {proxy, message.intent_release().incarnation(), message.intent_release().correlation()};
        *command.mutable_release() = std::move(*message.mutable_intent_release());
    }
    proposeIntent(request, std::move(command));
}

void ControlService::proposeIntent(const IntentRequest &request, wire::IntentCommand command)
{
    command.set_now_ms(m_ports.wallClockMs());
    auto bytes = encodeMessage(command);
    m_intentLog.propose(std::move(bytes), [this, generation = m_generation, request, command = std::move(command)](LogReply &&reply) mutable {
        wire::IntentResult result;
        if (reply.failure != LogFailure::None || !decodeMessage(reply.result, result)) {
            result.Clear();
            result.set_state(wire::UNAVAILABLE);
        }
        const ProxyIncarnation holder {result.holder_proxy(), result.holder_incarnation()};
        const bool holderLeaseEnded = result.state() == wire::IN_PROGRESS && command.ended_proxy().empty() && generation == m_generation && m_active
            && !m_state.leases.mayHold(holder, m_ports.now());
        if (holderLeaseEnded) {
            command.set_ended_proxy(holder.proxy);
            command.set_ended_incarnation(holder.incarnation);
            proposeIntent(request, std::move(command));
            return;
        }
        answerIntent(request, result);
    });
}

void ControlService::answerIntent(const IntentRequest &request, const wire::IntentResult &result)
{
    wire::Envelope message;
    auto &reply = *message.mutable_intent_reply();
    reply.set_correlation(request.correlation);
    reply.set_incarnation(request.incarnation);
    reply.set_state(result.state());
    if (result.has_answer()) {
        *reply.mutable_answer() = result.answer();
    }
    m_ports.sendToProxy(request.proxy, message);
    Metrics::instance().counter("waxwing_control_intents_total", "state", wire::IntentState_Name(result.state())).add();
}

void ControlService::change(wire::ConfigCommand command, ChangeHandler handler)
{
    m_configLog.propose(encodeMessage(command), [this, handler = std::move(handler)](LogReply &&reply) {
        wire::ConfigResult result;
        if (reply.failure == LogFailure::None && !decodeMessage(reply.result, result)) {
            reply.failure = LogFailure::Unknown;
        }
        handler(reply.failure, result);
        refreshDirectory();
    });
}

void ControlService::read(std::function<void(LogFailure failure)> handler)
{
    m_configLog.read([handler = std::move(handler)](LogReply &&reply) { handler(reply.failure); });
}

void ControlService::switchover(const std::string &group, const std::string &target, const std::string &changeId, PromotionRunner::SwitchoverHandler handler)
{
    m_promotions.switchover(group, target, changeId, std::move(handler));
}

} // namespace waxwing::control
