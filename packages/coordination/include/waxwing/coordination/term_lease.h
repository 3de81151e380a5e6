#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// Whether an answer of a database may be acknowledged.
enum class Acknowledgement {
    Allowed,
    LeaseExpired, ///< another proxy may own the group
    TermWithdrawn, ///< the primary of this term has been, or is being, replaced
    TermUnknown, ///< the term was never leased to this proxy
};

struct TermLeaseOptions
{
    /// Part of the lease that is given up, since the clock of control may run faster than that of this VM.
    double driftMargin = 0.05;
};

/// @brief The lease of a proxy and the terms that it covers.
///
/// The lease is counted from when the renewal was sent, which is before control counted its own, longer one. Without
/// a valid lease no answer is acknowledged.
class TermLease
{
public:
    explicit TermLease(TermLeaseOptions options = {});

    /// @brief Takes over a grant. A grant for an older renewal than the last never shortens the lease.
    /// @param sentAt when the renewal that was granted was sent
    /// @param duration duration that control granted
    void renew(TimePoint sentAt, Duration duration);

    /// @brief Gives the lease up, e.g. when control assigned other owners or the proxy starts again.
    void release();

    /// @brief Tells whether the lease is valid.
    bool isValid(TimePoint now) const;

    /// @brief When the lease ends, unless it is renewed.
    TimePoint expiresAt() const;

    /// @brief Takes over the term of a group that this proxy owns; a lower or withdrawn term is ignored.
    void grantTerm(std::string_view group, std::uint64_t term);

    /// @brief Stops acknowledgements for a term of a group and all lower ones, for good.
    void withdrawTerm(std::string_view group, std::uint64_t term);

    /// @brief Term in which the group may be written; 0 for none. The lease may have expired.
    std::uint64_t term(std::string_view group) const;

    /// @brief Tells whether an answer may be acknowledged now.
    /// @param term term in which the database answered
    Acknowledgement acknowledgement(std::string_view group, std::uint64_t term, TimePoint now) const;

private:
    struct GroupTerm
    {
        std::uint64_t granted = 0;
        std::uint64_t withdrawn = 0;
    };

    GroupTerm &groupTerm(std::string_view group);

    TermLeaseOptions m_options;
    TimePoint m_expiresAt = TimePoint::min();
    std::map<std::string, GroupTerm, std::less<>> m_groups;
};

} // namespace waxwing
