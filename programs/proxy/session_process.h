#pragma once

namespace waxwing
{

struct SessionSettings;

/// @brief Runs a proxy that serves sessions until it is stopped by SIGTERM or SIGINT.
/// @return exit code
int runSessionProxy(const SessionSettings &settings);

} // namespace waxwing
