#include "intent_client.h"

#include <utility>
#include <vector>

namespace waxwing
{

IntentClient::IntentClient(Options options, std::function<bool(const wire::Envelope &message)> send)
    : m_options(std::move(options))
    , m_send(std::move(send))
{
}

void IntentClient::begin(const IntentKey &key, std::uint64_t statementHash, TimePoint now, TimePoint deadline, Handler handler)
{
    wire::Envelope message;
    auto &begin = *message.mutable_intent_begin();
    begin.set_correlation(++m_correlation);
    begin.set_service(key.service);
    begin.set_key(key.key);
    begin.set_statement_hash(statementHash);
    begin.set_proxy(m_options.proxy);
    begin.set_incarnation(m_options.incarnation);
    begin.set_attempt(key.attempt);
    add(std::move(message), std::move(handler), now, deadline);
}

void IntentClient::finish(const IntentKey &key, const wire::StatementAnswer &answer, TimePoint now)
{
    wire::Envelope message;
    auto &finish = *message.mutable_intent_finish();
    finish.set_correlation(++m_correlation);
    finish.set_service(key.service);
    finish.set_key(key.key);
    finish.set_proxy(m_options.proxy);
    finish.set_incarnation(m_options.incarnation);
    finish.set_attempt(key.attempt);
    *finish.mutable_answer() = answer;
    add(std::move(message), nullptr, now, now + m_options.recordLimit);
}

void IntentClient::release(const IntentKey &key, TimePoint now)
{
    wire::Envelope message;
    auto &release = *message.mutable_intent_release();
    release.set_correlation(++m_correlation);
    release.set_service(key.service);
    release.set_key(key.key);
    release.set_proxy(m_options.proxy);
    release.set_incarnation(m_options.incarnation);
    release.set_attempt(key.attempt);
    add(std::move(message), nullptr, now, now + m_options.recordLimit);
}

void IntentClient::add(wire::Envelope &&message, Handler handler, TimePoint now, TimePoint expiresAt)
{
    auto &pending = m_pending[m_correlation];
    pending = {std::move(message), std::move(handler), now + m_options.repeatAfter, expiresAt};
    m_send(pending.message);
}

void IntentClient::onReply(const wire::IntentReply &reply)
{
    // Control replies to the name of a proxy, and correlations begin anew with each process.
    if (reply.incarnation() != m_options.incarnation || reply.state() == wire::UNAVAILABLE) {
        return; // Repeated until the deadline.
    }
    auto node = m_pending.extract(reply.correlation());
    if (!node.empty() && node.mapped().handler) {
        node.mapped().handler(reply.state(), reply.answer());
    }
}

void IntentClient::tick(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[correlation, pending] : m_pending) {
        if (pending.expiresAt <= now) {
            expired.push_back(correlation);
        } else if (pending.repeatAt <= now) {
            pending.repeatAt = now + m_options.repeatAfter;
            m_send(pending.message);
        }
    }
    for (const auto correlation : expired) {
        auto node = m_pending.extract(correlation);
        if (!node.empty() && node.mapped().handler) {
            node.mapped().handler(wire::UNAVAILABLE, {});
        }
    }
}

} // namespace waxwing
