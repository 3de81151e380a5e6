#include <waxwing/platform/control_calls.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/state/compression.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace waxwing
{

namespace
{

// With a single connection, a transaction that waits for its caller would block all other statements.
constexpr std::size_t minConnections = 2;
// Share of the drain limit during which this proxy sends new statements to a draining database. The rest covers the delay of the
// announcement and the queueing of a statement.
constexpr int drainLimitPercent = 80;
// A change of the leader of control: an election and the search for the new leader.
constexpr Duration usualLeaseLoss = 500ms;
constexpr std::size_t maxDirectoryBytes = 16U << 20; // 16,384 databases are 2 MB
constexpr std::size_t maxDocumentBytes = 16U << 20; // four times what control accepts

void setPlace(wire::LogPlace &place, const TermPosition &position)
{
    place.set_term(position.term);
    place.set_number(position.position);
}

std::vector<StatementHolder> decodeHolders(const wire::PoolServiceView &view)
{
    std::vector<StatementHolder> holders;
    for (const auto &holder : view.holders()) {
        holders.push_back({holder.proxy(), holder.link(), holder.failure_domain(), holder.connections()});
    }
    return holders;
}

} // namespace

SessionDirectory::SessionDirectory(const boost::asio::any_io_executor &executor, Options options)
    : m_executor(executor)
    , m_options(std::move(options))
    , m_configChange(executor)
    , m_admission(executor, m_lease)
    , m_leaseLoss(usualLeaseLoss)
{
}

void SessionDirectory::apply(const wire::PoolGrant &grant, TimePoint sentAt)
{
    const auto now = Clock::now();
    // A push from a leader that has been replaced may arrive late.
    if (grant.control_term() < m_controlTerm) {
        Metrics::instance().counter("waxwing_session_grants_ignored_total", "reason", "older-leader").add();
        return;
    }
    m_receivedNumber = grant.control_term() == m_controlTerm ? std::max(m_receivedNumber, grant.number()) : grant.number();
    m_controlTerm = grant.control_term();
    const auto versionBefore = configVersion();
    const bool hadLatest = hasLatestConfig(now);
    applyDocument(grant);
    noteAnnounced(grant.config_version());
    // A lease must not be extended with a directory that lacks a change of primary; the next renewal asks for the whole one.
    const bool current = applyDirectory(grant);
    m_announcedDirectory = std::max(m_announcedDirectory, grant.directory_version());
    if (grant.sequence() != 0 && current) {
        const bool wasValid = m_lease.isValid(now);
        m_lease.renew(sentAt, std::chrono::milliseconds(grant.lease_ms()), now);
        if (!wasValid && m_lease.isValid(now)) {
            m_leaseLoss.end(now); // nothing where no statement needed the lease
            log::write(log::Level::Info, "lease gained", {{"control_term", m_controlTerm}, {"config_version", configVersion()}});
            for (const auto &[name, service] : m_services) {
                service->notify();
            }
        }
    }
    m_admission.apply(grant, now);
    if (grant.share_permille() != 0 && grant.share_permille() != m_sharePermille) {
        m_sharePermille = grant.share_permille();
        updateLimits();
    }
    if (configVersion() != versionBefore || (!hadLatest && hasLatestConfig(now))) {
        m_configChange.notify();
    }
}

void SessionDirectory::applyDocument(const wire::PoolGrant &grant)
{
    const bool isCompressed = !grant.compressed_document().empty();
    if ((grant.document().empty() && !isCompressed) || grant.config_version() <= configVersion()) {
        return;
    }
    const auto document = isCompressed ? decompress(grant.compressed_document(), maxDocumentBytes) : std::optional(grant.document());
    if (!document) {
        log::write(log::Level::Error, "configuration refused", {{"version", grant.config_version()}, {"problem", "not decompressed"}});
        return;
    }
    auto decoded = platform::decodeConfig(*document);
    if (!decoded.errors.empty()) {
        // Control validates with the same code, so this error means that the versions of control and proxy differ.
        log::write(log::Level::Error, "configuration refused", {{"version", grant.config_version()}, {"problem", decoded.errors.front()}});
        return;
    }
    log::write(log::Level::Info, "configuration in force",
               {{"version", grant.config_version()}, {"before", configVersion()}, {"routes", decoded.config.routes.size()}});
    if (!WAXWING_INVARIANT(decoded.config.version == grant.config_version(), "configuration-version-as-announced")) {
        return;
    }
    m_config = std::make_shared<const PoolConfig>(std::move(decoded.config)); // shared, see config()
    updateLimits();
    for (const auto &[name, service] : m_services) {
        service->notify();
    }
}

void SessionDirectory::noteAnnounced(std::uint64_t version)
{
    if (version > m_announcedConfigVersion) {
        m_announcedConfigVersion = version;
        if (version > configVersion()) {
            log::write(log::Level::Info, "newer configuration announced", {{"announced", version}, {"in_force", configVersion()}});
        }
    }
    static auto &announced = Metrics::instance().gauge("waxwing_session_config_version_announced");
    static auto &inForce = Metrics::instance().gauge("waxwing_session_config_version");
    announced.set(static_cast<std::int64_t>(m_announcedConfigVersion));
    inForce.set(static_cast<std::int64_t>(configVersion()));
}

bool SessionDirectory::hasContentOf(const wire::PoolGrant &grant) const
{
    return grant.content_hash() == m_contentHash || (grant.holders_pending() && grant.databases_hash() == m_databasesHash);
}

bool SessionDirectory::applyDirectory(const wire::PoolGrant &grant)
{
    const auto version = grant.directory_version();
    if (version <= m_directoryVersion) {
        return true;
    }
    const auto ignore = [version](std::string_view reason) {
        Metrics::instance().counter("waxwing_session_directories_ignored_total", "reason", reason).add();
        log::write(log::Level::Info, "directory ignored", {{"directory_version", version}, {"reason", reason}});
        return false;
    };
    if (grant.same_directory()) {
        if (!hasContentOf(grant)) {
            return ignore("other-content");
        }
        m_directoryVersion = version;
        return true;
    }
    if (grant.compressed_directory().empty()) {
        if (!grant.has_directory()) {
            return ignore("not-attached"); // sent earlier, and lost or overtaken
        }
        applyServices(grant, version);
        m_contentHash = grant.content_hash();
        m_databasesHash = grant.databases_hash();
        return true;
    }
    if (grant.base_version() > m_directoryVersion) {
        return ignore("missing-base");
    }
    const auto bytes = decompress(grant.compressed_directory(), maxDirectoryBytes);
    wire::PoolGrant changes;
    if (!bytes || !changes.ParseFromString(*bytes)) {
        return ignore("not-readable");
    }
    applyServices(changes, version);
    m_contentHash = grant.content_hash();
    m_databasesHash = grant.databases_hash();
    return true;
}

void SessionDirectory::applyServices(const wire::PoolGrant &grant, std::uint64_t version)
{
    m_directoryVersion = version;
    m_controlMembers.assign(grant.control().begin(), grant.control().end());
    for (const auto &view : grant.services()) {
        auto &service = m_services[view.service()];
        if (!service) {
            service = std::make_unique<ServiceState>(m_executor, view.service());
        }
        if (!view.primary().empty()) {
            m_lease.grantEpoch(view.service(), view.epoch());
        } else if (view.epoch() != 0) { // 0 until the first primary is recorded
            m_lease.withdraw(view.service(), view.epoch() - 1); // the primary is being replaced
        }
        applyMembers(*service, view);
        if (service->epoch() != view.epoch()) {
            log::write(log::Level::Info, "primary changed",
                       {{"service", view.service()}, {"epoch", view.epoch()}, {"primary", view.primary()}, {"directory_version", m_directoryVersion}});
        }
        if (!grant.holders_pending()) {
            service->setHolders(decodeHolders(view), m_options.proxy);
        } else if (service->holdsConnections() && service->holders().empty()) {
            service->awaitHolders();
        }
        service->setPrimary(view.epoch(), view.primary());
        service->notify();
    }
    updateLimits();
}

void SessionDirectory::applyMembers(ServiceState &service, const wire::PoolServiceView &view)
{
    std::set<std::string_view> present;
    for (const auto &member : view.members()) {
        present.insert(member.id());
        auto &pool = service.pools()[member.id()];
        // The existing connections don't lead to a database that was restarted or has moved to another address.
        if (pool && (pool->member().address() != member.address() || pool->member().born_ms() != member.born_ms())) {
            pool->close();
            pool.reset();
        }
        if (pool) {
            pool->update(member, Clock::now());
        } else {
            DatabasePool::Options options;
            options.caller = m_options.proxy;
            options.drainLimit = m_options.drainLimit / 100 * drainLimitPercent;
            pool = std::make_shared<DatabasePool>(m_executor, member, std::move(options)); // shared, see ServiceState
        }
    }
    std::erase_if(service.pools(), [&](const auto &item) {
        if (present.contains(item.first)) {
            return false;
        }
        item.second->close();
        return true;
    });
}

void SessionDirectory::updateLimits()
{
    for (const auto &[name, service] : m_services) {
        std::size_t share = m_options.warmConnections;
        std::size_t limit = m_options.connectionLimit;
        if (m_config) {
            if (const auto known = m_config->services.find(name); known != m_config->services.end() && known->second.maxConnections != 0) {
                const auto usable = known->second.maxConnections - std::min<std::size_t>(m_options.reservedConnections, known->second.maxConnections);
                constexpr std::size_t permille = 1000;
                limit = std::clamp<std::size_t>((usable * m_sharePermille + permille / 2) / permille, minConnections, m_options.connectionLimit);
                share = std::max<std::size_t>(minConnections, limit / 2);
            }
        }
        if (!service->isShared()) {
            limit = service->heldConnections();
            share = limit;
        }
        const std::size_t sharing = m_sharePermille == 0 ? 1 : 1000 / m_sharePermille;
        const auto proxies = service->isShared() ? sharing : service->holders().size();
        for (const auto &[id, pool] : service->pools()) {
            pool->setLimits(share, limit, proxies);
            // Ahead of a statement it is not known which workspace will need a connection.
            const bool warms = !pool->member().draining() && !(m_config && m_config->hasWorkspaces);
            pool->warm(warms ? std::min(share, m_options.warmConnections) : 0);
        }
    }
}

void SessionDirectory::tick(TimePoint now)
{
    for (const auto &[name, service] : m_services) {
        for (const auto &[id, pool] : service->pools()) {
            pool->closeSurplus(now);
        }
    }
}

void SessionDirectory::endWaits()
{
    m_waitsEnded = true;
    m_configChange.notify();
    for (const auto &[name, service] : m_services) {
        service->notify();
        for (const auto &[id, pool] : service->pools()) {
            pool->endWaits();
        }
    }
}

void SessionDirectory::interrupt()
{
    for (const auto &[name, service] : m_services) {
        for (const auto &[id, pool] : service->pools()) {
            pool->interrupt();
        }
    }
}

wire::PoolWithdrawn SessionDirectory::withdraw(const wire::PoolWithdraw &request, TimePoint now)
{
    wire::PoolWithdrawn reply;
    reply.set_service(request.service());
    reply.set_epoch(request.epoch());
    reply.set_closed(request.closes());
    reply.set_round(request.round());
    if (request.closes()) {
        m_lease.close(request.service(), request.epoch());
    } else {
        m_lease.withdraw(request.service(), request.epoch());
    }
    if (auto *state = service(request.service())) {
        if (request.epoch() >= state->epoch()) {
            state->primaryChange().begin(now);
        }
        const auto &commits = state->commits();
        setPlace(*reply.mutable_acknowledged(), commits.acknowledged());
        if (commits.replicated() != TermPosition()) {
            setPlace(*reply.mutable_acknowledged_at_least(), commits.acknowledgedAtLeast());
            setPlace(*reply.mutable_replicated(), commits.replicated());
        }
        reply.set_unsettled_commits(static_cast<std::uint32_t>(commits.unsettled()));
        reply.set_settles_departed(request.evidence_ms() != 0 && commits.hasSettledAll(now - std::chrono::milliseconds(request.evidence_ms())));
        const auto evidence = request.evidence_ms() == 0 ? std::nullopt : state->history().proof(now - std::chrono::milliseconds(request.evidence_ms()));
        if (evidence) {
            setPlace(*reply.mutable_reported(), *evidence);
        }
    }
    return reply;
}

bool SessionDirectory::mayAcknowledge(std::string_view service, std::uint64_t epoch, TimePoint now) const
{
    const bool outlastsWithdrawal = m_options.replacedPrimaryStops || isReplicated(service);
    return outlastsWithdrawal ? m_lease.mayAcknowledge(service, epoch, now) : m_lease.covers(service, epoch, now);
}

boost::asio::awaitable<bool> SessionDirectory::awaitAcknowledgement(ServiceState &service, std::uint64_t epoch, TimePoint deadline) const
{
    auto now = Clock::now();
    while (!m_waitsEnded && !m_lease.isValid(now) && now < deadline) {
        co_await service.waitForChange(deadline);
        now = Clock::now();
    }
    co_return mayAcknowledge(service.name(), epoch, now);
}

bool SessionDirectory::isReplicated(std::string_view service) const
{
    if (!m_config) {
        return false;
    }
    const auto known = m_config->services.find(service);
    return known != m_config->services.end() && known->second.syncReplicas != 0;
}

Duration SessionDirectory::expectedLeaseLoss(TimePoint now)
{
    if (m_lease.isValid(now)) {
        return Duration::zero();
    }
    m_leaseLoss.begin(m_lease.expiresAt());
    return m_leaseLoss.expectedRest(now);
}

ServiceState *SessionDirectory::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second.get();
}

unsigned SessionDirectory::distance(std::string_view failureDomain) const
{
    if (failureDomain == m_options.failureDomain) {
        return 0;
    }
    const auto here = m_options.regions.find(m_options.failureDomain);
    const auto there = m_options.regions.find(std::string(failureDomain));
    return here != m_options.regions.end() && there != m_options.regions.end() && here->second == there->second ? 1 : 2;
}

} // namespace waxwing
