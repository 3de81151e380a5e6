#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace waxwing
{

/// @brief Accounts of the connections of one HTTP server; decides which connection gives way when a limit is reached. Free of I/O.
///
/// Each connection has one account with the bytes of its request or its answer. Accounts of at most `smallBytes` may use the whole
/// limit, larger ones only what is not reserved for small ones.
class HttpBudget
{
public:
    /// @brief What a connection does.
    enum class Phase {
        Idle, ///< waits for the first byte of a request
        Header, ///< a request header is incomplete
        Upload, ///< a request body is incomplete
        Handling, ///< the request is complete and has no answer yet
        Answer, ///< the answer is being written
    };

    static constexpr std::size_t smallBytes = 16 << 10;

    /// @brief Creates a budget without connections.
    /// @param limitBytes limit of the sum of all accounts; an eighth is reserved for small accounts
    explicit HttpBudget(std::size_t limitBytes);

    /// @brief Opens the account of a connection, which is idle.
    void open(std::uint64_t connection, TimePoint now);

    /// @brief Replaces what a connection does and holds. Does nothing if the connection has no account.
    /// @param now used as the start of the phase if the phase changes
    void update(std::uint64_t connection, Phase phase, std::size_t bytes, TimePoint now);

    /// @brief Closes the account of a connection and releases its bytes. Does nothing if that has happened already.
    void close(std::uint64_t connection);

    /// @brief Connection whose upload or answer must end because the limit is exceeded: the largest; among equals the oldest one.
    ///
    /// The only large account never gives way, so that a request or answer inside the other limits is served by an idle server.
    std::optional<std::uint64_t> connectionToStop() const;

    /// @brief Tells whether an answer may be kept while answers of closed connections are not freed yet: up to twice the limit.
    /// @param bytes length of the answer
    /// @param unfreedBytes answers of closed connections, which have no account any more
    bool mayKeep(std::size_t bytes, std::size_t unfreedBytes) const;

    /// @brief Connection to close in favour of a new one: the longest idle; otherwise the one whose header has been incomplete longest.
    std::optional<std::uint64_t> connectionToReplace() const;

    /// @brief Phase of a connection; nothing if it has no account.
    std::optional<Phase> phase(std::uint64_t connection) const;

    /// @brief Number of open accounts.
    std::size_t connections() const
    {
        return m_accounts.size();
    }

    /// @brief Sum of all accounts in bytes.
    std::size_t heldBytes() const
    {
        return m_held;
    }

private:
    struct Account
    {
        Phase phase = Phase::Idle;
        std::size_t bytes = 0;
        TimePoint since; ///< start of the phase
    };

    void add(std::size_t bytes);
    void release(std::size_t bytes);

    std::size_t m_limit;
    std::unordered_map<std::uint64_t, Account> m_accounts;
    std::size_t m_held = 0;
    std::size_t m_heldByLarge = 0;
    std::size_t m_large = 0; ///< number of large accounts
};

} // namespace waxwing
