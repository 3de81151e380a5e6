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
constexpr Duration minOrderDelay = 2s;
constexpr Duration orderDelayRange = 10s;
constexpr Duration heartbeatExpiry = 8s;
constexpr Duration lateOrderLimit = 15s; // longer than the longest delay of an order
constexpr Duration minPromotionTime = 300ms; // from an order until its database leads
constexpr Duration promotionTimeRange = 700ms;
constexpr Duration promotionTimeout = 4s;
constexpr Duration writeTimeout = 1s;
constexpr Duration possibleCommitsTimeout = 8s;
constexpr Duration maxUnansweredExit = 6s; // from a deregistration without an answer to the exit
constexpr Duration replacedPrimaryTimeout = 1s; // after which a replaced primary that reaches the new one stops

std::string nameOf(std::size_t database)
{
    return std::string(1, static_cast<char>('a' + database));
}

/// Removes the end of a log that differs from another one.
template<class Log>
void dropDivergent(Log &log, const Log &other)
{
    const auto differs = std::mismatch(log.begin(), log.end(), other.begin(), other.end(), [](const auto &one, const auto &two) { return one.id == two.id; });
    log.erase(differs.first, log.end());
}

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(name.front() - 'a');
}

} // namespace

PromotionModel::PromotionModel(std::uint64_t seed, Platform platform, std::set<Defect> defects)
    : m_random(seed)
    , m_platform(platform)
    , m_defects(std::move(defects))
    , m_now(TimePoint(100s))
    , m_pendingOrders(lateOrderLimit)
{
    m_databases.front().leads = true;
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
    switch (m_random.between(0, 7)) {
    case 0:
        database.running = false; // restarts with its log, as a replica if another database leads by then
        schedule(m_random.chance(0.5) ? duration : m_random.upTo(200ms), [this, &database] {
            database.running = true;
            ++database.born; // control can't tell whether it kept its log
            database.leaving = false;
            database.pausedTerm = 0;
            const auto leader = latestLeader();
            if (database.leads && leader != noDatabase && m_databases[leader].term > database.term) {
                database.leads = false;
            }
        });
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
    case 6:
        replaceDatabase(a, duration);
        break;
    default:
        startControlTerm();
        break;
    }
}

void PromotionModel::replaceDatabase(std::size_t index, Duration duration)
{
    auto &database = m_databases[index];
    if (!database.running || database.leaving) {
        return;
    }
    const bool deregisters = m_random.chance(0.5) && database.controlReachable;
    const auto downtime = m_random.chance(0.5) ? 2 * duration : m_random.upTo(200ms);
    if (deregisters && m_record.runs[index] != 0) {
        stopReceiving(index);
        const bool looksForIt = !has(Defect::ForgetDeregistered);
        recordGone(index, looksForIt);
        if (looksForIt) {
            m_record.absent.emplace(index, database.born); // control may know its earlier run only
        }
        if (m_random.chance(0.5)) {
            database.leaving = true;
            schedule(m_random.upTo(maxUnansweredExit), [this, index, downtime, born = database.born] {
                if (m_databases[index].running && m_databases[index].born == born) {
                    endRun(index, downtime);
                }
            });
            return;
        }
    }
    endRun(index, downtime);
}

void PromotionModel::stopReceiving(std::size_t index)
{
    auto &database = m_databases[index];
    if (database.leads || database.term > m_record.term || database.born != m_record.runs[index] || m_random.chance(messageLossChance)) {
        return;
    }
    database.pausedTerm = std::max(database.pausedTerm, m_record.term + 1);
    m_record.stopped[{index, m_record.runs[index]}] = {lastPosition(database), m_record.term};
}

void PromotionModel::endRun(std::size_t index, Duration downtime)
{
    auto &database = m_databases[index];
    const auto born = ++database.born;
    ++database.disk;
    database.running = false;
    database.leads = false;
    database.leaving = false;
    database.log.clear(); // with its disk
    database.term = 0;
    database.pausedTerm = 0;
    schedule(downtime, [&database, born] { database.running = database.running || database.born == born; });
}

void PromotionModel::recordGone(std::size_t index, bool looksForIt)
{
    if (looksForIt) {
        m_record.absent.emplace(index, m_record.runs[index]);
    }
    m_record.runs[index] = 0;
}

