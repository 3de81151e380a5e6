#include "dispatcher.h"

#include "statement_answer.h"
#include "transaction_table.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr auto tickInterval = 5ms;
// Without open statements only probes and renewals are due, every 100 ms and more.
constexpr auto idleTickInterval = 25ms;
// Directory changes are stored at most this often; the stored directory only helps to find peers after a restart.
constexpr auto storeInterval = 1s;
// Longest wait for another owner at a planned stop; with no other proxy there is none.
constexpr auto handoverLimit = 3s;
constexpr auto gaugeInterval = 1s;

} // namespace

Dispatcher::Dispatcher(boost::asio::io_context &context, Options options, TokenKeyRing keys, LinkSender sender, Storage storage)
    : m_options(std::move(options))
    , m_keys(std::move(keys))
    , m_sender(std::move(sender))
    , m_storage(std::move(storage))
    , m_random(m_options.seed)
    , m_timer(context)
    , m_explain(m_options.explainCapacity)
    , m_witness(context)
    , m_control({.addresses = m_options.controlAddresses, .incarnation = m_options.incarnation}, m_sender,
                [this](std::uint64_t sequence) {
                    wire::Envelope message;
                    message.mutable_renewal()->set_sequence(sequence);
                    fillRenewal(*message.mutable_renewal());
                    return message;
                })
    , m_intents({.proxy = m_options.name, .incarnation = m_options.incarnation}, [this](const wire::Envelope &message) { return m_control.send(message); })
    , m_groupContext {context, m_random, m_lease, m_keys, m_explain, m_intents, m_directory, m_options.name, m_options.hedgesReads}
    , m_router({.proxy = m_options.name, .incarnation = m_options.incarnation, .maxWaiting = m_options.maxWaiting}, m_directory, m_explain, m_random, m_sender,
               [this](const std::string &name, const wire::StatementRequest &request, bool ownerFailed) { return localGroup(name, request, ownerFailed); })
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::restore(const wire::Grant &stored)
{
    m_directory.restore(stored);
}

void Dispatcher::start()
{
    m_control.tick(Clock::now());
    schedule();
}

bool Dispatcher::isIdle() const
{
    return !m_drainStarted && m_router.open() == 0 && m_intents.pending() == 0
        && std::all_of(m_groups.begin(), m_groups.end(), [](const auto &entry) { return entry.second.group->isIdle(); });
}

void Dispatcher::leaveIdle()
{
    if (m_isIdle) {
        schedule(); // Replaces the pending, longer wait.
    }
}

void Dispatcher::schedule()
{
    m_isIdle = isIdle();
    m_timer.expires_after(m_isIdle ? Duration(idleTickInterval) : Duration(tickInterval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick(Clock::now());
            schedule();
        }
    });
}

bool Dispatcher::hasLease() const
{
    return m_lease.isValid(Clock::now());
}

OwnedGroup *Dispatcher::group(const std::string &name)
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : found->second.group.get();
}

void Dispatcher::tick(TimePoint now)
{
    const bool hasLease = m_lease.isValid(now);
    if (m_hadLease && !hasLease) {
        Metrics::instance().counter("waxwing_leases_lost_total").add();
        log::write(log::Level::Warning, "lease expired");
    }
    if (m_hadLease != hasLease) {
        m_hadLease = hasLease;
        Metrics::instance().gauge("waxwing_lease_valid").set(hasLease ? 1 : 0);
        refreshAll(now);
    }
    for (auto &[name, owned] : m_groups) {
        owned.group->tick(now);
    }
    std::erase_if(m_groups, [&](const auto &entry) {
        const auto *directory = m_directory.group(entry.first);
        const bool isElsewhere = directory == nullptr || (directory->owner() != m_options.name && hasLease);
        return isElsewhere && entry.second.group->isIdle();
    });
    m_router.tick(now);
    m_intents.tick(now);
    m_witness.tick(now);
    const auto unreachable = unreachablePrimaries(now);
    if (unreachable != m_unreachable) {
        m_unreachable = unreachable;
        m_control.hurry();
    }
    m_control.tick(now);
    store(now);
    reportGauges(now);
}

