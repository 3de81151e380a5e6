#include "beat_forwarder.h"

#include <waxwing/support/identifier.h>

#include <utility>
#include <vector>

namespace waxwing::control
{

BeatForwarder::BeatForwarder(Send send)
    : m_send(std::move(send))
    , m_incarnation(randomIdentifier())
{
}

void BeatForwarder::forward(const std::string &leader, const wire::PoolMember &member, TimePoint now, Handler handler)
{
    wire::PoolEnvelope message;
    auto &beat = *message.mutable_beat();
    *beat.mutable_member() = member;
    beat.set_correlation(++m_lastCorrelation);
    beat.set_incarnation(m_incarnation);
    m_pending.emplace(m_lastCorrelation, Pending {std::move(handler), now + answerTimeout});
    m_send(leader, message);
}

void BeatForwarder::receive(const wire::PoolBeatAnswer &answer)
{
    if (answer.incarnation() != m_incarnation) {
        return;
    }
    auto pending = m_pending.extract(answer.correlation());
    if (!pending.empty()) {
        pending.mapped().handler(answer.recorded());
    }
}

void BeatForwarder::tick(TimePoint now)
{
    std::vector<Handler> expired;
    std::erase_if(m_pending, [&](auto &item) {
        if (item.second.deadline > now) {
            return false;
        }
        expired.push_back(item.second.handler);
        return true;
    });
    for (const auto &handler : expired) {
        handler(false);
    }
}

} // namespace waxwing::control
