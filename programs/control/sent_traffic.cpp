#include "sent_traffic.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <utility>

namespace waxwing::control
{

SentTraffic::SentTraffic(Duration interval)
    : m_interval(interval)
    , m_reportedAt(Clock::now())
{
    for (std::size_t i = 0; i < kindCount; ++i) {
        const auto kind = name(static_cast<Kind>(i));
        m_totals[i].messageCounter = &Metrics::instance().counter("waxwing_control_sent_messages_total", "kind", kind);
        m_totals[i].byteCounter = &Metrics::instance().counter("waxwing_control_sent_bytes_total", "kind", kind);
    }
}

std::string_view SentTraffic::name(Kind kind)
{
    switch (kind) {
    case Kind::Document:
        return "document";
    case Kind::Directory:
        return "directory";
    case Kind::Grant:
        return "grant";
    case Kind::Withdraw:
        return "withdraw";
    case Kind::Referral:
        return "referral";
    case Kind::Relay:
        return "relay";
    case Kind::Heartbeat:
        return "heartbeat";
    case Kind::Raft:
        return "raft";
    case Kind::Other:
        break;
    }
    return "other";
}

void SentTraffic::add(const wire::Envelope &message)
{
    if (message.has_raft()) {
        add(Kind::Raft, message.raft().message().size());
    } else if (message.has_pool()) {
        addPool(message.pool());
    } else {
        add(Kind::Other, message.ByteSizeLong());
    }
}

void SentTraffic::addPool(const wire::PoolEnvelope &message)
{
    auto size = message.ByteSizeLong();
    if (message.has_grant()) {
        const auto &grant = message.grant();
        if (const auto document = grant.document().size() + grant.compressed_document().size(); document != 0) {
            add(Kind::Document, document);
            size -= document;
        }
        if (!grant.compressed_directory().empty()) {
            add(Kind::Directory, grant.compressed_directory().size());
            size -= grant.compressed_directory().size();
        } else if (grant.has_directory()) {
            std::size_t directory = 0;
            for (const auto &view : grant.services()) {
                directory += view.ByteSizeLong();
            }
            add(Kind::Directory, directory);
            size -= directory;
        }
        add(Kind::Grant, size);
    } else if (message.has_withdraw()) {
        add(Kind::Withdraw, size);
    } else if (message.has_not_leader()) {
        add(Kind::Referral, size);
    } else if (message.has_relay()) {
        add(Kind::Relay, size);
    } else if (message.has_beat()) {
        add(Kind::Heartbeat, size);
    } else {
        add(Kind::Other, size);
    }
}

void SentTraffic::add(Kind kind, std::size_t bytes)
{
    auto &total = m_totals[static_cast<std::size_t>(kind)];
    ++total.messages;
    total.bytes += bytes;
    total.messageCounter->add();
    total.byteCounter->add(static_cast<std::int64_t>(bytes));
}

void SentTraffic::report(TimePoint now)
{
    if (now - m_reportedAt < m_interval) {
        return;
    }
    const auto sinceMs = toMilliseconds(now - std::exchange(m_reportedAt, now)).count();
    for (std::size_t i = 0; i < kindCount; ++i) {
        auto &total = m_totals[i];
        const auto messages = total.messages - std::exchange(total.reportedMessages, total.messages);
        const auto bytes = total.bytes - std::exchange(total.reportedBytes, total.bytes);
        if (messages != 0) {
            log::write(log::Level::Info, "messages sent",
                       {{"kind", name(static_cast<Kind>(i))}, {"messages", messages}, {"bytes", bytes}, {"interval_ms", sinceMs}});
        }
    }
}

std::size_t SentTraffic::messages(Kind kind) const
{
    return m_totals[static_cast<std::size_t>(kind)].messages;
}

std::size_t SentTraffic::bytes(Kind kind) const
{
    return m_totals[static_cast<std::size_t>(kind)].bytes;
}

} // namespace waxwing::control
