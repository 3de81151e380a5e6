#include "promotion_model.h"

#include <algorithm>
#include <utility>

namespace waxwing::control::testing
{

namespace
{

constexpr Duration renewalInterval = 400ms;
constexpr Duration controlStep = 40ms;
constexpr Duration writeInterval = 60ms;
constexpr Duration trouble = 700ms; // mean time between disturbances
constexpr Duration changePatience = 300ms; // without a reachable primary, before it is replaced
constexpr double lossChance = 0.1; // of a message
constexpr double lateChance = 0.3; // of an order whose answer is lost

std::string nameOf(std::size_t database)
{
    return std::string(1, static_cast<char>('a' + database));
}

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(name.front() - 'a');
}

} // namespace

PromotionModel::PromotionModel(std::uint64_t seed, Weakness weakness)
    : m_random(seed)
    , m_weakness(weakness)
    , m_now(TimePoint(100s))
{
    for (std::size_t i = 0; i < size; ++i) {
        m_proxies[i].name = "p" + std::to_string(i);
        at(m_random.upTo(renewalInterval), [this, i] { every(renewalInterval, [this, i] { renew(i); }); });
        at(m_random.upTo(writeInterval), [this, i] { every(writeInterval, [this, i] { write(i); }); });
        at(m_random.upTo(writeInterval), [this, i] { every(writeInterval, [this, i] { read(i); }); });
        at(m_random.upTo(controlStep), [this, i] { every(controlStep, [this, i] { replicate(i); }); });
    }
    lead();
    every(controlStep, [this] { advanceChange(); });
    every(trouble, [this] { disturb(); });
}

