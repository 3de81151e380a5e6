#include <waxwing/state/config_machine.h>
#include <waxwing/state/message_bytes.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

namespace
{

/// Hash of the content of a change without its identifier. Protobuf encodes these messages (no maps, no unknown
/// fields) in field order, so the same content gives the same bytes.
std::uint64_t contentHash(const wire::ConfigCommand &command)
{
    wire::ConfigCommand content = command;
    content.clear_change_id();
    if (content.has_start_term()) {
        // The leader chooses new terms on each retry; the operator only names group and target.
        content.mutable_start_term()->clear_term();
        content.mutable_start_term()->clear_expected_term();
    }
    return hash64(content.SerializeAsString());
}

} // namespace

ConfigMachine::ConfigMachine()
    : ConfigMachine(Options {})
{
}

ConfigMachine::ConfigMachine(const Options &options)
    : m_options(options)
{
}

std::vector<std::byte> ConfigMachine::apply(std::uint64_t index, std::span<const std::byte> command)
{
    wire::ConfigCommand decoded;
    if (!decodeMessage(command, decoded)) {
        m_appliedIndex = index;
        return encodeMessage(result(wire::MALFORMED));
    }
    return encodeMessage(applyCommand(index, decoded));
}

wire::ConfigResult ConfigMachine::applyCommand(std::uint64_t index, const wire::ConfigCommand &command)
{
    m_appliedIndex = index;
    if (command.change_id().empty()) {
        return dispatch(command);
    }
    const auto hash = contentHash(command);
    if (const auto known = m_changes.find(command.change_id()); known != m_changes.end()) {
        return known->second.contentHash == hash ? known->second.result : result(wire::CHANGE_ID_REUSED);
    }
    auto outcome = dispatch(command);
    // A refused StartTerm is not a final answer: the leader retries it with the term it finds.
    if (!command.has_start_term() || outcome.status() == wire::ACCEPTED) {
        remember(command.change_id(), hash, outcome);
    }
    return outcome;
}

wire::ConfigResult ConfigMachine::dispatch(const wire::ConfigCommand &command)
{
    switch (command.body_case()) {
    case wire::ConfigCommand::kPut:
        return put(command.put());
    case wire::ConfigCommand::kRemove:
        return remove(command.remove());
    case wire::ConfigCommand::kRegisterProxy:
        return registerProxy(command.register_proxy());
    case wire::ConfigCommand::kRemoveProxy:
        return removeProxy(command.remove_proxy());
    case wire::ConfigCommand::kAssignOwners:
        return assignOwners(command.assign_owners());
    case wire::ConfigCommand::kReleaseHolder:
        return releaseHolder(command.release_holder());
    case wire::ConfigCommand::kStartTerm:
        return startTerm(command.start_term());
    case wire::ConfigCommand::kPublishPrimary:
        return publishPrimary(command.publish_primary());
    case wire::ConfigCommand::BODY_NOT_SET:
        break;
    }
    return result(wire::MALFORMED);
}

wire::ConfigResult ConfigMachine::put(const wire::PutResource &command)
{
    ResourceKey key {command.kind(), command.name()};
    const auto existing = m_resources.find(key);
    const std::uint64_t present = existing == m_resources.end() ? 0 : existing->second.version();
    if (present != command.expected_version()) {
        auto refused = result(existing == m_resources.end() ? wire::NOT_FOUND : wire::VERSION_CONFLICT);
        if (existing != m_resources.end()) {
            *refused.mutable_resource() = existing->second;
        }
        return refused;
    }
    if (existing == m_resources.end() && m_resources.size() >= m_options.maxResources) {
        return result(wire::CONFIG_FULL);
    }
    ++m_version;
    auto &resource = m_resources[key];
    m_byVersion.erase(resource.version());
    resource.set_kind(command.kind());
    resource.set_name(command.name());
    resource.set_version(m_version);
    resource.set_spec_json(command.spec_json());
    m_byVersion[m_version] = std::move(key);
    auto accepted = result(wire::ACCEPTED);
    *accepted.mutable_resource() = resource;
    return accepted;
}

