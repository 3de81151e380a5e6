#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace waxwing
{

/// Why it is not known whether a statement ran.
enum class UnknownReason {
    DeadlinePassedRunning,
    ConnectionLost,
    LeaseLostRunning,
    OwnerLost,
    MajorityNotConfirmed,
    NotRepeated,
};

/// @brief All reasons, in the order of the enum.
std::span<const UnknownReason> unknownReasons();

/// @brief Code of a reason in responses and metric labels, e.g. `owner-lost`.
std::string_view code(UnknownReason reason);

/// @brief Finds the reason with a code.
/// @return nothing if no reason has this code
std::optional<UnknownReason> unknownReasonFromCode(std::string_view code);

/// @brief Sentence for the caller.
std::string_view message(UnknownReason reason);

} // namespace waxwing
