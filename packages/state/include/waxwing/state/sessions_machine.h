#pragma once

#include <waxwing/wire/sessions.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Replicated state of a deployment that serves sessions: the operator's configuration document under the
/// operator's own version, the epoch and primary of each service, and the databases.
///
/// Deterministic: its content depends only on the commands applied. Epochs are log indexes, so that one is never used
/// twice, and they serve as fencing tokens.
class SessionsMachine
{
public:
    /// @brief Applies one encoded SessionsCommand.
    /// @param index log index of the command
    /// @param command encoded SessionsCommand
    /// @return an encoded SessionsResult
    std::vector<std::byte> apply(std::uint64_t index, std::span<const std::byte> command);

    /// @brief Applies one command.
    wire::SessionsResult applyCommand(std::uint64_t index, const wire::SessionsCommand &command);

    /// @brief Encodes the whole state as a SessionsSnapshot.
    std::vector<std::byte> snapshot() const;

    /// @brief Replaces the state with a snapshot.
    /// @return false if the snapshot is not readable; the state is then unchanged
    bool restore(std::span<const std::byte> bytes);

    /// @brief Version of the document; 0 before the first.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @brief The operator's document as it was sent.
    const std::string &document() const
    {
        return m_document;
    }

    /// @brief Record of a service.
    /// @return the record, or null if the service has had no primary yet
    const wire::EpochRecord *service(std::string_view name) const;

    /// @brief Records of all services by name.
    const std::map<std::string, wire::EpochRecord, std::less<>> &services() const
    {
        return m_services;
    }

    /// @brief Databases of a service that were removed, or started again since, and may hold commits which the others lack. The
    /// log of a run that has ended may be lost. `leaving` tells that a database has deregistered, `stopped_at` what it had received if
    /// it receives nothing more.
    std::span<const wire::PoolMember> absent(std::string_view service) const;

    /// @brief Tells whether a run of a database, or a later one under its id, has deregistered. What it said before may arrive later.
    bool hasDeregistered(std::string_view id, std::uint64_t bornMs) const;

    /// @brief Databases by id, as of the last recorded change; the initial view of a new leader, not the present state.
    const std::map<std::string, wire::PoolMember, std::less<>> &members() const
    {
        return m_members;
    }

    /// @brief Proxies that may hold a lease.
    const std::set<std::string, std::less<>> &proxies() const
    {
        return m_proxies;
    }

private:
    bool startEpoch(std::uint64_t index, const wire::StartEpoch &command);
    bool setPrimary(std::uint64_t index, const wire::SetPrimary &command);
    bool recordOrder(const wire::RecordOrder &command);
    bool settleOrder(const wire::SettleOrder &command);
    bool setMember(const wire::SetMember &command);
    bool removeMember(const wire::PoolMember &member, bool silent);
    wire::PoolMember *findAbsent(const wire::PoolMember &member);
    void addAbsent(const wire::PoolMember &member);
    template<class Predicate>
    void eraseAbsent(Predicate predicate);

    std::uint64_t m_version = 0;
    std::string m_document;
    std::map<std::string, wire::EpochRecord, std::less<>> m_services;
    std::map<std::string, wire::PoolMember, std::less<>> m_members;
    std::map<std::string, std::vector<wire::PoolMember>, std::less<>> m_absent; ///< by service, in the order of removal
    std::map<std::string, std::uint64_t, std::less<>> m_deregistered; ///< by id: start of the last run that has deregistered
    std::set<std::string, std::less<>> m_proxies;
};

} // namespace waxwing
