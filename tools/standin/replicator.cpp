#include "replicator.h"

#include "member.h"

#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace waxwing::standin
{

namespace json = boost::json;

namespace
{

constexpr auto retryDelay = 50ms;
constexpr auto pullInterval = 2ms; // Small against the shortest lag of the profiles, 20 ms.
constexpr auto exchangeTimeout = 2s;
constexpr std::size_t maxEntries = 500;

json::array toJson(const std::vector<TermStart> &terms)
{
    json::array array;
    for (const auto &start : terms) {
        array.push_back(json::array {start.term, start.start});
    }
    return array;
}

std::vector<TermStart> toTerms(const json::value &value)
{
    std::vector<TermStart> terms;
    for (const auto &pair : value.as_array()) {
        terms.push_back({.term = pair.at(0).to_number<std::uint64_t>(), .start = pair.at(1).to_number<std::uint64_t>()});
    }
    return terms;
}

} // namespace

Replicator::Replicator(boost::asio::io_context &context, Member &member)
    : m_context(context)
    , m_member(member)
    , m_random(member.options.seed + 1)
    , m_pullTimer(context)
    , m_applyTimer(context)
{
}

void Replicator::restart()
{
    ++m_generation;
    m_connection.reset();
    m_pending.clear();
    m_primaryTerms.clear();
    m_applyTimer.cancel();
    schedulePull(0ms);
}

std::optional<json::object> Replicator::serve(const Member &member, const json::object &request)
{
    const auto &database = member.database;
    if (database.role() != Role::Primary || request.at("term").to_number<std::uint64_t>() != database.fence()) {
        return json::object {{"outcome", "rejected"}, {"reason", "wrong-term"}};
    }
    const auto position = request.at("position").to_number<std::uint64_t>();
    const auto common = database.commonPosition(toTerms(request.at("runs")), position);
    json::object response {{"outcome", "done"}, {"common", common}, {"terms", toJson(database.terms())}};
    json::array entries;
    if (common == position) {
        for (const auto &entry : database.entriesAfter(position, maxEntries)) {
            entries.push_back(json::array {entry.term, entry.key, entry.value, entry.written, entry.correlation, entry.transaction});
        }
        if (entries.empty() && request.at("known_terms").to_number<std::size_t>() == database.terms().size()) {
            return std::nullopt;
        }
    }
    response["entries"] = std::move(entries);
    return response;
}

void Replicator::schedulePull(Duration delay)
{
    m_pullTimer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
    m_pullTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            pull();
        }
    });
}

void Replicator::pull()
{
    if (m_member.database.role() == Role::Primary || m_member.primary.empty()) {
        return; // Followed again by restart().
    }
    if (m_member.faults.isSet("cut_group") || m_member.faults.isSet("cut_all")) {
        m_connection.reset();
        schedulePull(retryDelay);
        return;
    }
    if (m_connection && m_connection->isOpen()) {
        send();
        return;
    }
    m_connection.emplace(m_context);
    m_connection->connect(m_member.primary, exchangeTimeout, [this](std::error_code error) {
        if (error) {
            schedulePull(retryDelay);
        } else {
            send();
        }
    });
}

void Replicator::send()
{
    auto runs = m_member.database.runs();
    for (const auto &pending : m_pending) {
        if (runs.empty() || runs.back().term != pending.entry.term) {
            runs.push_back({.term = pending.entry.term, .start = pending.entry.position});
        }
    }
    const json::object body {
        {"term", m_member.database.fence()}, {"position", receivedPosition()}, {"runs", toJson(runs)}, {"known_terms", m_primaryTerms.size()}};
    m_connection->exchange({.method = "POST", .target = "/v1/replicate", .body = json::serialize(body)}, exchangeTimeout,
                           [this, generation = m_generation](HttpExchange &&exchange) {
                               if (generation != m_generation) {
                                   return;
                               }
                               boost::system::error_code error;
                               const auto value = json::parse(exchange.response.body, error);
                               if (exchange.error || error || !value.is_object() || m_member.faults.isSet("cut_group")) {
                                   schedulePull(retryDelay);
                                   return;
                               }
                               receive(value.as_object());
                           });
}

void Replicator::receive(const json::object &response)
{
    if (response.at("outcome") != "done") {
        schedulePull(retryDelay);
        return;
    }
    const auto common = response.at("common").to_number<std::uint64_t>();
    if (common < receivedPosition()) {
        m_pending.clear();
        m_primaryTerms.clear();
        if (common < m_member.database.position()) {
            m_member.database.truncate(common);
            m_member.history.record("truncate", {{"position", common}});
        }
        schedulePull(0ms);
        return;
    }
    m_primaryTerms = toTerms(response.at("terms"));
    auto position = receivedPosition();
    const auto lagRange = static_cast<double>((m_member.options.lagHigh - m_member.options.lagLow).count());
    for (const auto &value : response.at("entries").as_array()) {
        const auto &fields = value.as_array();
        LogEntry entry {.position = ++position,
                        .term = fields[0].to_number<std::uint64_t>(),
                        .key = std::string(fields[1].as_string()),
                        .value = std::string(fields[2].as_string()),
                        .written = std::string(fields[3].as_string()),
                        .correlation = std::string(fields[4].as_string()),
                        .transaction = fields[5].to_number<std::uint64_t>()};
        auto due = Clock::now() + m_member.options.lagLow + Duration(static_cast<Duration::rep>(m_random.unit() * lagRange));
        if (!m_pending.empty()) {
            due = std::max(due, m_pending.back().due);
            // The entries of one transaction become visible together.
            due = entry.transaction != 0 && m_pending.back().entry.transaction == entry.transaction ? m_pending.back().due : due;
        }
        m_pending.push_back({.due = due, .entry = std::move(entry)});
    }
    applyDue();
    schedulePull(pullInterval);
}

void Replicator::applyDue()
{
    std::vector<LogEntry> applied;
    const auto now = Clock::now();
    while (!m_pending.empty() && m_pending.front().due <= now) {
        applied.push_back(m_pending.front().entry);
        m_member.database.replicate(std::move(m_pending.front().entry));
        m_pending.pop_front();
    }
    m_member.history.recordEntries("replicate", applied);
    if (!m_primaryTerms.empty() && m_member.database.term() != m_primaryTerms.back().term) {
        m_member.database.adoptTerms(m_primaryTerms);
        if (m_member.database.term() == m_primaryTerms.back().term) {
            m_member.history.recordTerms("synchronized", m_member.database);
            m_member.onChange();
        }
    }
    if (!m_pending.empty()) {
        m_applyTimer.expires_after(m_pending.front().due - Clock::now());
        m_applyTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                applyDue();
            }
        });
    }
}

std::uint64_t Replicator::receivedPosition() const
{
    return m_member.database.position() + m_pending.size();
}

} // namespace waxwing::standin
