#pragma once

#include <cstdint>
#include <string>

namespace waxwing
{

/// @brief Response of an endpoint to a status probe.
struct EndpointStatus
{
    std::string database;
    std::string group;
    bool isPrimary = false;
    std::uint64_t term = 0;
    std::uint64_t termStart = 0;
    std::uint64_t position = 0;
    std::uint64_t slots = 0;
    std::uint64_t connections = 0;
    std::uint64_t running = 0;
};

} // namespace waxwing
