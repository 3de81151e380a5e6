#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace waxwing
{

/// @brief Accounts for the memory that clients make the process hold, under one limit. Not thread-safe.
///
/// It only counts; BudgetPolicy decides what a client may still take. The budget outlives its accounts and reservations.
class MemoryBudget
{
public:
    enum class Kind {
        ReadBuffer, ///< received bytes of messages that are not complete
        Message, ///< complete messages that wait or run
        Answer, ///< answers that clients have not read
        SessionState, ///< values and prepared statements of sessions
        Forwarded, ///< statements of other proxies
    };
    static constexpr std::size_t kinds = 5;

    class Account;
    class Reservation;

    /// @param limit bytes
    explicit MemoryBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;
    ~MemoryBudget();

    std::size_t limit() const
    {
        return m_limit;
    }

    /// @brief Bytes reserved by all accounts.
    std::size_t used() const
    {
        return m_used;
    }

    /// @brief Bytes of one kind reserved by all accounts.
    std::size_t used(Kind kind) const
    {
        return m_byKind.at(static_cast<std::size_t>(kind));
    }

    /// @brief Bytes reserved by the accounts of a group, e.g. a client address.
    std::size_t usedByGroup(std::string_view group) const;

    /// @brief Number of groups that have reserved bytes.
    std::size_t activeGroups() const
    {
        return m_activeGroups;
    }

    /// @brief Bytes reserved by accounts that excludeFromClosing() was called for.
    std::size_t excluded() const
    {
        return m_excluded;
    }

    /// @brief Account with the most reserved bytes in the group with the most, without the excluded ones; null if there is none.
    Account *largest() const;

    /// @brief Name of a kind for metrics and the log.
    static std::string_view name(Kind kind);

private:
    struct Group
    {
        std::string name;
        std::size_t accounts = 0;
        std::size_t used = 0;
    };

    void change(Account &account, Kind kind, std::size_t from, std::size_t to);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::array<std::size_t, kinds> m_byKind {};
    std::unordered_map<std::string, Group> m_groups;
    std::size_t m_activeGroups = 0;
    std::size_t m_excluded = 0;
    std::map<Account *, Group *> m_accounts;
};

/// @brief Consumer of memory, e.g. a session.
class MemoryBudget::Account
{
public:
    /// @param group accounts with the same name share what is due to one group
    Account(MemoryBudget &budget, std::string_view group);
    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;
    ~Account();

    MemoryBudget &budget() const
    {
        return m_budget;
    }

    std::size_t used() const
    {
        return m_used;
    }

    /// @brief Bytes reserved by all accounts of the group.
    std::size_t groupUsed() const
    {
        return m_group->used;
    }

    /// @brief Tells that closing the account would release nothing: it gives way already, or it cannot.
    void excludeFromClosing();

private:
    friend class MemoryBudget;

    MemoryBudget &m_budget;
    Group *m_group;
    std::size_t m_used = 0;
    bool m_isExcluded = false;
};

/// @brief Bytes of one kind, released when it is destroyed.
class MemoryBudget::Reservation
{
public:
    /// @param account outlives the reservation
    Reservation(Account &account, Kind kind, std::size_t bytes = 0)
        : m_account(&account)
        , m_kind(kind)
    {
        resize(bytes);
    }

    Reservation(Reservation &&other) noexcept
        : m_account(other.m_account)
        , m_kind(other.m_kind)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }

    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    Reservation &operator=(Reservation &&) = delete;

    ~Reservation()
    {
        resize(0);
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

    /// @brief Changes the number of bytes. The limit is not checked here, since what is already held has to be accounted for.
    void resize(std::size_t bytes);

private:
    Account *m_account;
    Kind m_kind;
    std::size_t m_bytes = 0;
};

} // namespace waxwing