std::string PromotionModel::run(Duration length)
{
    const auto end = m_now + length;
    while (m_violation.empty() && !m_events.empty() && m_events.begin()->first < end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    return m_violation;
}

void PromotionModel::at(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void PromotionModel::every(Duration interval, std::function<void()> action)
{
    at(interval / 2 + m_random.upTo(interval), [this, interval, action] {
        action();
        every(interval, action);
    });
}

TermPosition PromotionModel::endOf(const Database &database) const
{
    return database.log.empty() ? TermPosition() : database.log.back().position;
}

bool PromotionModel::holds(const Database &database, const Commit &commit) const
{
    const auto &log = database.log;
    return commit.position.position <= log.size() && log[commit.position.position - 1].id == commit.id;
}

bool PromotionModel::holdsAcknowledged(const Database &database, std::size_t count) const
{
    const auto end = m_acknowledged.begin() + static_cast<std::ptrdiff_t>(count);
    return std::all_of(m_acknowledged.begin(), end, [&](const Commit &commit) { return holds(database, commit); });
}

void PromotionModel::fail(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what + " at " + std::to_string(toMilliseconds(m_now.time_since_epoch()).count()) + " ms";
    }
}

void PromotionModel::disturb()
{
    const auto a = m_random.between(0, size - 1);
    const auto b = m_random.between(0, size - 1);
    const auto length = 200ms + m_random.upTo(6s);
    auto &database = m_databases[a];
    auto &proxy = m_proxies[a];
    switch (m_random.between(0, 6)) {
    case 0:
        database.up = false; // it comes back with its log, as a replica if another one leads by then
        at(length, [&database] { database.up = true; });
        break;
    case 1:
        database.receives[b] = false;
        at(length, [&database, b] { database.receives[b] = true; });
        break;
    case 2:
        database.control = false;
        at(length, [&database] { database.control = true; });
        break;
    case 3:
        database.proxies[b] = false;
        at(length, [&database, b] { database.proxies[b] = true; });
        break;
    case 4:
        proxy.control = false;
        at(length, [&proxy] { proxy.control = true; });
        break;
    case 5:
        if (m_random.chance(0.5)) {
            proxy.frozenUntil = m_now + length;
        } else {
            const auto name = proxy.name;
            const auto incarnation = proxy.incarnation + 1;
            proxy = Proxy(); // it starts again and knows nothing
            proxy.name = name;
            proxy.incarnation = incarnation;
        }
        break;
    default:
        lead();
        break;
    }
}

void PromotionModel::replicate(std::size_t to)
{
    auto &replica = m_databases[to];
    if (m_leading == none || to == m_leading || !replica.up || !m_databases[m_leading].up || !replica.receives[m_leading]
        || replica.pausedTerm > m_databases[m_leading].term) {
        return;
    }
    const auto &source = m_databases[m_leading];
    replica.term = source.term;
    if (replica.log.size() < source.log.size()) {
        const auto count = m_random.between(replica.log.size(), source.log.size());
        replica.log.assign(source.log.begin(), source.log.begin() + static_cast<std::ptrdiff_t>(count));
    }
}

void PromotionModel::write(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.frozenUntil > m_now || proxy.primary == none || !proxy.lease.mayAcknowledge("s", proxy.epoch, m_now)) {
        return;
    }
    auto &database = m_databases[proxy.primary];
    if (!database.up || !database.proxies[index] || m_leading != proxy.primary) {
        return; // unreachable, or refused by a database that no longer leads
    }
    const Commit commit {++m_lastCommit, {database.term, database.log.size() + 1}};
    database.log.push_back(commit);
    // Acknowledged once one replica has received it.
    at(1ms + m_random.upTo(60ms),
       [this, index, commit, leader = proxy.primary, term = database.term, incarnation = proxy.incarnation, epoch = proxy.epoch, sentAt = m_now] {
           const auto &source = m_databases[leader];
           if (m_leading != leader || source.term != term || !source.up) {
               return;
           }
           const auto start = m_random.between(0, size - 1);
           for (std::size_t i = 0; i < size; ++i) {
               const auto to = (start + i) % size;
               auto &replica = m_databases[to];
               if (to == leader || !replica.up || !replica.receives[leader] || replica.pausedTerm > source.term) {
                   continue;
               }
               const auto end = std::find_if(source.log.begin(), source.log.end(), [&](const Commit &one) { return one.id == commit.id; });
               if (replica.log.size() < static_cast<std::size_t>(end - source.log.begin()) + 1) {
                   replica.log.assign(source.log.begin(), std::next(end));
                   replica.term = source.term;
               }
               at(1ms + m_random.upTo(100ms), [=, this] { answerWrite(index, incarnation, epoch, commit, sentAt); });
               return;
           }
       });
}

void PromotionModel::answerWrite(std::size_t index, std::uint64_t incarnation, std::uint64_t epoch, const Commit &commit, TimePoint sentAt)
{
    auto &proxy = m_proxies[index];
    if (proxy.frozenUntil > m_now) {
        at(proxy.frozenUntil - m_now, [=, this] { answerWrite(index, incarnation, epoch, commit, sentAt); });
        return;
    }
    if (proxy.incarnation != incarnation) {
        return;
    }
    if (m_weakness != Weakness::NoClosing && !proxy.lease.mayAcknowledge("s", epoch, m_now)) {
        return; // told as unknown
    }
    proxy.history.add(commit.position, sentAt);
    proxy.acknowledged = std::max(proxy.acknowledged, commit.position);
    m_acknowledged.push_back(commit);
    const bool rolledBack = m_leading != none && m_databases[m_leading].term > commit.position.term && !holds(m_databases[m_leading], commit);
    if (rolledBack) {
        fail("a commit was acknowledged that the new primary lacks");
    }
}

