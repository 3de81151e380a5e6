#include <waxwing/state/unknown_reason.h>

#include <algorithm>
#include <array>

namespace waxwing
{

namespace
{

using Reason = UnknownReason;

struct Entry
{
    std::string_view code;
    std::string_view sentence;
};

constexpr auto allReasons = std::to_array<Reason>({
    Reason::DeadlinePassedRunning,
    Reason::ConnectionLost,
    Reason::LeaseLostRunning,
    Reason::OwnerLost,
    Reason::MajorityNotConfirmed,
    Reason::NotRepeated,
});

Entry entryOf(Reason reason)
{
    switch (reason) {
    case Reason::DeadlinePassedRunning:
        return {"deadline-passed-running", "The deadline passed while the statement was running."};
    case Reason::ConnectionLost:
        return {"connection-lost", "The connection to the database was lost while the statement was running."};
    case Reason::LeaseLostRunning:
        return {"lease-lost-running", "The lease ended, or the primary was replaced, while the statement was running."};
    case Reason::OwnerLost:
        return {"owner-lost", "The proxy that ran the statement was lost before it responded."};
    case Reason::MajorityNotConfirmed:
        return {"majority-not-confirmed", "The write ran on the primary, but a majority did not confirm it in time."};
    case Reason::NotRepeated:
        break;
    }
    return {"not-repeated", "An earlier attempt may have run, and the statement must not repeat."};
}

} // namespace

std::span<const UnknownReason> unknownReasons()
{
    return allReasons;
}

std::string_view code(UnknownReason reason)
{
    return entryOf(reason).code;
}

std::optional<UnknownReason> unknownReasonFromCode(std::string_view code)
{
    const auto found = std::find_if(allReasons.begin(), allReasons.end(), [code](Reason reason) { return entryOf(reason).code == code; });
    if (found == allReasons.end()) {
        return std::nullopt;
    }
    return *found;
}

std::string_view message(UnknownReason reason)
{
    return entryOf(reason).sentence;
}

} // namespace waxwing
