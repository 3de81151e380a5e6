#pragma once

#include "session_leases.h"

#include <waxwing/coordination/log_types.h>
#include <waxwing/coordination/pool_directory.h>
#include <waxwing/state/sessions_machine.h>
#include <waxwing/support/time.h>

#include <boost/json/object.hpp>

namespace waxwing::control
{

/// @brief Builds the status report for operators: members of control, services, databases and proxies.
/// @param log status of the answering member's log
/// @param active the answering member leads; only then are databases and proxies included
boost::json::object sessionStatus(const LogStatus &log, const SessionsMachine &machine, const PoolDirectory &directory, const SessionLeases &leases,
                                  bool active, TimePoint now);

} // namespace waxwing::control
