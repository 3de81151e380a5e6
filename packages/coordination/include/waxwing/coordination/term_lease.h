#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// Whether the response of a database may be acknowledged to the caller.
enum class Acknowledgement {
    Allowed,
    LeaseExpired, ///< another proxy may own the group
    TermWithdrawn, ///< the primary of this term has been replaced, or is being replaced
    TermUnknown, ///< the term was never granted to this proxy
};

struct TermLeaseOptions
{
    /// Fraction by which the proxy shortens its lease, because the clock of control may run faster than that of this VM.
    double driftMargin = 0.05;
};

/// @brief Lease of a proxy, and the term of each group that it owns.
///
/// The lease runs from when the renewal was sent. Control counts a longer lease from a later moment, so the lease ends
/// at the proxy before it ends at control. Without a valid lease no response is acknowledged.
class TermLease
{
public:
    explicit TermLease(TermLeaseOptions options = {});

    /// @brief Extends the lease. A grant for an earlier renewal never shortens it.
    /// @param sentAt when the proxy sent the renewal
    /// @param duration duration granted by control
    void renew(TimePoint sentAt, Duration duration);

    /// @brief Ends the lease, e.g. when control has assigned other owners or the proxy restarts.
    void release();

    /// @brief Returns whether the lease is valid.
    bool isValid(TimePoint now) const;

    /// @brief Time at which the lease ends unless it is renewed.
    TimePoint expiresAt() const;

    /// @brief Sets the term of a group that this proxy owns; a lower or withdrawn term is ignored.
    void grantTerm(std::string_view group, std::uint64_t term);

    /// @brief Stops acknowledgements for a term of a group and all lower terms. This can't be undone.
    void withdrawTerm(std::string_view group, std::uint64_t term);

    /// @brief Granted term of a group; 0 for none. Does not check whether the lease is valid.
    std::uint64_t term(std::string_view group) const;

    /// @brief Returns whether a response may be acknowledged now.
    /// @param term term in which the database responded
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