wire::ConfigResult ConfigMachine::remove(const wire::DeleteResource &command)
{
    const ResourceKey key {command.kind(), command.name()};
    const auto existing = m_resources.find(key);
    if (existing == m_resources.end()) {
        return result(wire::NOT_FOUND);
    }
    if (existing->second.version() != command.expected_version()) {
        auto refused = result(wire::VERSION_CONFLICT);
        *refused.mutable_resource() = existing->second;
        return refused;
    }
    ++m_version;
    m_byVersion.erase(existing->second.version());
    m_resources.erase(existing);
    auto &deletion = m_deletions[m_version];
    deletion.set_kind(key.kind);
    deletion.set_name(key.name);
    deletion.set_version(m_version);
    deletion.set_deleted(true);
    auto accepted = result(wire::ACCEPTED);
    *accepted.mutable_resource() = deletion;
    forgetDeletions();
    return accepted;
}

wire::ConfigResult ConfigMachine::registerProxy(const wire::RegisterProxy &command)
{
    m_proxies[command.proxy().proxy()] = command.proxy();
    return result(wire::ACCEPTED);
}

wire::ConfigResult ConfigMachine::removeProxy(const wire::RemoveProxy &command)
{
    const auto known = m_proxies.find(command.proxy());
    if (known == m_proxies.end() || known->second.incarnation() != command.incarnation()) {
        return result(wire::STALE);
    }
    m_proxies.erase(known);
    return result(wire::ACCEPTED);
}

wire::ConfigResult ConfigMachine::assignOwners(const wire::AssignOwners &command)
{
    auto outcome = result(wire::ACCEPTED);
    for (const auto &change : command.changes()) {
        auto &record = m_groups[change.group()];
        record.set_group(change.group());
        if (record.owner_epoch() != change.expected_epoch()) {
            outcome.add_refused(change.group());
            continue;
        }
        record.set_owner(change.owner());
        record.set_owner_incarnation(change.incarnation());
        record.set_owner_epoch(record.owner_epoch() + 1);
        if (!change.keep_holders()) {
            record.clear_holders();
        }
        if (!change.owner().empty()) {
            auto &holder = *record.add_holders();
            holder.set_proxy(change.owner());
            holder.set_incarnation(change.incarnation());
            holder.set_owner_epoch(record.owner_epoch());
        }
    }
    return outcome;
}

wire::ConfigResult ConfigMachine::releaseHolder(const wire::ReleaseHolder &command)
{
    const auto record = m_groups.find(command.group());
    if (record == m_groups.end()) {
        return result(wire::STALE);
    }
    auto &holders = *record->second.mutable_holders();
    const auto released = std::remove_if(holders.begin(), holders.end(), [&command](const wire::Holder &holder) {
        return holder.proxy() == command.proxy() && holder.incarnation() == command.incarnation() && holder.owner_epoch() == command.owner_epoch();
    });
    if (released == holders.end()) {
        return result(wire::STALE);
    }
    holders.erase(released, holders.end());
    return result(wire::ACCEPTED);
}

wire::ConfigResult ConfigMachine::startTerm(const wire::StartTerm &command)
{
    auto &record = m_groups[command.group()];
    record.set_group(command.group());
    if (record.term() != command.expected_term() || command.term() <= record.term()) {
        return result(wire::STALE);
    }
    if (!record.primary().empty()) {
        record.set_previous_primary(record.primary());
    }
    record.set_term(command.term());
    record.clear_primary();
    record.clear_term_start();
    record.set_target(command.target());
    return result(wire::ACCEPTED);
}

wire::ConfigResult ConfigMachine::publishPrimary(const wire::PublishPrimary &command)
{
    auto &record = m_groups[command.group()];
    record.set_group(command.group());
    const bool adopts = record.term() == 0 && command.term() > 0;
    if (!adopts && (record.term() != command.term() || !record.primary().empty())) {
        return result(wire::STALE);
    }
    record.set_term(command.term());
    record.set_primary(command.primary());
    record.set_term_start(command.term_start());
    record.clear_target();
    auto &history = *record.mutable_term_history();
    auto &start = *history.Add();
    start.set_term(command.term());
    start.set_start(command.term_start());
    if (static_cast<std::size_t>(history.size()) > m_options.maxTermHistory) {
        history.DeleteSubrange(0, history.size() - static_cast<int>(m_options.maxTermHistory));
    }
    return result(wire::ACCEPTED);
}

