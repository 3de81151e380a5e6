#include "promotion_model.h"

#include <algorithm>
#include <utility>

namespace waxwing::control::testing
{

namespace
{

constexpr Duration renewalInterval = 400ms;
constexpr Duration controlInterval = 40ms;
constexpr Duration writeInterval = 60ms;
constexpr Duration meanFaultInterval = 700ms;
constexpr Duration primaryFailureTimeout = 300ms; // an unreachable primary is replaced after this time
constexpr double messageLossChance = 0.1;
constexpr double lostAnswerChance = 0.3; // of a promotion order; half of these orders are executed later

std::string nameOf(std::size_t database)
{
    return std::string(1, static_cast<char>('a' + database));
}

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(name.front() - 'a');
}

} // namespace

PromotionModel::PromotionModel(std::uint64_t seed, Defect defect)
    : m_random(seed)
    , m_defect(defect)
    , m_now(TimePoint(100s))
{
    for (std::size_t i = 0; i < nodeCount; ++i) {
        m_proxies[i].name = "p" + std::to_string(i);
        schedule(m_random.upTo(renewalInterval), [this, i] { scheduleEvery(renewalInterval, [this, i] { renew(i); }); });
        schedule(m_random.upTo(writeInterval), [this, i] { scheduleEvery(writeInterval, [this, i] { write(i); }); });
        schedule(m_random.upTo(writeInterval), [this, i] { scheduleEvery(writeInterval, [this, i] { read(i); }); });
        schedule(m_random.upTo(controlInterval), [this, i] { scheduleEvery(controlInterval, [this, i] { replicate(i); }); });
    }
    startControlTerm();
    scheduleEvery(controlInterval, [this] { advancePrimaryChange(); });
    scheduleEvery(meanFaultInterval, [this] { injectFault(); });
}

std::string PromotionModel::run(Duration duration)
{
    const auto end = m_now + duration;
    while (m_violation.empty() && !m_events.empty() && m_events.begin()->first < end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    return m_violation;
}

void PromotionModel::schedule(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void PromotionModel::scheduleEvery(Duration interval, std::function<void()> action)
{
    schedule(interval / 2 + m_random.upTo(interval), [this, interval, action] {
        action();
        scheduleEvery(interval, action);
    });
}

TermPosition PromotionModel::lastPosition(const Database &database) const
{
    return database.log.empty() ? TermPosition() : database.log.back().position;
}

bool PromotionModel::holds(const Database &database, const Commit &commit) const
{
    const auto &log = database.log;
    return commit.position.position <= log.size() && log[commit.position.position - 1].id == commit.id;
}

bool PromotionModel::holdsAllAcknowledged(const Database &database, std::size_t count) const
{
    const auto end = m_acknowledged.begin() + static_cast<std::ptrdiff_t>(count);
    return std::all_of(m_acknowledged.begin(), end, [&](const Commit &commit) { return holds(database, commit); });
}

void PromotionModel::reportViolation(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what + " at " + std::to_string(toMilliseconds(m_now.time_since_epoch()).count()) + " ms";
    }
}

void PromotionModel::injectFault()
{
    const auto a = m_random.between(0, nodeCount - 1);
    const auto b = m_random.between(0, nodeCount - 1);
    const auto duration = 200ms + m_random.upTo(6s);
    auto &database = m_databases[a];
    auto &proxy = m_proxies[a];
    switch (m_random.between(0, 6)) {
    case 0:
        database.running = false; // restarts with its log, as a replica if another database leads by then
        schedule(duration, [&database] { database.running = true; });
        break;
    case 1:
        database.receivesFrom[b] = false;
        schedule(duration, [&database, b] { database.receivesFrom[b] = true; });
        break;
    case 2:
        database.controlReachable = false;
        schedule(duration, [&database] { database.controlReachable = true; });
        break;
    case 3:
        database.reachableFromProxies[b] = false;
        schedule(duration, [&database, b] { database.reachableFromProxies[b] = true; });
        break;
    case 4:
        proxy.controlReachable = false;
        schedule(duration, [&proxy] { proxy.controlReachable = true; });
        break;
    case 5:
        if (m_random.chance(0.5)) {
            proxy.suspendedUntil = m_now + duration;
        } else {
            const auto name = proxy.name;
            const auto incarnation = proxy.incarnation + 1;
            proxy = Proxy(); // restarts without state
            proxy.name = name;
            proxy.incarnation = incarnation;
        }
        break;
    default:
        startControlTerm();
        break;
    }
}

void PromotionModel::replicate(std::size_t to)
{
    auto &replica = m_databases[to];
    if (m_leadingDatabase == noDatabase || to == m_leadingDatabase || !replica.running || !m_databases[m_leadingDatabase].running
        || !replica.receivesFrom[m_leadingDatabase] || replica.pausedTerm > m_databases[m_leadingDatabase].term) {
        return;
    }
    const auto &source = m_databases[m_leadingDatabase];
    replica.term = source.term;
    if (replica.log.size() < source.log.size()) {
        const auto count = m_random.between(replica.log.size(), source.log.size());
        replica.log.assign(source.log.begin(), source.log.begin() + static_cast<std::ptrdiff_t>(count));
    }
}

void PromotionModel::write(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now || proxy.primary == noDatabase || !proxy.lease.mayAcknowledge("s", proxy.epoch, m_now)) {
        return;
    }
    auto &database = m_databases[proxy.primary];
    if (!database.running || !database.reachableFromProxies[index] || m_leadingDatabase != proxy.primary) {
        return; // unreachable, or refused by a database that no longer leads
    }
    const Commit commit {++m_lastCommit, {database.term, database.log.size() + 1}};
    database.log.push_back(commit);
    // The commit is acknowledged after one replica has received it.
    schedule(1ms + m_random.upTo(60ms),
             [this, index, commit, leader = proxy.primary, term = database.term, incarnation = proxy.incarnation, epoch = proxy.epoch, sentAt = m_now] {
                 const auto &source = m_databases[leader];
                 if (m_leadingDatabase != leader || source.term != term || !source.running) {
                     return;
                 }
                 const auto start = m_random.between(0, nodeCount - 1);
                 for (std::size_t i = 0; i < nodeCount; ++i) {
                     const auto to = (start + i) % nodeCount;
                     auto &replica = m_databases[to];
                     if (to == leader || !replica.running || !replica.receivesFrom[leader] || replica.pausedTerm > source.term) {
                         continue;
                     }
                     const auto end = std::find_if(source.log.begin(), source.log.end(), [&](const Commit &one) { return one.id == commit.id; });
                     if (replica.log.size() < static_cast<std::size_t>(end - source.log.begin()) + 1) {
                         replica.log.assign(source.log.begin(), std::next(end));
                         replica.term = source.term;
                     }
                     schedule(1ms + m_random.upTo(100ms), [=, this] { answerWrite(index, incarnation, epoch, commit, sentAt); });
                     return;
                 }
             });
}

