#pragma once

namespace waxwing
{

/// Freshness that a route guarantees to its reads.
enum class Freshness {
    Primary, ///< every commit that was acknowledged before the read
    BoundedAge, ///< every commit that is older than a stated age
    OwnWrites, ///< as BoundedAge, and every commit of the session
};

} // namespace waxwing