void Dispatcher::reportGauges(TimePoint now)
{
    if (now - m_reportedAt < gaugeInterval) {
        return;
    }
    m_reportedAt = now;
    auto &metrics = Metrics::instance();
    metrics.gauge("waxwing_open_requests").set(static_cast<std::int64_t>(m_router.open()));
    metrics.gauge("waxwing_pending_intent_messages").set(static_cast<std::int64_t>(m_intents.pending()));
    metrics.gauge("waxwing_groups_owned").set(static_cast<std::int64_t>(m_groups.size()));
    for (const auto &[name, owned] : m_groups) {
        metrics.gauge("waxwing_queue_length", "group", name).set(static_cast<std::int64_t>(owned.group->queueLength()));
    }
}

std::size_t Dispatcher::unreachablePrimaries(TimePoint now)
{
    auto count = m_witness.unreachable(now);
    for (auto &[name, owned] : m_groups) {
        if (const auto *primary = owned.group->members().primary(); primary != nullptr && isEvidence(primary->probe, now)) {
            ++count;
        }
    }
    return count;
}

void Dispatcher::fillRenewal(wire::Renewal &renewal)
{
    const auto now = Clock::now();
    renewal.set_proxy(m_options.name);
    renewal.set_incarnation(m_options.incarnation);
    renewal.set_failure_domain(m_options.failureDomain);
    renewal.set_link_address(m_options.linkAddress);
    renewal.set_caller_address(m_options.callerAddress);
    renewal.set_config_version(m_directory.configVersion());
    renewal.set_directory_version(m_directory.directoryVersion());
    renewal.set_draining(m_drainStarted.has_value());
    m_announcements.fill(renewal);
    m_witness.fill(m_directory, now, renewal);
    for (auto &[name, owned] : m_groups) {
        const auto *directory = m_directory.group(name);
        if (const auto *primary = owned.group->members().primary(); primary != nullptr && directory != nullptr && directory->primary() == primary->name()) {
            addEvidence(*directory, primary->probe, now, renewal);
        }
        if (owned.group->isOwning()) {
            auto &entry = *renewal.add_owned();
            entry.set_group(name);
            entry.set_term(m_lease.term(name));
            entry.set_owner_epoch(owned.epoch);
        }
    }
}

void Dispatcher::submit(wire::StatementRequest &&request, StatementJob::Responder respond)
{
    m_router.submit(std::move(request), Clock::now(), std::move(respond));
    leaveIdle();
}

void Dispatcher::announce(const wire::Announcement &announcement)
{
    if (m_announcements.add(announcement)) {
        m_control.hurry();
    }
    if (auto *owned = group(announcement.group())) {
        owned->setLeaving(announcement.database(), announcement.leaving(), Clock::now());
    }
}

bool Dispatcher::cancel(const std::string &requestId)
{
    return m_router.cancel(requestId);
}

std::optional<std::string> Dispatcher::explain(const std::string &requestId) const
{
    return m_explain.explain(requestId);
}

void Dispatcher::receive(const LinkPeer &from, wire::Envelope &&message)
{
    switch (message.body_case()) {
    case wire::Envelope::kGrant:
        onGrant(from, message.grant());
        return;
    case wire::Envelope::kNotLeader:
        m_control.onNotLeader(from, message.not_leader().leader_link_address());
        return;
    case wire::Envelope::kTermWithdraw:
        onTermWithdraw(from, message.term_withdraw());
        return;
    case wire::Envelope::kHoldWrites:
        onHoldWrites(from, message.hold_writes());
        return;
    case wire::Envelope::kForward:
        onForward(from, std::move(*message.mutable_forward()));
        return;
    case wire::Envelope::kForwardReply:
        m_router.onReply(std::move(*message.mutable_forward_reply()));
        return;
    case wire::Envelope::kForwardCancel:
        onForwardCancel(from, message.forward_cancel());
        return;
    case wire::Envelope::kIntentReply:
        m_intents.onReply(message.intent_reply());
        return;
    default:
        Metrics::instance().counter("waxwing_link_refusals_total", "reason", "unexpected-message").add();
    }
}

void Dispatcher::onNotSent(const LinkPeer &to, wire::Envelope &&message)
{
    if (message.has_forward()) {
        m_router.onNotSent(message.forward().correlation());
    }
    if (to.kind == LinkPeer::Kind::Dialed && (message.has_forward() || message.has_forward_cancel())) {
        m_router.onPeerLost(to.id);
    }
}

