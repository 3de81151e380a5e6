#include "link_thread.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <thread>

namespace waxwing
{

/// State that posted handlers share with the link; they may run after the link object is destroyed.
struct LinkDelivery
{
    MessageLink::Receiver receiver;
    MessageLink::FailureHandler onFailure;
    std::atomic<bool> scheduled {false};
    bool closed = false;
};

struct MessageLink::Data
{
    Data(boost::asio::io_context &ioContext, const MessageLinkOptions &options)
        : context(ioContext)
        , delivery(std::make_shared<LinkDelivery>())
        , worker(std::make_unique<LinkThread>(options, [this] { schedule(); }))
    {
    }

    // Called on the link thread. One posted handler delivers all queued messages.
    void schedule()
    {
        if (!delivery->scheduled.exchange(true, std::memory_order_acq_rel)) {
            boost::asio::post(context, [this, alive = delivery] {
                if (!alive->closed) {
                    drain(*alive);
                }
            });
        }
    }

    void drain(LinkDelivery &target)
    {
        target.scheduled.store(false, std::memory_order_release);
        while (auto item = worker->inbound().pop()) {
            wire::Envelope message;
            if (!message.ParseFromString(item->frame)) {
                Metrics::instance().counter("waxwing_link_refusals_total", "reason", "malformed").add();
                continue;
            }
            if (item->kind == LinkThread::Item::Kind::Message) {
                target.receiver(item->peer, std::move(message));
            } else if (target.onFailure) {
                target.onFailure(item->peer, std::move(message));
            }
            if (target.closed) {
                return; // The handler destroyed the link.
            }
        }
    }

    bool push(LinkThread::Item &&item)
    {
        if (!worker->outbound().push(std::move(item))) {
            Metrics::instance().counter("waxwing_link_refusals_total", "reason", "ring-full").add();
            return false;
        }
        worker->wake();
        return true;
    }

    boost::asio::io_context &context;
    std::shared_ptr<LinkDelivery> delivery; // Shared with posted handlers, which may outlive the link.
    std::unique_ptr<LinkThread> worker;
    std::thread thread;
};

TransportResult<MessageLink> MessageLink::start(boost::asio::io_context &context, MessageLinkOptions options, Receiver receiver, FailureHandler onFailure)
{
    auto data = std::make_unique<Data>(context, options);
    data->delivery->receiver = std::move(receiver);
    data->delivery->onFailure = std::move(onFailure);
    if (!data->worker->bind()) {
        return TransportError::ListenFailed;
    }
    data->thread = std::thread([worker = data->worker.get()] { worker->run(); });
    return MessageLink(std::move(data));
}

MessageLink::MessageLink(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{
}

MessageLink::MessageLink(MessageLink &&) noexcept = default;
MessageLink &MessageLink::operator=(MessageLink &&) noexcept = default;

MessageLink::~MessageLink()
{
    if (m_data) {
        m_data->delivery->closed = true;
        m_data->worker->stop();
        m_data->thread.join();
    }
}

bool MessageLink::send(const LinkPeer &to, const wire::Envelope &message)
{
    return m_data->push({LinkThread::Item::Kind::Message, to, message.SerializeAsString()});
}

void MessageLink::dial(const std::string &address)
{
    m_data->push({LinkThread::Item::Kind::Dial, {LinkPeer::Kind::Dialed, address}, {}});
}

void MessageLink::disconnect(const std::string &address)
{
    m_data->push({LinkThread::Item::Kind::Disconnect, {LinkPeer::Kind::Dialed, address}, {}});
}

} // namespace waxwing