void PromotionModel::answerWrite(std::size_t index, std::uint64_t incarnation, std::uint64_t epoch, const Commit &commit, TimePoint sentAt)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now) {
        schedule(proxy.suspendedUntil - m_now, [=, this] { answerWrite(index, incarnation, epoch, commit, sentAt); });
        return;
    }
    if (proxy.incarnation != incarnation) {
        return;
    }
    if (m_defect != Defect::AcknowledgeInClosedEpoch && !proxy.lease.mayAcknowledge("s", epoch, m_now)) {
        return; // the caller receives the outcome unknown
    }
    proxy.history.add(commit.position, sentAt);
    proxy.acknowledged = std::max(proxy.acknowledged, commit.position);
    m_acknowledged.push_back(commit);
    const bool rolledBack
        = m_leadingDatabase != noDatabase && m_databases[m_leadingDatabase].term > commit.position.term && !holds(m_databases[m_leadingDatabase], commit);
    if (rolledBack) {
        reportViolation("acknowledged a commit that the new primary does not have");
    }
}

void PromotionModel::read(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now || proxy.primary == noDatabase) {
        return;
    }
    const auto acknowledged = m_acknowledged.size();
    const auto primary = proxy.primary;
    const auto epoch = proxy.epoch;
    schedule(m_random.upTo(60ms), [=, this] {
        if (!m_databases[primary].running || !m_databases[primary].reachableFromProxies[index]) {
            return;
        }
        const bool complete = holdsAllAcknowledged(m_databases[primary], acknowledged);
        const bool leads = m_leadingDatabase == primary;
        schedule(m_random.upTo(60ms), [=, this] {
            auto &reader = m_proxies[index];
            const bool leased = reader.suspendedUntil <= m_now && reader.lease.covers("s", epoch, m_now);
            // Without a lease, the answer is checked by the database, which refuses reads unless it leads.
            if (!complete && (leased || leads)) {
                reportViolation(leased ? "stale read under a lease" : "stale read from the leading database");
            }
        });
    });
}

