#pragma once

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Control leader of a test: grants leases and keeps at-most-once records in memory.
class FakeControl
{
public:
    /// Sends a message to a proxy.
    std::function<void(const std::string &proxy, wire::Envelope &&message)> send;

    /// @brief Takes a message of a proxy.
    void receive(const std::string &proxy, const wire::Envelope &message)
    {
        if (message.has_renewal()) {
            renewals[proxy] = message.renewal();
            ++renewalCount[proxy];
            if (isGranting && !silentFor.contains(proxy)) {
                grant(proxy, message.renewal());
            }
        } else if (message.has_intent_begin()) {
            begin(proxy, message.intent_begin());
        } else if (message.has_intent_finish()) {
            const auto &finish = message.intent_finish();
            auto &record = intents[finish.key()];
            record.answer = finish.answer();
            record.isFinished = true;
            reply(proxy, finish, wire::RECORDED);
        } else if (message.has_intent_release()) {
            // Like control, releases only the attempt that was granted.
            const auto &release = message.intent_release();
            if (const auto known = intents.find(release.key()); known != intents.end() && known->second.attempt == release.attempt()) {
                intents.erase(known);
            }
            reply(proxy, release, wire::RECORDED);
        } else {
            others.push_back(message);
        }
    }

    /// @brief Changes the directory of the group and sends it to the proxies.
    void publish(const std::function<void(wire::GroupDirectory &)> &change)
    {
        change(group);
        ++directoryVersion;
        for (const auto &[proxy, renewal] : renewals) {
            wire::Envelope message;
            fill(*message.mutable_grant());
            if (!silentFor.contains(proxy)) {
                send(proxy, std::move(message));
            }
        }
    }

    void fill(wire::Grant &grant)
    {
        grant.set_control_term(1);
        grant.set_config_version(configVersion);
        grant.set_config_full(true);
        for (const auto &resource : resources) {
            *grant.add_resources() = resource;
        }
        grant.set_directory_version(directoryVersion);
        grant.set_directory_full(true);
        *grant.add_groups() = group;
        for (const auto &peer : peers) {
            *grant.add_peers() = peer;
        }
    }

    struct Intent
    {
        std::uint64_t attempt = 0;
        std::uint64_t hash = 0;
        bool isFinished = false;
        wire::StatementAnswer answer;
    };

    bool isGranting = true;
    std::uint32_t leaseMs = 1'200;
    std::map<std::string, bool> silentFor; ///< proxies that are cut off
    std::uint64_t configVersion = 1;
    std::uint64_t directoryVersion = 1;
    std::vector<wire::ResourceChange> resources;
    wire::GroupDirectory group;
    std::vector<wire::Peer> peers;
    std::map<std::string, wire::Renewal> renewals; ///< latest of each proxy
    std::map<std::string, int> renewalCount;
    std::map<std::string, Intent> intents; ///< by key
    bool endedAttempts = false; ///< the lease of whoever began the unfinished attempts has ended
    std::vector<wire::Envelope> others; ///< other messages received

private:
    void grant(const std::string &proxy, const wire::Renewal &renewal)
    {
        wire::Envelope message;
        auto &grant = *message.mutable_grant();
        fill(grant);
        grant.set_sequence(renewal.sequence());
        grant.set_incarnation(renewal.incarnation());
        grant.set_lease_ms(leaseMs);
        send(proxy, std::move(message));
    }

    void begin(const std::string &proxy, const wire::IntentBegin &begin)
    {
        const auto known = intents.find(begin.key());
        if (known == intents.end()) {
            intents[begin.key()] = {.attempt = begin.attempt(), .hash = begin.statement_hash(), .answer = {}};
            reply(proxy, begin, wire::GRANTED);
        } else if (known->second.hash != begin.statement_hash()) {
            reply(proxy, begin, wire::CONFLICT);
        } else if (!known->second.isFinished && endedAttempts) {
            reply(proxy, begin, wire::NOT_REPEATED);
        } else if (known->second.isFinished) {
            reply(proxy, begin, wire::FINISHED, known->second.answer);
        } else {
            reply(proxy, begin, known->second.attempt == begin.attempt() ? wire::GRANTED : wire::IN_PROGRESS);
        }
    }

    template<class Request>
    void reply(const std::string &proxy, const Request &request, wire::IntentState state, const wire::StatementAnswer &answer = {})
    {
        wire::Envelope message;
        message.mutable_intent_reply()->set_correlation(request.correlation());
        message.mutable_intent_reply()->set_incarnation(request.incarnation());
        message.mutable_intent_reply()->set_state(state);
        *message.mutable_intent_reply()->mutable_answer() = answer;
        send(proxy, std::move(message));
    }
};

} // namespace waxwing