void PromotionModel::recordDatabases()
{
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const auto &database = m_databases[i];
        auto &run = m_record.runs[i];
        if (!isInUse(database)) {
            if (run != 0 && m_now - m_heardAt[i] >= heartbeatExpiry) {
                m_forgottenByNextLeader.emplace(i, run);
                recordGone(i, true);
            }
            continue;
        }
        m_heardAt[i] = m_now;
        if (run != 0 && run != database.born && !has(Defect::TrustRestarted)) {
            m_record.absent.emplace(i, run);
        }
        run = database.born;
        std::erase_if(m_record.absent, [&](const auto &absent) { return absent.first == i && (absent.second == run || database.leads); });
    }
}

void PromotionModel::forgetAbsent()
{
    const auto &primary = m_databases[m_record.primary];
    if (m_record.absent.empty() || !primary.leads || !isInUse(primary) || latestLeader() != m_record.primary) {
        return;
    }
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const auto &replica = m_databases[i];
        const bool answers = isInUse(replica) && !replica.leads && m_record.runs[i] == replica.born;
        if (answers && lastPosition(replica) >= lastPosition(primary)) {
            // Earlier runs have ended; one that only fell silent may still receive.
            std::erase_if(m_record.absent, [&](const auto &absent) {
                const auto &database = m_databases[absent.first];
                return database.born != absent.second || (database.leaving && has(Defect::TrustDeregistration));
            });
            return;
        }
    }
}

std::size_t PromotionModel::latestLeader() const
{
    auto latest = noDatabase;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        if (m_databases[i].leads && (latest == noDatabase || m_databases[i].term > m_databases[latest].term)) {
            latest = i;
        }
    }
    return latest;
}

void PromotionModel::learnOfPromotion(std::size_t index)
{
    auto &database = m_databases[index];
    const auto leader = latestLeader();
    if (!database.leads || leader == index || !m_databases[leader].running || !database.running || !database.receivesFrom[leader]) {
        database.reachesNewPrimarySince = TimePoint();
        return;
    }
    if (database.reachesNewPrimarySince == TimePoint()) {
        database.reachesNewPrimarySince = m_now;
    }
    if (m_now - database.reachesNewPrimarySince >= replacedPrimaryTimeout) {
        database.leads = false;
    }
}

bool PromotionModel::isKnown(std::size_t index) const
{
    return m_record.runs[index] != 0 || m_databases[index].leaving
        || std::any_of(m_record.absent.begin(), m_record.absent.end(), [index](const auto &absent) { return absent.first == index; });
}

void PromotionModel::replicate(std::size_t to)
{
    learnOfPromotion(to);
    auto &replica = m_databases[to];
    if (!replica.running || replica.leads || !isKnown(to)) {
        return;
    }
    auto from = noDatabase;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const auto &candidate = m_databases[i];
        const bool sends
            = candidate.leads && candidate.running && replica.receivesFrom[i] && replica.pausedTerm <= candidate.term && replica.term <= candidate.term;
        if (sends && (from == noDatabase || candidate.term > m_databases[from].term)) {
            from = i;
        }
    }
    if (from == noDatabase) {
        return;
    }
    const auto &source = m_databases[from];
    replica.term = source.term;
    dropDivergent(replica.log, source.log);
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
    if (!database.running || !database.reachableFromProxies[index] || !database.leads) {
        return; // unreachable, or refused by a database that no longer leads
    }
    const Commit commit {++m_lastCommit, {database.term, database.log.size() + 1}};
    database.log.push_back(commit);
    const auto sent = proxy.commits.send(m_now);
    schedule(writeTimeout, [this, index, incarnation = proxy.incarnation, sent] { abandonWrite(index, incarnation, sent); });
    // The commit is acknowledged after one replica has received it.
    schedule(1ms + m_random.upTo(60ms),
             [this, index, commit, leader = proxy.primary, term = database.term, incarnation = proxy.incarnation, epoch = proxy.epoch, sent] {
                 const auto &source = m_databases[leader];
                 if (!source.leads || source.term != term || !source.running) {
                     return;
                 }
                 const auto start = m_random.between(0, nodeCount - 1);
                 for (std::size_t i = 0; i < nodeCount; ++i) {
                     const auto to = (start + i) % nodeCount;
                     auto &replica = m_databases[to];
                     if (to == leader || replica.leads || !replica.running || !isKnown(to) || !replica.receivesFrom[leader] || replica.pausedTerm > source.term
                         || replica.term > source.term) {
                         continue;
                     }
                     const auto end = std::find_if(source.log.begin(), source.log.end(), [&](const Commit &one) { return one.id == commit.id; });
                     if (!holds(replica, commit)) {
                         replica.log.assign(source.log.begin(), std::next(end));
                         replica.term = source.term;
                     }
                     // The primary states the end of its log, which may include later commits.
                     schedule(1ms + m_random.upTo(100ms),
                              [=, this, stated = lastPosition(source)] { answerWrite(index, incarnation, epoch, commit, stated, sent); });
                     return;
                 }
             });
}

