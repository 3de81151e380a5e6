#pragma once

namespace waxwing::control
{

struct SessionControlSettings;

/// @brief Runs a member of control for a deployment that serves sessions until it is stopped by SIGTERM or SIGINT.
/// @return exit code
int serveSessions(const SessionControlSettings &settings);

} // namespace waxwing::control