void Dispatcher::onGrant(const LinkPeer &from, const wire::Grant &grant)
{
    const auto now = Clock::now();
    // The directory comes first: with the lease back, this proxy must know which groups went to others meanwhile.
    const auto change = m_directory.apply(grant);
    if (change.isStale) {
        return;
    }
    if (const auto sentAt = m_control.onGrant(from, {.sequence = grant.sequence(), .incarnation = grant.incarnation()})) {
        m_lease.renew(*sentAt, std::chrono::milliseconds(grant.lease_ms()));
        m_announcements.confirm(grant.sequence());
        m_isReady = true;
        const bool hasLease = m_lease.isValid(now);
        if (hasLease != m_hadLease) {
            m_hadLease = hasLease;
            Metrics::instance().gauge("waxwing_lease_valid").set(hasLease ? 1 : 0);
            refreshAll(now);
        }
    }
    if (change.config) {
        Metrics::instance().gauge("waxwing_config_version").set(static_cast<std::int64_t>(m_directory.configVersion()));
        log::write(log::Level::Info, "configuration applied", {{"version", m_directory.configVersion()}});
        m_control.hurry(); // Control waits for the running version of each proxy.
    }
    for (const auto &name : change.groups) {
        refreshOwnership(name, now);
    }
    if (change.config || !change.groups.empty()) {
        m_isStorePending = true;
        m_storedAt = change.config ? TimePoint {} : m_storedAt;
        m_router.onDirectoryChanged(now);
    }
}

void Dispatcher::refreshAll(TimePoint now)
{
    std::vector<std::string> names;
    for (const auto &[name, directory] : m_directory.groups()) {
        names.push_back(name);
    }
    for (const auto &name : names) {
        refreshOwnership(name, now);
    }
}

void Dispatcher::refreshOwnership(const std::string &name, TimePoint now)
{
    const auto *directory = m_directory.group(name);
    const auto *service = m_directory.serviceOfGroup(name);
    const bool hasLease = m_lease.isValid(now);
    const bool isNamed = directory != nullptr && service != nullptr && directory->owner() == m_options.name;
    if (directory != nullptr) {
        m_witness.update(*directory, !isNamed);
        if (const auto address = m_directory.peerAddress(directory->owner()); !isNamed && !address.empty()) {
            // Connected ahead of the first statement, which would otherwise come back as not sent.
            wire::Envelope message;
            message.mutable_forward_cancel()->set_correlation(0);
            m_sender({LinkPeer::Kind::Dialed, address}, message);
        }
    } else {
        m_witness.forget(name);
    }
    if (isNamed && hasLease) {
        auto &owned = m_groups[name];
        if (!owned.group) {
            owned.group = std::make_unique<OwnedGroup>(m_groupContext, name);
            log::write(log::Level::Info, "group taken over", {{"group", name}, {"term", directory->term()}, {"epoch", directory->owner_epoch()}});
        }
        owned.epoch = directory->owner_epoch();
        m_lease.grantTerm(name, directory->term());
        owned.group->setOwning(true, now);
        owned.group->configure(*directory, *service, now);
    } else if (auto *former = group(name)) {
        if (directory != nullptr && service != nullptr) {
            former->configure(*directory, *service, now);
        }
        if (!hasLease || directory == nullptr) {
            former->setOwning(false, now);
        } else {
            former->handOver();
        }
    }
    if (auto *owned = group(name)) {
        for (const auto &[database, announcement] : m_announcements.latest()) {
            if (announcement.group() == name && announcement.leaving()) {
                owned->setLeaving(database, true, now);
            }
        }
    }
}

OwnedGroup *Dispatcher::localGroup(const std::string &name, const wire::StatementRequest &request, bool ownerFailed)
{
    auto *owned = group(name);
    if (owned == nullptr) {
        return nullptr;
    }
    if (!request.transaction().empty()) {
        const auto place = parseTransactionId(request.transaction());
        return place && place->proxy == m_options.name ? owned : nullptr;
    }
    const auto *directory = m_directory.group(name);
    const bool isNamed = directory != nullptr && directory->owner() == m_options.name;
    if (isNamed && owned->isOwning()) {
        return owned;
    }
    // Without a lease, a former owner still serves reads whose age is stated.
    const bool hasStatedAge = request.kind() == wire::READ && (request.freshness() == "any" || request.freshness() == "max_age");
    return hasStatedAge && !owned->isOwning() && (isNamed || ownerFailed) ? owned : nullptr;
}

