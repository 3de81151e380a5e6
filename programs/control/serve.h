#pragma once

namespace waxwing::control
{

struct ControlSettings;

/// @brief Runs a control process until SIGTERM or SIGINT.
/// @param settings checked settings
/// @return exit code: 0 after a clean stop, 1 if the process can't start
int serve(const ControlSettings &settings);

} // namespace waxwing::control