void PromotionModel::renew(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now || !proxy.controlReachable) {
        return;
    }
    schedule(1ms + m_random.upTo(50ms), [this, index, incarnation = proxy.incarnation, sentAt = m_now, controlTerm = m_controlTerm] {
        auto &sender = m_proxies[index];
        if (controlTerm != m_controlTerm || !sender.controlReachable || m_random.chance(messageLossChance)) {
            return;
        }
        wire::PoolRenewal renewal;
        renewal.set_proxy(sender.name);
        renewal.set_incarnation(incarnation);
        m_leases.expire(m_now);
        m_leases.renew(renewal, m_now);
        m_record.proxies.insert(sender.name);
        m_leases.grant(sender.name, m_now);
        schedule(1ms + m_random.upTo(50ms), [this, index, incarnation, sentAt, epoch = m_record.epoch, primary = m_record.primary] {
            if (m_proxies[index].controlReachable && !m_random.chance(messageLossChance)) {
                handleGrant(index, incarnation, sentAt, epoch, primary);
            }
        });
    });
}

void PromotionModel::handleGrant(std::size_t index, std::uint64_t incarnation, TimePoint sentAt, std::uint64_t epoch, std::size_t primary)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now) {
        schedule(proxy.suspendedUntil - m_now, [=, this] { handleGrant(index, incarnation, sentAt, epoch, primary); });
        return;
    }
    if (proxy.incarnation != incarnation || epoch < proxy.epoch) {
        return;
    }
    proxy.lease.renew(sentAt, m_leases.options().lease);
    if (primary != noDatabase) {
        proxy.lease.grantEpoch("s", epoch);
    } else {
        proxy.lease.withdraw("s", epoch - 1);
    }
    proxy.epoch = epoch;
    proxy.primary = primary;
}

void PromotionModel::withdraw(const std::string &name, const wire::PoolWithdraw &request)
{
    const auto found = std::find_if(m_proxies.begin(), m_proxies.end(), [&](const Proxy &proxy) { return proxy.name == name; });
    const auto index = static_cast<std::size_t>(found - m_proxies.begin());
    schedule(1ms + m_random.upTo(50ms), [this, index, request, controlTerm = m_controlTerm] {
        auto &proxy = m_proxies[index];
        if (proxy.suspendedUntil > m_now || !proxy.controlReachable || m_random.chance(messageLossChance)) {
            return;
        }
        wire::PoolWithdrawn reply;
        reply.set_service("s");
        reply.set_epoch(request.epoch());
        reply.set_proxy(proxy.name);
        reply.set_incarnation(proxy.incarnation);
        reply.set_closed(request.closes());
        request.closes() ? proxy.lease.stopAcknowledging("s", request.epoch()) : proxy.lease.withdraw("s", request.epoch());
        reply.mutable_acknowledged()->set_term(proxy.acknowledged.term);
        reply.mutable_acknowledged()->set_number(proxy.acknowledged.position);
        const auto evidence = request.evidence_ms() == 0 ? std::nullopt : proxy.history.proof(m_now - std::chrono::milliseconds(request.evidence_ms()));
        if (evidence) {
            reply.mutable_reported()->set_term(evidence->term);
            reply.mutable_reported()->set_number(evidence->position);
        }
        schedule(1ms + m_random.upTo(50ms), [this, reply, controlTerm] {
            if (controlTerm == m_controlTerm) {
                m_withdrawal.confirm(reply);
            }
        });
    });
}

void PromotionModel::startControlTerm()
{
    ++m_controlTerm;
    m_leases.reset(m_now, m_record.proxies);
    m_withdrawal = EpochWithdrawal();
    m_primaryChange = PrimaryChange();
    m_primaryChange.neededSince = m_now;
}

void PromotionModel::advancePrimaryChange()
{
    for (const auto &proxy : m_leases.expire(m_now)) {
        m_record.proxies.erase(proxy);
    }
    if (!m_primaryChange.active) {
        const bool needed = m_record.primary == noDatabase || !m_databases[m_record.primary].running || !m_databases[m_record.primary].controlReachable
            || m_leadingDatabase != m_record.primary || m_random.chance(0.002);
        if (!needed) {
            m_primaryChange.neededSince = m_now;
        }
        if (m_now - m_primaryChange.neededSince < primaryFailureTimeout) {
            return;
        }
        m_record.previousPrimary = m_record.primary == noDatabase ? m_record.previousPrimary : m_record.primary;
        m_record.primary = noDatabase;
        m_record.epoch = ++m_logIndex;
        m_withdrawal.start(m_record.epoch);
        m_primaryChange.active = true;
        m_primaryChange.candidate.reset();
        m_primaryChange.ordered = false;
    }
    const bool withdrawn = m_withdrawal.advance("s", m_leases, m_now, [this](const std::string &proxy, const wire::PoolEnvelope &message) {
        withdraw(proxy, message.withdraw());
    }) || m_defect == Defect::PromoteWithoutWithdrawal;
    if (!m_primaryChange.candidate) {
        m_primaryChange.candidate = chooseCandidate();
        return;
    }
    if (!m_primaryChange.ordered) {
        if (withdrawn) {
            orderPromotion(*m_primaryChange.candidate, m_record.epoch);
        }
        return;
    }
    if (m_leadingDatabase == *m_primaryChange.candidate) {
        m_record.primary = *m_primaryChange.candidate;
        m_record.term = std::max(m_record.term, m_databases[m_leadingDatabase].term);
        m_primaryChange = PrimaryChange();
        m_primaryChange.neededSince = m_now;
        ++m_finishedChanges;
    }
}

