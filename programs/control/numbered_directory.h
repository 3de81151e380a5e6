#pragma once

#include <waxwing/wire/sessions.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace waxwing::control
{

/// @brief Directory of databases, primaries and holders under the number by which proxies know it. No I/O.
///
/// A number stands for one content. Receivers that hold an earlier number get the services that have changed since; those that hold
/// the same content under a number of another leader get the number only.
class NumberedDirectory
{
public:
    enum class Difference {
        None,
        HoldersOnly,
        Databases, ///< members or primaries of a service, and perhaps holders
    };

    /// What a proxy has, or will have when everything that was sent has arrived.
    struct Receiver
    {
        std::uint64_t version = 0; ///< 0 for none
        std::uint64_t contentHash = 0; ///< of the directory in force at the proxy; 0 if it states none
        std::uint64_t databasesHash = 0; ///< of the same without holders
        bool takesChanges = false; ///< it understands compressed directories and changes
    };

    /// @brief Forgets the content.
    /// @param term of the leadership, part of the versions of its directories
    void reset(std::uint64_t term);

    /// @brief Compares a directory with the numbered one, disregarding what differs with each heartbeat.
    Difference compare(const wire::PoolGrant &directory) const;

    /// @brief Gives a directory the next number.
    void assign(wire::PoolGrant directory);

    /// @brief Tells whether a directory has a number.
    bool isAssigned() const
    {
        return m_counter != 0;
    }

    /// @brief Version of the directory: the leader's term in the upper 32 bits and its number in the lower ones. 0 before the first.
    std::uint64_t version() const
    {
        return m_counter == 0 ? 0 : versionOf(m_counter);
    }

    /// @brief Hash of the content, which is equal under every leader. While holders are pending, it is that of no proxy.
    std::uint64_t contentHash() const
    {
        return m_contentHash;
    }

    /// @brief Hash of the content without holders.
    std::uint64_t databasesHash() const
    {
        return m_databasesHash;
    }

    /// @brief Adds to a grant what the receiver lacks, and the version.
    void fill(wire::PoolGrant &grant, const Receiver &receiver);

private:
    static constexpr unsigned termShift = 32;

    std::uint64_t versionOf(std::uint64_t counter) const
    {
        return (m_term << termShift) | counter;
    }

    /// Tells whether a receiver has the content already; while holders are pending, it keeps its own.
    bool isHeldBy(const Receiver &receiver) const;
    /// Compressed services that have changed since a version; all of them for 0.
    const std::string &changesSince(std::uint64_t version);

    std::uint64_t m_term = 0;
    std::uint64_t m_counter = 0;
    std::uint64_t m_contentHash = 0;
    std::uint64_t m_databasesHash = 0; ///< of the content without holders
    wire::PoolGrant m_directory; ///< as it is sent
    std::string m_content; ///< serialized, without what differs with each heartbeat
    std::string m_contentWithoutHolders;
    std::map<std::string, std::string> m_services; ///< serialized, without what differs with each heartbeat
    std::map<std::string, std::uint64_t> m_changedIn; ///< by service: version in which it changed last
    std::map<std::uint64_t, std::string> m_compressed; ///< see changesSince(), by version
};

} // namespace waxwing::control
