#include <waxwing/coordination/owner_assignment.h>
#include <waxwing/support/identifier.h>

#include <tuple>

namespace waxwing
{

std::optional<std::size_t> chooseOwner(std::string_view group, std::string_view primaryDomain, std::span<const OwnerCandidate> candidates)
{
    std::optional<std::size_t> chosen;
    std::tuple<bool, std::uint64_t, std::string_view> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        std::string hashInput(group);
        hashInput.append("\n").append(candidate.proxy);
        const std::tuple<bool, std::uint64_t, std::string_view> rank {candidate.failureDomain == primaryDomain, hash64(hashInput), candidate.proxy};
        if (!chosen || rank > best) {
            chosen = i;
            best = rank;
        }
    }
    return chosen;
}

} // namespace waxwing