void PromotionModel::read(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.frozenUntil > m_now || proxy.primary == none) {
        return;
    }
    const auto acknowledged = m_acknowledged.size();
    const auto primary = proxy.primary;
    const auto epoch = proxy.epoch;
    at(m_random.upTo(60ms), [=, this] {
        if (!m_databases[primary].up || !m_databases[primary].proxies[index]) {
            return;
        }
        const bool complete = holdsAcknowledged(m_databases[primary], acknowledged);
        const bool leads = m_leading == primary;
        at(m_random.upTo(60ms), [=, this] {
            auto &reader = m_proxies[index];
            const bool leased = reader.frozenUntil <= m_now && reader.lease.covers("s", epoch, m_now);
            // Without a lease the database itself refuses once it does not lead.
            if (!complete && (leased || leads)) {
                fail(leased ? "stale read under a lease" : "stale read from the leading database");
            }
        });
    });
}

void PromotionModel::renew(std::size_t index)
{
    auto &proxy = m_proxies[index];
    if (proxy.frozenUntil > m_now || !proxy.control) {
        return;
    }
    at(1ms + m_random.upTo(50ms), [this, index, incarnation = proxy.incarnation, sentAt = m_now, leadership = m_leadership] {
        auto &sender = m_proxies[index];
        if (leadership != m_leadership || !sender.control || m_random.chance(lossChance)) {
            return;
        }
        wire::PoolRenewal renewal;
        renewal.set_proxy(sender.name);
        renewal.set_incarnation(incarnation);
        m_leases.expire(m_now);
        m_leases.renew(renewal, m_now);
        m_record.proxies.insert(sender.name);
        m_leases.grant(sender.name, m_now);
        at(1ms + m_random.upTo(50ms), [this, index, incarnation, sentAt, epoch = m_record.epoch, primary = m_record.primary] {
            if (m_proxies[index].control && !m_random.chance(lossChance)) {
                takeGrant(index, incarnation, sentAt, epoch, primary);
            }
        });
    });
}

