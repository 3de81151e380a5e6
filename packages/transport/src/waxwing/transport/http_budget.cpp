#include "http_budget.h"

#include <waxwing/support/invariant.h>

#include <tuple>

namespace waxwing
{

namespace
{

constexpr std::size_t reservedDivisor = 8; // part of the limit that only small accounts may use

} // namespace

HttpBudget::HttpBudget(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

void HttpBudget::open(std::uint64_t connection, TimePoint now)
{
    m_accounts.emplace(connection, Account {Phase::Idle, 0, now});
}

void HttpBudget::update(std::uint64_t connection, Phase phase, std::size_t bytes, TimePoint now)
{
    const auto found = m_accounts.find(connection);
    if (found == m_accounts.end()) {
        return;
    }
    auto &account = found->second;
    release(account.bytes);
    add(bytes);
    account.bytes = bytes;
    if (account.phase != phase) {
        account.phase = phase;
        account.since = now;
    }
}

void HttpBudget::close(std::uint64_t connection)
{
    const auto found = m_accounts.find(connection);
    if (found == m_accounts.end()) {
        return;
    }
    release(found->second.bytes);
    m_accounts.erase(found);
    WAXWING_INVARIANT(!m_accounts.empty() || (m_held == 0 && m_heldByLarge == 0 && m_large == 0), "http-body-bytes-balanced");
}

std::optional<std::uint64_t> HttpBudget::connectionToStop() const
{
    const bool exceeded = m_held > m_limit || m_heldByLarge > m_limit - m_limit / reservedDivisor;
    if (!exceeded || (m_large == 1 && m_held - m_heldByLarge <= m_limit)) {
        return std::nullopt;
    }
    const std::pair<const std::uint64_t, Account> *chosen = nullptr;
    for (const auto &entry : m_accounts) {
        const auto &account = entry.second;
        if ((account.phase != Phase::Upload && account.phase != Phase::Answer) || account.bytes == 0) {
            continue;
        }
        // Identifiers rise, which decides between connections of the same size and time.
        if (chosen == nullptr
            || std::tuple(account.bytes, chosen->second.since, chosen->first) > std::tuple(chosen->second.bytes, account.since, entry.first)) {
            chosen = &entry;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(chosen->first);
}

bool HttpBudget::mayKeep(std::size_t bytes, std::size_t unfreedBytes) const
{
    return bytes <= smallBytes || unfreedBytes == 0 || m_held + unfreedBytes + bytes <= 2 * m_limit;
}

std::optional<std::uint64_t> HttpBudget::connectionToReplace() const
{
    const std::pair<const std::uint64_t, Account> *chosen = nullptr;
    for (const auto &entry : m_accounts) {
        const auto &account = entry.second;
        if (account.phase != Phase::Idle && account.phase != Phase::Header) {
            continue;
        }
        if (chosen == nullptr
            || std::tuple(account.phase, account.since, entry.first) < std::tuple(chosen->second.phase, chosen->second.since, chosen->first)) {
            chosen = &entry;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(chosen->first);
}

std::optional<HttpBudget::Phase> HttpBudget::phase(std::uint64_t connection) const
{
    const auto found = m_accounts.find(connection);
    return found == m_accounts.end() ? std::nullopt : std::optional(found->second.phase);
}

void HttpBudget::add(std::size_t bytes)
{
    m_held += bytes;
    if (bytes > smallBytes) {
        m_heldByLarge += bytes;
        ++m_large;
    }
}

void HttpBudget::release(std::size_t bytes)
{
    const bool large = bytes > smallBytes;
    if (!WAXWING_INVARIANT(m_held >= bytes && (!large || (m_heldByLarge >= bytes && m_large > 0)), "http-body-bytes-balanced")) {
        return;
    }
    m_held -= bytes;
    if (large) {
        m_heldByLarge -= bytes;
        --m_large;
    }
}

} // namespace waxwing
