#pragma once

#include "session_leases.h"

#include <waxwing/coordination/log_types.h>
#include <waxwing/coordination/pool_directory.h>
#include <waxwing/state/sessions_machine.h>
#include <waxwing/support/time.h>

#include <boost/json/object.hpp>

namespace waxwing::control
{

/// @brief What an operator sees of a deployment that serves sessions: members of control, services, databases and proxies.
/// @param log state of the answering member's log
/// @param active the answering member leads, so that directory and leases are present
boost::json::object sessionStatus(const LogStatus &log, const SessionsMachine &machine, const PoolDirectory &directory, const SessionLeases &leases,
                                  bool active, TimePoint now);

} // namespace waxwing::control
