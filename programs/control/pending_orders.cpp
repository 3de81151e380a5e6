#include "pending_orders.h"

namespace waxwing::control
{

std::vector<std::string> PendingOrders::expire(TimePoint now)
{
    std::vector<std::string> expired;
    std::erase_if(m_lastOrders, [&](const auto &item) {
        if (now - item.second < m_limit) {
            return false;
        }
        expired.push_back(item.first);
        return true;
    });
    return expired;
}

} // namespace waxwing::control
