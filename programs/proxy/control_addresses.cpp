#include "control_addresses.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace waxwing
{

namespace
{

// Bounds the memory that a faulty member can use; at most 8 VMs serve control.
constexpr std::size_t maxMembers = 64;

bool contains(const std::vector<std::string> &addresses, std::string_view address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

std::vector<std::string> without(const std::vector<std::string> &addresses, const std::vector<std::string> &excluded)
{
    std::vector<std::string> rest;
    std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(rest), [&](const auto &address) { return !contains(excluded, address); });
    return rest;
}

} // namespace

ControlAddresses::ControlAddresses(std::vector<std::string> seeds, std::uint64_t order)
    : m_seeds(std::move(seeds))
    , m_first(order % maxMembers)
{
    updateOtherSeeds();
}

ControlAddresses::Change ControlAddresses::setMembers(std::span<const std::string> members)
{
    if (members.empty()) {
        return {};
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(members.size(), maxMembers));
    const auto before = std::exchange(m_members, {members.begin(), members.begin() + count});
    updateOtherSeeds();
    return {without(without(m_members, before), m_seeds), without(without(before, m_members), m_seeds)};
}

bool ControlAddresses::learn(const std::string &address)
{
    if (isKnown(address) || m_members.size() >= maxMembers) {
        return false;
    }
    m_members.push_back(address);
    return true;
}

bool ControlAddresses::isKnown(std::string_view address) const
{
    return contains(m_members, address) || contains(m_seeds, address);
}

void ControlAddresses::updateOtherSeeds()
{
    m_otherSeeds = without(m_seeds, m_members);
}

void ControlAddresses::startRound()
{
    ++m_first;
    m_position = 0;
    m_firstRound = true;
}

std::string ControlAddresses::takeNext()
{
    if (m_position >= size()) {
        m_position = 0;
        m_firstRound = false;
    }
    const auto position = m_position++;
    if (position < m_members.size()) {
        return m_members[(m_first + position) % m_members.size()];
    }
    return m_otherSeeds[(m_first + position - m_members.size()) % m_otherSeeds.size()];
}

std::string ControlAddresses::next(std::string_view unreachable)
{
    if (size() == 0) {
        return {};
    }
    auto address = takeNext();
    if (address == unreachable && m_firstRound) {
        address = takeNext();
    }
    return address;
}

std::vector<std::string> ControlAddresses::all() const
{
    auto addresses = m_members;
    addresses.insert(addresses.end(), m_otherSeeds.begin(), m_otherSeeds.end());
    return addresses;
}

} // namespace waxwing
