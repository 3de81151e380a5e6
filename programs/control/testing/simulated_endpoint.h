#pragma once

#include "simulated_world.h"

#include <waxwing/wire/waxwing.pb.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Database group member that keeps its log over restarts; replicas poll the primary for new entries.
class SimulatedEndpoint
{
public:
    struct Entry
    {
        std::uint64_t term = 0;
        std::uint64_t write = 0;

        bool operator==(const Entry &) const = default;
    };

    using Peers = std::map<std::string, std::unique_ptr<SimulatedEndpoint>>;

    SimulatedEndpoint(SimulatedWorld &world, Peers &peers, std::string endpointName, std::string failureDomain)
        : name(std::move(endpointName))
        , domain(std::move(failureDomain))
        , m_world(world)
        , m_peers(peers)
    {
        replicate();
    }

    std::uint64_t position() const
    {
        return log.size();
    }

    /// @brief Latest term for which this member has the log up to the start of the term.
    std::uint64_t dataTerm() const
    {
        return terms.empty() ? 0 : terms.back().first;
    }

    bool promote(std::uint64_t term)
    {
        if (primary && term == fencedTerm) {
            return true;
        }
        if (term <= fencedTerm) {
            return false;
        }
        fencedTerm = term;
        primary = true;
        followedPrimary.clear();
        terms.emplace_back(term, position());
        return true;
    }

    bool follow(std::uint64_t term, const std::string &address)
    {
        if (term < fencedTerm || (primary && term == fencedTerm)) {
            return false;
        }
        fencedTerm = term;
        primary = false;
        followedPrimary = address;
        return true;
    }

    /// @brief Executes a write in a term.
    /// @return its position, or 0 if it was rejected
    std::uint64_t execute(std::uint64_t term, std::uint64_t write)
    {
        if (!primary || term != fencedTerm) {
            return 0;
        }
        log.push_back({term, write});
        return position();
    }

    wire::Announcement announcement() const
    {
        wire::Announcement announcement;
        announcement.set_database(name);
        announcement.set_group("orders");
        announcement.set_address(name);
        announcement.set_primary(primary);
        announcement.set_term(dataTerm());
        announcement.set_term_start(terms.empty() ? 0 : terms.back().second);
        announcement.set_position(position());
        announcement.set_failure_domain(domain);
        return announcement;
    }

    const std::string name;
    const std::string domain;
    bool alive = true;
    bool primary = false;
    std::string followedPrimary; ///< address; empty if this member follows none
    std::uint64_t fencedTerm = 0; ///< promote and follow calls of lower terms and writes of other terms are rejected
    std::vector<Entry> log;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> terms; ///< term and its start position

private:
    void replicate()
    {
        m_world.after(5ms + m_world.random.upTo(20ms), [this] { replicate(); });
        const auto found = m_peers.find(followedPrimary);
        if (!alive || primary || found == m_peers.end()) {
            return;
        }
        m_world.send(name, followedPrimary, [this, &source = *found->second, term = fencedTerm] {
            if (!source.alive || !source.primary || source.fencedTerm != term) {
                return;
            }
            const auto sourceSize = source.log.size();
            m_world.send(source.name, name,
                         [this, term, log = std::vector(source.log.begin(), source.log.begin() + static_cast<std::ptrdiff_t>(sourceSize)),
                          termStarts = source.terms] { receive(term, log, termStarts); });
        });
    }

    void receive(std::uint64_t term, const std::vector<Entry> &source, const std::vector<std::pair<std::uint64_t, std::uint64_t>> &termStarts)
    {
        if (!alive || primary || fencedTerm != term) {
            return;
        }
        const auto common = static_cast<std::size_t>(std::mismatch(log.begin(), log.end(), source.begin(), source.end()).first - log.begin());
        truncate(common); // entries after the common part are replaced by those of the primary
        const auto newSize = std::min(source.size(), log.size() + m_world.random.between(1, 20));
        log.insert(log.end(), source.begin() + static_cast<std::ptrdiff_t>(std::min(log.size(), newSize)),
                   source.begin() + static_cast<std::ptrdiff_t>(newSize));
        if (log.size() >= termStarts.back().second) {
            terms = termStarts;
        }
    }

    void truncate(std::size_t size)
    {
        log.resize(size);
        std::erase_if(terms, [size](const auto &start) { return start.second > size; });
    }

    SimulatedWorld &m_world;
    Peers &m_peers;
};

} // namespace waxwing::control::testing