std::optional<std::size_t> PromotionModel::chooseCandidate()
{
    auto term = m_record.term;
    for (const auto &database : m_databases) {
        if (database.running && database.controlReachable) {
            term = std::max(term, database.term);
        }
    }
    auto previous = m_record.previousPrimary;
    bool steppedDown = false;
    if (m_leadingDatabase != noDatabase && m_databases[m_leadingDatabase].running && m_databases[m_leadingDatabase].controlReachable) {
        const bool receiving
            = std::all_of(m_databases.begin(), m_databases.end(), [&](const Database &one) { return one.pausedTerm <= m_databases[m_leadingDatabase].term; });
        if (m_leadingDatabase != previous && receiving) {
            return m_leadingDatabase;
        }
        previous = m_leadingDatabase;
        m_leadingDatabase = noDatabase; // steps down and becomes a replica
        steppedDown = true;
    }
    PrimaryChoice choice(nameOf(previous));
    for (std::size_t i = 0; i < nodeCount; ++i) {
        auto &database = m_databases[i];
        const bool answers = database.running && database.controlReachable && i != m_leadingDatabase
            && (i == previous ? steppedDown || m_leadingDatabase == noDatabase : true) && !m_random.chance(messageLossChance);
        if (answers && i != previous) {
            database.pausedTerm = std::max(database.pausedTerm, term + 1);
        }
        choice.add({nameOf(i), false, answers ? std::optional(lastPosition(database)) : std::nullopt});
    }
    if (steppedDown) {
        if (const auto id = choice.bestAfterStepDown(); !id.empty()) {
            return indexOf(id);
        }
    }
    if (choice.needsAcknowledgedPosition()) {
        m_withdrawal.close();
        choice.setAcknowledgedPosition(m_defect == Defect::IgnoreAcknowledgedPosition ? std::optional(TermPosition())
                                                                                      : m_withdrawal.acknowledged(m_leases, m_now));
    }
    const auto id = choice.bestAmongStopped();
    return id.empty() ? std::nullopt : std::optional(indexOf(id));
}

void PromotionModel::orderPromotion(std::size_t candidate, std::uint64_t token)
{
    if (m_random.chance(lostAnswerChance)) {
        // The answer is lost; the order may still be executed later.
        if (m_random.chance(0.5)) {
            schedule(2s + m_random.upTo(10s), [this, candidate, token] { promote(candidate, token); });
        }
        m_primaryChange.active = false; // the change starts again with a new token
        return;
    }
    promote(candidate, token);
    m_primaryChange.ordered = m_leadingDatabase == candidate;
    m_primaryChange.active = m_primaryChange.ordered;
}

void PromotionModel::promote(std::size_t index, std::uint64_t token)
{
    auto &database = m_databases[index];
    if (token < m_fencingToken || !database.running) {
        return;
    }
    m_fencingToken = token;
    if (m_leadingDatabase == index) {
        return;
    }
    if (!holdsAllAcknowledged(database, m_acknowledged.size())) {
        reportViolation("an acknowledged commit is not in the log of the database that is promoted");
    }
    std::uint64_t term = 0;
    for (const auto &one : m_databases) {
        term = std::max(term, one.term);
    }
    m_leadingDatabase = index;
    database.term = term + 1;
    for (auto &other : m_databases) {
        if (other.pausedTerm <= database.term) {
            other.pausedTerm = 0;
        }
        // Commits that the new primary does not have are rolled back.
        const auto differs = std::mismatch(other.log.begin(), other.log.end(), database.log.begin(), database.log.end(),
                                           [](const Commit &one, const Commit &two) { return one.id == two.id; });
        other.log.erase(differs.first, other.log.end());
    }
}

} // namespace waxwing::control::testing
