#pragma once

#include <string_view>
#include <vector>

namespace waxwing::load
{

/// @brief Load of a named experiment, as options of `waxwing-load run`.
///
/// The driver script adds the addresses, the seed and the files, and may override each option.
/// @return the options, empty for an unknown name
std::vector<const char *> experimentPreset(std::string_view name);

/// @brief Names of all experiments that have a load of their own.
std::vector<std::string_view> experimentNames();

} // namespace waxwing::load
