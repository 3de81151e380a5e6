#include "numbered_directory.h"

#include <waxwing/state/compression.h>

#include <xxhash.h>

#include <utility>

namespace waxwing::control
{

namespace
{

/// Clears what differs with each heartbeat and does not concern proxies that know the database.
void clearVolatile(wire::PoolGrant &directory)
{
    for (auto &view : *directory.mutable_services()) {
        for (auto &member : *view.mutable_members()) {
            member.clear_sequence();
            member.clear_warm_up_ms();
        }
    }
}

void clearHolders(wire::PoolGrant &directory)
{
    for (auto &view : *directory.mutable_services()) {
        view.clear_holders();
    }
}

} // namespace

void NumberedDirectory::reset(std::uint64_t term)
{
    *this = NumberedDirectory();
    m_term = term;
}

NumberedDirectory::Difference NumberedDirectory::compare(const wire::PoolGrant &directory) const
{
    auto content = directory;
    clearVolatile(content);
    if (content.SerializeAsString() == m_content) {
        return Difference::None;
    }
    clearHolders(content);
    return content.SerializeAsString() == m_contentWithoutHolders ? Difference::HoldersOnly : Difference::Databases;
}

void NumberedDirectory::assign(wire::PoolGrant directory)
{
    ++m_counter;
    // Without holders, a service means something else while these are pending.
    const bool allChange = m_directory.holders_pending() != directory.holders_pending();
    m_directory = std::move(directory);
    m_compressed.clear();
    auto content = m_directory;
    clearVolatile(content);
    m_content = content.SerializeAsString();
    m_contentHash = XXH3_64bits(m_content.data(), m_content.size());
    std::map<std::string, std::string> services;
    for (const auto &view : content.services()) {
        auto bytes = view.SerializeAsString();
        const auto previous = m_services.find(view.service());
        if (allChange || previous == m_services.end() || previous->second != bytes) {
            m_changedIn[view.service()] = version();
        }
        services.emplace(view.service(), std::move(bytes));
    }
    m_services = std::move(services);
    clearHolders(content);
    m_contentWithoutHolders = content.SerializeAsString();
    content.clear_holders_pending();
    const auto databases = content.SerializeAsString();
    m_databasesHash = XXH3_64bits(databases.data(), databases.size());
}

bool NumberedDirectory::isHeldBy(const Receiver &receiver) const
{
    return receiver.contentHash == m_contentHash || (m_directory.holders_pending() && receiver.databasesHash == m_databasesHash);
}

const std::string &NumberedDirectory::changesSince(std::uint64_t version)
{
    auto [found, isNew] = m_compressed.try_emplace(version);
    if (isNew) {
        wire::PoolGrant changes;
        changes.set_holders_pending(m_directory.holders_pending());
        *changes.mutable_control() = m_directory.control();
        for (const auto &view : m_directory.services()) {
            if (m_changedIn[view.service()] > version) {
                *changes.add_services() = view;
            }
        }
        found->second = compress(changes.SerializeAsString());
    }
    return found->second;
}

void NumberedDirectory::fill(wire::PoolGrant &grant, const Receiver &receiver)
{
    if (!isAssigned()) {
        return;
    }
    grant.set_directory_version(version());
    if (receiver.version == version()) {
        return;
    }
    if (!receiver.takesChanges) {
        grant.MergeFrom(m_directory);
        return;
    }
    grant.set_content_hash(m_contentHash);
    grant.set_databases_hash(m_databasesHash);
    grant.set_holders_pending(m_directory.holders_pending());
    if (isHeldBy(receiver)) {
        grant.set_same_directory(true);
        return;
    }
    const bool isOfThisTerm = (receiver.version >> termShift) == m_term && receiver.version < version();
    const auto base = isOfThisTerm ? receiver.version : 0;
    if (const auto &compressed = changesSince(base); !compressed.empty()) {
        grant.set_base_version(base);
        grant.set_compressed_directory(compressed);
    } else {
        grant.MergeFrom(m_directory);
    }
}

} // namespace waxwing::control
