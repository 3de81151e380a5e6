#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace waxwing
{

/// Index of an entry in a replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;

/// @brief Deterministic state machine that a replicated log keeps identical on all members.
template<class M>
concept StateMachine = requires(M machine, const M &constMachine, LogIndex index, std::span<const std::byte> bytes)
{
    {
        machine.apply(index, bytes)
        } -> std::same_as<std::vector<std::byte>>; // result for the proposer
    {
        constMachine.snapshot()
        } -> std::same_as<std::vector<std::byte>>;
    {
        machine.restore(bytes)
        } -> std::same_as<bool>; // false when the snapshot is not readable
};

} // namespace waxwing