void PromotionModel::takeGrant(std::size_t index, std::uint64_t incarnation, TimePoint sentAt, std::uint64_t epoch, std::size_t primary)
{
    auto &proxy = m_proxies[index];
    if (proxy.frozenUntil > m_now) {
        at(proxy.frozenUntil - m_now, [=, this] { takeGrant(index, incarnation, sentAt, epoch, primary); });
        return;
    }
    if (proxy.incarnation != incarnation || epoch < proxy.epoch) {
        return;
    }
    proxy.lease.renew(sentAt, m_leases.options().lease);
    if (primary != none) {
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
    at(1ms + m_random.upTo(50ms), [this, index, request, leadership = m_leadership] {
        auto &proxy = m_proxies[index];
        if (proxy.frozenUntil > m_now || !proxy.control || m_random.chance(lossChance)) {
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
        at(1ms + m_random.upTo(50ms), [this, reply, leadership] {
            if (leadership == m_leadership) {
                m_withdrawal.confirm(reply);
            }
        });
    });
}

void PromotionModel::lead()
{
    ++m_leadership;
    m_leases.reset(m_now, m_record.proxies);
    m_withdrawal = EpochWithdrawal();
    m_change = Change();
    m_change.since = m_now;
}

void PromotionModel::advanceChange()
{
    for (const auto &proxy : m_leases.expire(m_now)) {
        m_record.proxies.erase(proxy);
    }
    if (!m_change.active) {
        const bool needed = m_record.primary == none || !m_databases[m_record.primary].up || !m_databases[m_record.primary].control
            || m_leading != m_record.primary || m_random.chance(0.002);
        if (!needed) {
            m_change.since = m_now;
        }
        if (m_now - m_change.since < changePatience) {
            return;
        }
        m_record.previous = m_record.primary == none ? m_record.previous : m_record.primary;
        m_record.primary = none;
        m_record.epoch = ++m_index;
        m_withdrawal.start(m_record.epoch);
        m_change.active = true;
        m_change.candidate.reset();
        m_change.ordered = false;
    }
    const bool withdrawn = m_withdrawal.advance("s", m_leases, m_now, [this](const std::string &proxy, const wire::PoolEnvelope &message) {
        withdraw(proxy, message.withdraw());
    }) || m_weakness == Weakness::NoWithdrawal;
    if (!m_change.candidate) {
        m_change.candidate = choose();
        return;
    }
    if (!m_change.ordered) {
        if (withdrawn) {
            order(*m_change.candidate, m_record.epoch);
        }
        return;
    }
    if (m_leading == *m_change.candidate) {
        m_record.primary = *m_change.candidate;
        m_record.term = std::max(m_record.term, m_databases[m_leading].term);
        m_change = Change();
        m_change.since = m_now;
        ++m_changes;
    }
}

std::optional<std::size_t> PromotionModel::choose()
{
    auto term = m_record.term;
    for (const auto &database : m_databases) {
        if (database.up && database.control) {
            term = std::max(term, database.term);
        }
    }
    auto previous = m_record.previous;
    bool stepped = false;
    if (m_leading != none && m_databases[m_leading].up && m_databases[m_leading].control) {
        const bool receiving
            = std::all_of(m_databases.begin(), m_databases.end(), [&](const Database &one) { return one.pausedTerm <= m_databases[m_leading].term; });
        if (m_leading != previous && receiving) {
            return m_leading;
        }
        previous = m_leading;
        m_leading = none; // it steps down, and is a replica from now on
        stepped = true;
    }
    PrimaryChoice choice(nameOf(previous));
    for (std::size_t i = 0; i < size; ++i) {
        auto &database = m_databases[i];
        const bool answers
            = database.up && database.control && i != m_leading && (i == previous ? stepped || m_leading == none : true) && !m_random.chance(lossChance);
        if (answers && i != previous) {
            database.pausedTerm = std::max(database.pausedTerm, term + 1);
        }
        choice.add({nameOf(i), false, answers ? std::optional(endOf(database)) : std::nullopt});
    }
    if (stepped) {
        if (const auto id = choice.bestAfterStepDown(); !id.empty()) {
            return indexOf(id);
        }
    }
    if (choice.needsAcknowledgedPosition()) {
        m_withdrawal.close();
        choice.setAcknowledgedPosition(m_weakness == Weakness::NoAcknowledged ? std::optional(TermPosition()) : m_withdrawal.acknowledged(m_leases, m_now));
    }
    const auto id = choice.bestAmongStopped();
    return id.empty() ? std::nullopt : std::optional(indexOf(id));
}

void PromotionModel::order(std::size_t candidate, std::uint64_t token)
{
    if (m_random.chance(lateChance)) {
        // No answer; it may be carried out later all the same.
        if (m_random.chance(0.5)) {
            at(2s + m_random.upTo(10s), [this, candidate, token] { promote(candidate, token); });
        }
        m_change.active = false; // again, with a new token
        return;
    }
    promote(candidate, token);
    m_change.ordered = m_leading == candidate;
    m_change.active = m_change.ordered;
}

void PromotionModel::promote(std::size_t index, std::uint64_t token)
{
    auto &database = m_databases[index];
    if (token < m_fence || !database.up) {
        return;
    }
    m_fence = token;
    if (m_leading == index) {
        return;
    }
    if (!holdsAcknowledged(database, m_acknowledged.size())) {
        fail("an acknowledged commit is not in the log of the database that is promoted");
    }
    std::uint64_t term = 0;
    for (const auto &one : m_databases) {
        term = std::max(term, one.term);
    }
    m_leading = index;
    database.term = term + 1;
    for (auto &other : m_databases) {
        if (other.pausedTerm <= database.term) {
            other.pausedTerm = 0;
        }
        // What the new primary lacks is rolled back.
        const auto differs = std::mismatch(other.log.begin(), other.log.end(), database.log.begin(), database.log.end(),
                                           [](const Commit &one, const Commit &two) { return one.id == two.id; });
        other.log.erase(differs.first, other.log.end());
    }
}

} // namespace waxwing::control::testing
