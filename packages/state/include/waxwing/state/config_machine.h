#pragma once

#include <waxwing/state/resource.h>
#include <waxwing/wire/machine.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing
{

/// @brief Replicated configuration: resources, groups with term and owner, known proxies.
///
/// Deterministic: its content depends only on the commands applied. The configuration version grows by one with each
/// accepted change of a resource, and a resource carries the version of its last change, so that a version is never
/// used twice, also after a deletion.
class ConfigMachine
{
public:
    /// @brief Bounds of the memory used.
    struct Options
    {
        /// Change identifiers remembered: two days at 32,000 changes a day, while retries end within minutes.
        std::size_t maxChanges = 65'536;
        /// Deletions remembered; a proxy that is further behind receives the whole configuration.
        std::size_t maxDeletions = 10'000;
        std::size_t maxResources = 200'000;
        /// Earlier terms remembered per group; tokens of older terms count as not satisfied.
        std::size_t maxTermHistory = 64;
    };

    ConfigMachine();
    explicit ConfigMachine(const Options &options);

    /// @brief Applies one encoded ConfigCommand.
    /// @param index log index of the command
    /// @param command encoded ConfigCommand
    /// @return an encoded ConfigResult
    std::vector<std::byte> apply(std::uint64_t index, std::span<const std::byte> command);

    /// @brief Applies one command.
    wire::ConfigResult applyCommand(std::uint64_t index, const wire::ConfigCommand &command);

    /// @brief Encodes the whole state as a ConfigSnapshot.
    std::vector<std::byte> snapshot() const;

    /// @brief Replaces the state with a snapshot.
    /// @return false if the snapshot is not readable; the state is then unchanged
    bool restore(std::span<const std::byte> bytes);

    /// @brief Configuration version: number of accepted resource changes.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @brief Index of the last command applied.
    std::uint64_t appliedIndex() const
    {
        return m_appliedIndex;
    }

    /// @brief Finds a resource.
    /// @return the resource, or null if there is none
    const wire::Resource *resource(const ResourceKey &key) const;

    /// @brief All resources by kind and name.
    const std::map<ResourceKey, wire::Resource> &resources() const
    {
        return m_resources;
    }

    /// @brief Resource changes after a version, deletions included, oldest first.
    /// @param version version that the reader has
    /// @return nothing if deletions after that version were forgotten, so that the reader needs the whole set
    std::optional<std::vector<wire::Resource>> changesAfter(std::uint64_t version) const;

    /// @brief Finds a group record.
    /// @return the record, or null if the group has had neither an owner nor a term
    const wire::GroupRecord *group(std::string_view name) const;

    /// @brief All group records by name.
    const std::map<std::string, wire::GroupRecord, std::less<>> &groups() const
    {
        return m_groups;
    }

    /// @brief All known proxies by name.
    const std::map<std::string, wire::ProxyRecord, std::less<>> &proxies() const
    {
        return m_proxies;
    }

    /// @brief Finds the recorded result of a change.
    /// @param changeId change identifier of the operator
    /// @return the result, or null if the change is not remembered
    const wire::ConfigResult *changeResult(std::string_view changeId) const;

private:
    struct Change
    {
        std::uint64_t contentHash = 0;
        wire::ConfigResult result;
    };

    wire::ConfigResult dispatch(const wire::ConfigCommand &command);
    wire::ConfigResult put(const wire::PutResource &command);
    wire::ConfigResult remove(const wire::DeleteResource &command);
    wire::ConfigResult registerProxy(const wire::RegisterProxy &command);
    wire::ConfigResult removeProxy(const wire::RemoveProxy &command);
    wire::ConfigResult assignOwners(const wire::AssignOwners &command);
    wire::ConfigResult releaseHolder(const wire::ReleaseHolder &command);
    wire::ConfigResult startTerm(const wire::StartTerm &command);
    wire::ConfigResult publishPrimary(const wire::PublishPrimary &command);
    wire::ConfigResult result(wire::ConfigStatus status) const;
    void remember(const std::string &changeId, std::uint64_t contentHash, const wire::ConfigResult &result);
    void forgetDeletions();

    Options m_options;
    std::uint64_t m_version = 0;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_removedBefore = 0;
    std::map<ResourceKey, wire::Resource> m_resources;
    std::map<std::uint64_t, ResourceKey> m_byVersion;
    std::map<std::uint64_t, wire::Resource> m_deletions;
    std::map<std::string, wire::GroupRecord, std::less<>> m_groups;
    std::map<std::string, wire::ProxyRecord, std::less<>> m_proxies;
    std::unordered_map<std::string, Change> m_changes;
    std::deque<std::string> m_changeOrder;
};

} // namespace waxwing