void Dispatcher::onForward(const LinkPeer &from, wire::Forward &&forward)
{
    const auto now = Clock::now();
    const auto correlation = forward.correlation();
    const auto &name = forward.owner_epoch_group();
    auto *owned = localGroup(name, forward.request(), false);
    if (owned == nullptr || (!owned->isOwning() && forward.request().transaction().empty())) {
        wire::Envelope message;
        message.mutable_forward_reply()->set_correlation(correlation);
        message.mutable_forward_reply()->set_incarnation(forward.incarnation());
        message.mutable_forward_reply()->set_accepted(false);
        m_sender(from, message);
        return;
    }
    const ForwardKey key {from.id, forward.incarnation(), correlation};
    auto request = std::make_shared<wire::StatementRequest>(std::move(*forward.mutable_request()));
    m_explain.start(request->request_id(), now);
    m_forwardedHere[key] = {name, request->request_id()};
    const auto deadline = now + std::chrono::milliseconds(request->deadline_ms());
    owned->submit({std::move(request), now, deadline, [this, from, key](wire::StatementAnswer &&answer) {
                       m_forwardedHere.erase(key);
                       wire::Envelope message;
                       auto &reply = *message.mutable_forward_reply();
                       reply.set_correlation(key.correlation);
                       reply.set_incarnation(key.incarnation);
                       reply.set_accepted(true);
                       *reply.mutable_answer() = std::move(answer);
                       m_sender(from, message);
                   }});
    leaveIdle();
}

void Dispatcher::onForwardCancel(const LinkPeer &from, const wire::ForwardCancel &cancel)
{
    const auto found = m_forwardedHere.find({from.id, cancel.incarnation(), cancel.correlation()});
    if (found == m_forwardedHere.end()) {
        return;
    }
    const auto [name, requestId] = found->second;
    if (auto *owned = group(name)) {
        owned->cancel(requestId);
    }
}

void Dispatcher::onTermWithdraw(const LinkPeer &from, const wire::TermWithdraw &withdraw)
{
    m_lease.withdrawTerm(withdraw.group(), withdraw.term());
    if (auto *owned = group(withdraw.group())) {
        owned->endTerm(withdraw.term());
    }
    wire::Envelope message;
    auto &confirmation = *message.mutable_term_withdrawn();
    confirmation.set_group(withdraw.group());
    confirmation.set_term(withdraw.term());
    confirmation.set_proxy(m_options.name);
    m_sender(from, message);
}

void Dispatcher::onHoldWrites(const LinkPeer &from, const wire::HoldWrites &hold)
{
    auto *owned = group(hold.group());
    if (owned == nullptr) {
        return;
    }
    owned->holdWrites(hold.term(), std::chrono::milliseconds(hold.hold_ms()), [this, from, hold](std::uint64_t position) {
        wire::Envelope message;
        auto &held = *message.mutable_writes_held();
        held.set_group(hold.group());
        held.set_term(hold.term());
        held.set_position(position);
        held.set_drained(true);
        m_sender(from, message);
    });
}

void Dispatcher::store(TimePoint now)
{
    if (!m_isStorePending || !m_storage || now - m_storedAt < storeInterval) {
        return;
    }
    if (m_storage(m_directory.full())) {
        m_isStorePending = false;
        m_storedAt = now;
    }
}

void Dispatcher::drain()
{
    if (!m_drainStarted) {
        m_drainStarted = Clock::now();
        m_control.hurry();
    }
}

bool Dispatcher::isDrained() const
{
    if (!m_drainStarted || m_router.open() > 0) {
        return false;
    }
    const bool isIdle = std::all_of(m_groups.begin(), m_groups.end(), [](const auto &entry) { return entry.second.group->isIdle(); });
    return m_groups.empty() || (isIdle && Clock::now() - *m_drainStarted >= handoverLimit);
}

} // namespace waxwing