wire::ConfigResult ConfigMachine::result(wire::ConfigStatus status) const
{
    wire::ConfigResult outcome;
    outcome.set_status(status);
    outcome.set_version(m_version);
    return outcome;
}

void ConfigMachine::remember(const std::string &changeId, std::uint64_t contentHash, const wire::ConfigResult &result)
{
    m_changes[changeId] = {contentHash, result};
    m_changeOrder.push_back(changeId);
    while (m_changeOrder.size() > m_options.maxChanges) {
        m_changes.erase(m_changeOrder.front());
        m_changeOrder.pop_front();
    }
}

void ConfigMachine::forgetDeletions()
{
    while (m_deletions.size() > m_options.maxDeletions) {
        m_removedBefore = m_deletions.begin()->first;
        m_deletions.erase(m_deletions.begin());
    }
}

std::vector<std::byte> ConfigMachine::snapshot() const
{
    wire::ConfigSnapshot content;
    content.set_version(m_version);
    content.set_removed_before(m_removedBefore);
    content.set_applied_index(m_appliedIndex);
    for (const auto &[key, resource] : m_resources) {
        *content.add_resources() = resource;
    }
    for (const auto &[version, deletion] : m_deletions) {
        *content.add_deletions() = deletion;
    }
    for (const auto &[name, record] : m_groups) {
        *content.add_groups() = record;
    }
    for (const auto &[name, record] : m_proxies) {
        *content.add_proxies() = record;
    }
    for (const auto &changeId : m_changeOrder) {
        const auto &change = m_changes.at(changeId);
        auto &remembered = *content.add_changes();
        remembered.set_change_id(changeId);
        remembered.set_content_hash(change.contentHash);
        *remembered.mutable_result() = change.result;
    }
    return encodeMessage(content);
}

bool ConfigMachine::restore(std::span<const std::byte> bytes)
{
    wire::ConfigSnapshot content;
    if (!decodeMessage(bytes, content)) {
        return false;
    }
    ConfigMachine next(m_options);
    next.m_version = content.version();
    next.m_removedBefore = content.removed_before();
    next.m_appliedIndex = content.applied_index();
    for (const auto &resource : content.resources()) {
        const ResourceKey key {resource.kind(), resource.name()};
        next.m_resources[key] = resource;
        next.m_byVersion[resource.version()] = key;
    }
    for (const auto &deletion : content.deletions()) {
        next.m_deletions[deletion.version()] = deletion;
    }
    for (const auto &record : content.groups()) {
        next.m_groups[record.group()] = record;
    }
    for (const auto &record : content.proxies()) {
        next.m_proxies[record.proxy()] = record;
    }
    for (const auto &change : content.changes()) {
        next.remember(change.change_id(), change.content_hash(), change.result());
    }
    *this = std::move(next);
    return true;
}

const wire::Resource *ConfigMachine::resource(const ResourceKey &key) const
{
    const auto found = m_resources.find(key);
    return found == m_resources.end() ? nullptr : &found->second;
}

std::optional<std::vector<wire::Resource>> ConfigMachine::changesAfter(std::uint64_t version) const
{
    if (version < m_removedBefore || version > m_version) {
        return std::nullopt;
    }
    std::vector<wire::Resource> changes;
    for (auto change = m_byVersion.upper_bound(version); change != m_byVersion.end(); ++change) {
        changes.push_back(m_resources.at(change->second));
    }
    for (auto deletion = m_deletions.upper_bound(version); deletion != m_deletions.end(); ++deletion) {
        // A resource that was created again is in the list above with its new version.
        if (!m_resources.contains({deletion->second.kind(), deletion->second.name()})) {
            changes.push_back(deletion->second);
        }
    }
    std::sort(changes.begin(), changes.end(), [](const wire::Resource &a, const wire::Resource &b) { return a.version() < b.version(); });
    return changes;
}

const wire::GroupRecord *ConfigMachine::group(std::string_view name) const
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : &found->second;
}

const wire::ConfigResult *ConfigMachine::changeResult(std::string_view changeId) const
{
    const auto found = m_changes.find(std::string(changeId));
    return found == m_changes.end() ? nullptr : &found->second.result;
}

} // namespace waxwing
