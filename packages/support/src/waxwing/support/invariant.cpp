#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

namespace waxwing
{

bool checkInvariant(bool holds, std::string_view name, std::string_view file, int line)
{
    if (!holds) [[unlikely]] {
        Metrics::instance().counter("waxwing_invariant_failures_total", "invariant", name).add();
        log::write(log::Level::Error, "invariant failed", {{"invariant", name}, {"file", file}, {"line", line}});
    }
    return holds;
}

} // namespace waxwing
