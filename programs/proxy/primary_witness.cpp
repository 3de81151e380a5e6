#include "primary_witness.h"

#include "directory.h"

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr auto probeInterval = 250ms;
// One probe that was lost or late is no evidence; two in a row are silent for longer than this.
constexpr auto silenceLimit = 300ms;

const wire::Announcement *primaryOf(const wire::GroupDirectory &group)
{
    const auto &members = group.members();
    const auto found = std::find_if(members.begin(), members.end(), [&](const auto &member) { return member.database() == group.primary(); });
    return found == members.end() ? nullptr : &*found;
}

} // namespace

bool isEvidence(const StatusProbe &probe, TimePoint now)
{
    return probe.isRefused() || probe.silence(now) >= silenceLimit || probe.withoutRole(now) >= silenceLimit;
}

void addEvidence(const wire::GroupDirectory &group, const StatusProbe &probe, TimePoint now, wire::Renewal &renewal)
{
    if (!isEvidence(probe, now)) {
        return;
    }
    auto &evidence = *renewal.add_evidence();
    evidence.set_group(group.group());
    evidence.set_database(group.primary());
    evidence.set_term(group.term());
    // A database that answers but is no longer the primary, e.g. after a restart, refuses all writes.
    evidence.set_refused(probe.isRefused() || probe.withoutRole(now) >= silenceLimit);
    evidence.set_silent_ms(static_cast<std::uint32_t>(toMilliseconds(probe.silence(now)).count()));
}

PrimaryWitness::PrimaryWitness(boost::asio::io_context &context)
    : m_context(context)
{
}

void PrimaryWitness::update(const wire::GroupDirectory &group, bool isWatched)
{
    const auto *primary = primaryOf(group);
    if (!isWatched || primary == nullptr) {
        forget(group.group());
        return;
    }
    auto &watched = m_watched[group.group()];
    if (watched.database != primary->database() || !watched.probe || watched.probe->address() != primary->address()) {
        watched = {primary->database(), std::make_unique<StatusProbe>(m_context, primary->address(), [](const EndpointStatus &, TimePoint) {}), {}};
    }
}

void PrimaryWitness::forget(const std::string &group)
{
    m_watched.erase(group);
}

void PrimaryWitness::tick(TimePoint now)
{
    for (auto &[group, watched] : m_watched) {
        if (now - watched.lastProbe >= probeInterval) {
            watched.lastProbe = now;
            watched.probe->send(now);
        }
    }
}

void PrimaryWitness::fill(const Directory &directory, TimePoint now, wire::Renewal &renewal) const
{
    for (const auto &[name, watched] : m_watched) {
        if (const auto *group = directory.group(name); group != nullptr && group->primary() == watched.database) {
            addEvidence(*group, *watched.probe, now, renewal);
        }
    }
}

std::size_t PrimaryWitness::unreachable(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_watched.begin(), m_watched.end(), [now](const auto &entry) { return isEvidence(*entry.second.probe, now); }));
}

} // namespace waxwing