void PromotionModel::abandonWrite(std::size_t index, std::uint64_t incarnation, const CommitTracker::Commit &sent)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now) {
        // It then reads the answers that have arrived first.
        schedule(proxy.suspendedUntil - m_now + 1ms, [=, this] { abandonWrite(index, incarnation, sent); });
    } else if (proxy.incarnation == incarnation) {
        proxy.commits.abandon(sent, m_now);
    }
}

void PromotionModel::answerWrite(std::size_t index, std::uint64_t incarnation, std::uint64_t epoch, const Commit &commit, TermPosition stated,
                                 const CommitTracker::Commit &sent)
{
    auto &proxy = m_proxies[index];
    if (proxy.suspendedUntil > m_now) {
        schedule(proxy.suspendedUntil - m_now, [=, this] { answerWrite(index, incarnation, epoch, commit, stated, sent); });
        return;
    }
    if (proxy.incarnation != incarnation) {
        return;
    }
    if (!has(Defect::AcknowledgeInClosedEpoch) && !proxy.lease.mayAcknowledge("s", epoch, m_now)) {
        return; // the caller receives the outcome unknown
    }
    if (m_platform == Platform::Fenced || proxy.lease.covers("s", epoch, m_now)) {
        proxy.history.add(commit.position, sent.sentAt);
    }
    proxy.commits.acknowledge(sent, stated, true);
    m_acknowledged.push_back(commit);
    const auto leader = latestLeader();
    const bool rolledBack = leader != noDatabase && m_databases[leader].term > commit.position.term && !holds(m_databases[leader], commit);
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
    const std::pair connection(primary, m_databases[primary].born);
    if (proxy.connection != connection && !m_databases[primary].leads) {
        return;
    }
    proxy.connection = connection;
    const auto epoch = proxy.epoch;
    schedule(m_random.upTo(60ms), [=, this, run = m_databases[primary].born] {
        if (!m_databases[primary].running || !m_databases[primary].reachableFromProxies[index] || run != m_databases[primary].born) {
            return;
        }
        const bool complete = holdsAllAcknowledged(m_databases[primary], acknowledged);
        const bool provesRole = m_databases[primary].leads && (m_platform == Platform::Fenced || has(Defect::ReadWithoutLease));
        schedule(m_random.upTo(60ms), [=, this] {
            auto &reader = m_proxies[index];
            const bool leased = reader.suspendedUntil <= m_now && reader.lease.covers("s", epoch, m_now);
            // Without a lease, the answer is checked by the database, if it refuses reads as soon as another one leads.
            if (!complete && (leased || provesRole)) {
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
    if (primary != noDatabase) {
        proxy.lease.grantEpoch("s", epoch);
    } else {
        proxy.lease.withdraw("s", epoch - 1);
    }
    proxy.lease.renew(sentAt, m_leases.options().lease, m_now);
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
        reply.set_round(request.round());
        request.closes() ? proxy.lease.close("s", request.epoch()) : proxy.lease.withdraw("s", request.epoch());
        const auto setPlace = [](wire::LogPlace *place, const TermPosition &position) {
            place->set_term(position.term);
            place->set_number(position.position);
        };
        setPlace(reply.mutable_acknowledged(), proxy.commits.acknowledged());
        setPlace(reply.mutable_acknowledged_at_least(), proxy.commits.acknowledgedAtLeast());
        setPlace(reply.mutable_replicated(), proxy.commits.replicated());
        reply.set_unsettled_commits(static_cast<std::uint32_t>(proxy.commits.unsettled()));
        reply.set_settles_departed(request.evidence_ms() != 0 && proxy.commits.hasSettledAll(m_now - std::chrono::milliseconds(request.evidence_ms())));
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
    m_pendingOrders = PendingOrders(lateOrderLimit);
    m_primaryChange = PrimaryChange();
    m_primaryChange.neededSince = m_now;
    if (has(Defect::ForgetSilent)) {
        std::erase_if(m_record.absent, [&](const auto &absent) { return m_forgottenByNextLeader.contains(absent); });
    }
}

void PromotionModel::advancePrimaryChange()
{
    recordDatabases();
    for (const auto &proxy : m_leases.expire(m_now)) {
        m_record.proxies.erase(proxy);
    }
    if (!m_primaryChange.active) {
        const bool needed
            = m_record.primary == noDatabase || !isInUse(m_databases[m_record.primary]) || latestLeader() != m_record.primary || m_random.chance(0.002);
        if (!needed) {
            m_primaryChange.neededSince = m_now;
        }
        if (m_now - m_primaryChange.neededSince < primaryFailureTimeout) {
            if (!needed) {
                forgetAbsent();
            }
            return;
        }
        m_record.previousPrimary = m_record.primary == noDatabase ? m_record.previousPrimary : m_record.primary;
        m_record.primary = noDatabase;
        m_record.epoch = ++m_logIndex;
        m_withdrawal.start(m_record.epoch);
        m_primaryChange.active = true;
        m_primaryChange.candidate.reset();
        m_primaryChange.orderedAt = TimePoint();
    }
    if (!m_primaryChange.candidate) {
        if (advanceWithdrawal()) {
            m_primaryChange.candidate = chooseCandidate();
            m_primaryChange.candidateDisk = m_primaryChange.candidate ? m_databases[*m_primaryChange.candidate].disk : 0;
        }
        return;
    }
    if (m_primaryChange.orderedAt == TimePoint()) {
        if (mayOrder(*m_primaryChange.candidate)) {
            orderPromotion(*m_primaryChange.candidate, m_record.epoch);
        } else {
            m_primaryChange.active = false;
        }
        return;
    }
    if (m_now - m_primaryChange.orderedAt >= promotionTimeout) {
        m_primaryChange.active = false; // its database crashed meanwhile
        return;
    }
    if (m_databases[*m_primaryChange.candidate].leads) {
        m_record.primary = *m_primaryChange.candidate;
        m_record.term = std::max(m_record.term, m_databases[m_record.primary].term);
        m_primaryChange = PrimaryChange();
        m_primaryChange.neededSince = m_now;
        ++m_finishedChanges;
    }
}

std::optional<std::size_t> PromotionModel::chooseCandidate()
{
    auto term = m_record.term;
    for (const auto &database : m_databases) {
        if (isInUse(database)) {
            term = std::max(term, database.term);
        }
    }
    auto previous = m_record.previousPrimary;
    bool steppedDown = false;
    auto leading = noDatabase;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        auto &database = m_databases[i];
        if (!database.leads || !isInUse(database)) {
            continue;
        }
        if (database.term < term && !has(Defect::TrustEarlierTerm)) {
            database.leads = false; // replaced; steps down and becomes a replica
        } else if (leading == noDatabase || database.term > m_databases[leading].term) {
            leading = i;
        }
    }
    if (leading != noDatabase) {
        const bool receiving
            = std::all_of(m_databases.begin(), m_databases.end(), [&](const Database &one) { return one.pausedTerm <= m_databases[leading].term; });
        if (leading != previous && receiving) {
            return leading;
        }
        previous = leading;
        m_databases[leading].leads = false; // steps down and becomes a replica
        std::erase_if(m_record.absent, [leading](const auto &absent) { return absent.first == leading; });
        steppedDown = true;
    }
    const auto addLogs = [&](PrimaryChoice &choice, bool pauses) {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            auto &database = m_databases[i];
            const bool answers = isInUse(database) && !database.leads && !m_random.chance(messageLossChance);
            if (answers && pauses && i != previous) {
                database.pausedTerm = std::max(database.pausedTerm, term + 1);
            }
            if (m_record.runs[i] != 0) {
                const bool restarted = std::any_of(m_record.absent.begin(), m_record.absent.end(), [i](const auto &absent) { return absent.first == i; });
                choice.add({nameOf(i), false, restarted, answers ? std::optional(lastPosition(database)) : std::nullopt});
            }
        }
        for (const auto &absent : m_record.absent) {
            if (absent.first == previous) {
                continue;
            }
            const auto stop = m_record.stopped.find(absent);
            if (stop != m_record.stopped.end() && (stop->second.term >= term || has(Defect::TrustEndedPause))) {
                choice.addStopped(nameOf(absent.first), stop->second.received);
            } else {
                choice.addMissing(nameOf(absent.first));
            }
        }
    };
    if (steppedDown) {
        PrimaryChoice choice(nameOf(previous));
        addLogs(choice, false);
        requireAcknowledgedCommits(choice);
        if (const auto id = choice.bestAfterStepDown(); !id.empty()) {
            return indexOf(id);
        }
    }
    if (!has(Defect::CompareBeforeClosing)) {
        m_withdrawal.close();
        if (!advanceWithdrawal()) {
            return std::nullopt;
        }
    }
    PrimaryChoice choice(nameOf(previous));
    addLogs(choice, true);
    if (choice.needsAcknowledgedPosition()) {
        m_withdrawal.close();
        choice.setAcknowledgedPosition(has(Defect::IgnoreAcknowledgedPosition) ? std::optional(TermPosition()) : m_withdrawal.acknowledged(m_leases, m_now));
    }
    requireAcknowledgedCommits(choice);
    const auto id = choice.bestAmongStopped();
    return id.empty() ? std::nullopt : std::optional(indexOf(id));
}

void PromotionModel::requireAcknowledgedCommits(waxwing::PrimaryChoice &choice)
{
    if (has(Defect::IgnoreStatedCommits)) {
        return;
    }
    auto &since = m_primaryChange.possibleCommitsAwaitedSince;
    const auto certain = m_withdrawal.acknowledgedAtLeast(m_leases, m_now);
    const auto possible = m_withdrawal.acknowledgedAtMost();
    choice.setCertainPosition(certain);
    if (!choice.lacks(certain) && choice.lacks(possible) && !since) {
        since = m_now;
    }
    if (!since || m_now - *since < possibleCommitsTimeout) {
        choice.setAwaitedPosition(possible);
    }
}

bool PromotionModel::advanceWithdrawal()
{
    const bool withdrawn = m_withdrawal.advance("s", m_leases, m_now,
                                                [this](const std::string &proxy, const wire::PoolEnvelope &message) { withdraw(proxy, message.withdraw()); });
    return withdrawn || has(Defect::PromoteWithoutWithdrawal);
}

bool PromotionModel::mayOrder(std::size_t candidate)
{
    if (m_platform == Platform::Fenced || has(Defect::IgnoreLateOrders)) {
        return true;
    }
    for (const auto database : m_record.orders) {
        m_pendingOrders.adopt(nameOf(database), m_now);
    }
    for (const auto &database : m_pendingOrders.expire(m_now)) {
        m_record.orders.erase(indexOf(database));
    }
    return m_pendingOrders.allows(nameOf(candidate));
}

void PromotionModel::orderPromotion(std::size_t candidate, std::uint64_t token)
{
    if (m_random.chance(lostAnswerChance)) {
        // The answer is lost; the order may still be executed later.
        if (m_random.chance(0.5)) {
            schedule(minOrderDelay + m_random.upTo(orderDelayRange),
                     [this, candidate, token, disk = m_primaryChange.candidateDisk] { acceptOrder(candidate, token, disk); });
        }
        m_pendingOrders.recordUnanswered(nameOf(candidate), m_now);
        m_record.orders.insert(candidate);
        m_primaryChange.active = false; // the change starts again with a new token
        return;
    }
    m_primaryChange.active = acceptOrder(candidate, token, m_primaryChange.candidateDisk);
    m_primaryChange.orderedAt = m_now;
}

bool PromotionModel::acceptOrder(std::size_t index, std::uint64_t token, std::uint64_t disk)
{
    const auto isPossible = [this, index, disk] {
        return m_databases[index].running && m_databases[index].disk == disk;
    };
    if ((token < m_fencingToken && m_platform == Platform::Fenced) || !isPossible()) {
        return false;
    }
    m_fencingToken = token;
    schedule(minPromotionTime + m_random.upTo(promotionTimeRange), [this, index, token, isPossible] {
        // A later order replaces one that is being carried out.
        if (isPossible() && (token == m_fencingToken || m_platform == Platform::Unfenced)) {
            promote(index);
        }
    });
    return true;
}

void PromotionModel::promote(std::size_t index)
{
    auto &database = m_databases[index];
    if (latestLeader() == index) {
        return;
    }
    if (!holdsAllAcknowledged(database, m_acknowledged.size())) {
        reportViolation("an acknowledged commit is not in the log of the database that is promoted");
    }
    std::uint64_t term = 0;
    for (const auto &one : m_databases) {
        term = std::max(term, one.term);
    }
    database.leads = true;
    database.term = term + 1;
    for (auto &other : m_databases) {
        if (m_platform == Platform::Fenced) {
            if (other.pausedTerm <= database.term) {
                other.pausedTerm = 0;
            }
            other.leads = &other == &database;
            dropDivergent(other.log, database.log); // commits that the new primary does not have are rolled back
        }
    }
}

} // namespace waxwing::control::testing
