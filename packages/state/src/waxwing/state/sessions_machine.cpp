#include <waxwing/state/message_bytes.h>
#include <waxwing/state/sessions_machine.h>

#include <algorithm>
#include <iterator>

namespace waxwing
{

namespace
{

// Bounds the memory that a writer with ever new ids can use; a service has a few databases.
constexpr std::size_t maxAbsent = 64;
constexpr std::size_t maxDeregistered = 4096;

} // namespace

std::vector<std::byte> SessionsMachine::apply(std::uint64_t index, std::span<const std::byte> command)
{
    wire::SessionsCommand message;
    if (!decodeMessage(command, message)) {
        return encodeMessage(wire::SessionsResult());
    }
    return encodeMessage(applyCommand(index, message));
}

wire::SessionsResult SessionsMachine::applyCommand(std::uint64_t index, const wire::SessionsCommand &command)
{
    wire::SessionsResult result;
    std::string_view service;
    if (command.has_set_document()) {
        const auto &change = command.set_document();
        if (change.version() > m_version) {
            m_version = change.version();
            m_document = change.document();
            result.set_accepted(true);
        }
    } else if (command.has_start_epoch()) {
        service = command.start_epoch().service();
        result.set_accepted(startEpoch(index, command.start_epoch()));
    } else if (command.has_set_primary()) {
        service = command.set_primary().service();
        result.set_accepted(setPrimary(index, command.set_primary()));
    } else if (command.has_record_order()) {
        service = command.record_order().service();
        result.set_accepted(recordOrder(command.record_order()));
    } else if (command.has_settle_order()) {
        service = command.settle_order().service();
        result.set_accepted(settleOrder(command.settle_order()));
    } else if (command.has_set_member()) {
        result.set_accepted(setMember(command.set_member()));
    } else if (command.has_forget_members()) {
        const auto &forgotten = command.forget_members().members();
        eraseAbsent([&](const wire::PoolMember &member) {
            return std::any_of(forgotten.begin(), forgotten.end(),
                               [&](const auto &one) { return one.id() == member.id() && one.born_ms() == member.born_ms(); });
        });
        result.set_accepted(true);
    } else if (command.has_set_proxy()) {
        if (command.set_proxy().gone()) {
            m_proxies.erase(command.set_proxy().proxy());
        } else {
            m_proxies.insert(command.set_proxy().proxy());
        }
        result.set_accepted(true);
    }
    result.set_version(m_version);
    if (const auto *record = this->service(service)) {
        result.set_epoch(record->epoch());
    }
    return result;
}

bool SessionsMachine::startEpoch(std::uint64_t index, const wire::StartEpoch &command)
{
    const auto found = m_services.find(command.service());
    if (found == m_services.end() || found->second.epoch() != command.expected_epoch()) {
        return false;
    }
    auto &record = found->second;
    record.set_epoch(index);
    if (!record.primary().empty()) {
        record.set_previous(record.primary());
        record.clear_primary();
    }
    return true;
}

bool SessionsMachine::setPrimary(std::uint64_t index, const wire::SetPrimary &command)
{
    const auto found = m_services.find(command.service());
    if (found == m_services.end()) {
        if (command.epoch() != 0) {
            return false;
        }
        auto &record = m_services[command.service()];
        record.set_service(command.service());
        record.set_epoch(index);
        record.set_primary(command.primary());
        record.set_term(command.term());
        return true;
    }
    if (found->second.epoch() != command.epoch() || !found->second.primary().empty()) {
        return false;
    }
    found->second.set_primary(command.primary());
    found->second.set_term(std::max(found->second.term(), command.term()));
    return true;
}

bool SessionsMachine::recordOrder(const wire::RecordOrder &command)
{
    const auto found = m_services.find(command.service());
    if (found == m_services.end() || found->second.epoch() != command.epoch() || !found->second.primary().empty()) {
        return false;
    }
    auto &orders = *found->second.mutable_orders();
    auto order = std::find_if(orders.begin(), orders.end(), [&](const auto &one) { return one.database() == command.database(); });
    auto &target = order == orders.end() ? *orders.Add() : *order;
    target.set_epoch(command.epoch());
    target.set_database(command.database());
    return true;
}

bool SessionsMachine::settleOrder(const wire::SettleOrder &command)
{
    const auto found = m_services.find(command.service());
    if (found == m_services.end()) {
        return false;
    }
    auto &orders = *found->second.mutable_orders();
    const auto settled
        = std::remove_if(orders.begin(), orders.end(), [&](const auto &one) { return one.database() == command.database() && one.epoch() == command.epoch(); });
    const bool any = settled != orders.end();
    orders.erase(settled, orders.end());
    return any;
}

bool SessionsMachine::removeMember(const wire::PoolMember &member, bool silent)
{
    if (!silent) {
        auto &run = m_deregistered[member.id()];
        run = std::max(run, member.born_ms());
        if (m_deregistered.size() > maxDeregistered) {
            m_deregistered.erase(m_deregistered.begin());
        }
    }
    const auto known = m_members.find(member.id());
    if (known != m_members.end() && known->second.born_ms() > member.born_ms()) {
        return false; // a later run has its id
    }
    auto gone = member;
    gone.set_leaving(!silent);
    if (known != m_members.end()) {
        gone.set_service(known->second.service());
        gone.set_address(known->second.address());
        if (known->second.born_ms() != member.born_ms()) {
            addAbsent(known->second); // the run that leaves may have received the log before its first heartbeat was recorded
        }
        addAbsent(gone);
        m_members.erase(known);
    } else if (auto *absent = findAbsent(member)) {
        absent->set_leaving(absent->leaving() || !silent);
        if (member.has_stopped_at()) {
            *absent->mutable_stopped_at() = member.stopped_at();
            absent->set_stopped_in_term(member.stopped_in_term());
        }
    }
    return true;
}

wire::PoolMember *SessionsMachine::findAbsent(const wire::PoolMember &member)
{
    const auto service = m_absent.find(member.service());
    if (service == m_absent.end()) {
        return nullptr;
    }
    const auto found = std::find_if(service->second.begin(), service->second.end(),
                                    [&member](const auto &absent) { return absent.id() == member.id() && absent.born_ms() == member.born_ms(); });
    return found == service->second.end() ? nullptr : &*found;
}

bool SessionsMachine::hasDeregistered(std::string_view id, std::uint64_t bornMs) const
{
    const auto found = m_deregistered.find(id);
    return found != m_deregistered.end() && bornMs <= found->second;
}

bool SessionsMachine::setMember(const wire::SetMember &command)
{
    const auto &member = command.member();
    if (member.leaving()) {
        return removeMember(member, command.silent());
    }
    const auto known = m_members.find(member.id());
    const bool isOfEarlierRun = known != m_members.end() && member.born_ms() < known->second.born_ms();
    if (isOfEarlierRun || hasDeregistered(member.id(), member.born_ms())) {
        return false;
    }
    // A database that crashed or was replaced in its place comes back under another id at its address, with its log.
    const auto takesOver = [&member](const wire::PoolMember &other) {
        return other.id() != member.id() && other.address() == member.address() && other.service() == member.service();
    };
    // An address belongs to the database that was recorded with it last, and an id to its last run; others have ended.
    std::erase_if(m_members, [&](const auto &item) {
        const bool ended = item.first == member.id() ? item.second.born_ms() != member.born_ms() : item.second.address() == member.address();
        if (ended && !takesOver(item.second)) {
            addAbsent(item.second);
        }
        return ended;
    });
    // The same run, whose heartbeats had stopped, or one that leads, and so has the log of its earlier runs.
    eraseAbsent([&](const wire::PoolMember &absent) {
        return takesOver(absent) || (absent.id() == member.id() && (absent.born_ms() == member.born_ms() || member.primary()));
    });
    m_members[member.id()] = member;
    return true;
}

void SessionsMachine::addAbsent(const wire::PoolMember &member)
{
    if (!m_services.contains(member.service())) {
        return; // nothing was acknowledged before the first primary
    }
    auto &absent = m_absent[member.service()];
    if (absent.size() >= maxAbsent) {
        absent.erase(absent.begin());
    }
    absent.push_back(member);
}

template<class Predicate>
void SessionsMachine::eraseAbsent(Predicate predicate)
{
    for (auto service = m_absent.begin(); service != m_absent.end();) {
        std::erase_if(service->second, predicate);
        service = service->second.empty() ? m_absent.erase(service) : std::next(service);
    }
}

std::span<const wire::PoolMember> SessionsMachine::absent(std::string_view service) const
{
    const auto found = m_absent.find(service);
    return found == m_absent.end() ? std::span<const wire::PoolMember>() : std::span<const wire::PoolMember>(found->second);
}

std::vector<std::byte> SessionsMachine::snapshot() const
{
    wire::SessionsSnapshot message;
    message.set_version(m_version);
    message.set_document(m_document);
    for (const auto &[name, record] : m_services) {
        *message.add_services() = record;
    }
    for (const auto &[id, member] : m_members) {
        *message.add_members() = member;
    }
    for (const auto &proxy : m_proxies) {
        message.add_proxies(proxy);
    }
    for (const auto &[name, members] : m_absent) {
        for (const auto &member : members) {
            *message.add_absent() = member;
        }
    }
    for (const auto &[id, born] : m_deregistered) {
        auto &run = *message.add_departed();
        run.set_id(id);
        run.set_born_ms(born);
    }
    return encodeMessage(message);
}

bool SessionsMachine::restore(std::span<const std::byte> bytes)
{
    wire::SessionsSnapshot message;
    if (!decodeMessage(bytes, message)) {
        return false;
    }
    m_version = message.version();
    m_document = message.document();
    m_services.clear();
    for (auto &record : *message.mutable_services()) {
        auto name = record.service();
        m_services.emplace(std::move(name), std::move(record));
    }
    m_members.clear();
    for (const auto &member : message.members()) {
        m_members[member.id()] = member;
    }
    m_proxies = {message.proxies().begin(), message.proxies().end()};
    m_absent.clear();
    for (const auto &member : message.absent()) {
        m_absent[member.service()].push_back(member);
    }
    m_deregistered.clear();
    for (const auto &run : message.departed()) {
        m_deregistered[run.id()] = run.born_ms();
    }
    return true;
}

const wire::EpochRecord *SessionsMachine::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace waxwing
