#include <waxwing/state/intent_machine.h>
#include <waxwing/state/message_bytes.h>
#include <waxwing/support/identifier.h>

#include <algorithm>
#include <cctype>

namespace waxwing
{

namespace
{

/// Estimated memory of a record in addition to its own bytes: map node, message objects, string headers.
constexpr std::size_t recordOverheadBytes = 400;

/// Largest number of expired records that one command drops; bounds the duration of a command.
constexpr int maxDropsPerCommand = 64;

std::size_t recordSize(const wire::IntentRecord &record)
{
    return record.ByteSizeLong() + record.key().size() + record.service().size() + recordOverheadBytes;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

wire::IntentResult makeResult(wire::IntentState state)
{
    wire::IntentResult result;
    result.set_state(state);
    return result;
}

} // namespace

IntentMachine::IntentMachine()
    : IntentMachine(Options {})
{
}

IntentMachine::IntentMachine(const Options &options)
    : m_options(options)
{
}

std::vector<std::byte> IntentMachine::apply(std::uint64_t /*index*/, std::span<const std::byte> command)
{
    wire::IntentCommand decoded;
    if (!decodeMessage(command, decoded)) {
        return encodeMessage(makeResult(wire::UNAVAILABLE));
    }
    return encodeMessage(applyCommand(decoded));
}

wire::IntentResult IntentMachine::applyCommand(const wire::IntentCommand &command)
{
    m_clockMs = std::max(m_clockMs, command.now_ms());
    dropExpired();
    switch (command.body_case()) {
    case wire::IntentCommand::kBegin:
        return begin(command);
    case wire::IntentCommand::kFinish:
        return finish(command.finish());
    case wire::IntentCommand::kRelease:
        return release(command.release());
    case wire::IntentCommand::BODY_NOT_SET:
        break;
    }
    return makeResult(wire::UNAVAILABLE);
}

wire::IntentResult IntentMachine::begin(const wire::IntentCommand &command)
{
    const auto &request = command.begin();
    const RecordKey key {lowerCase(request.key()), request.service()};
    const auto keyTime = uuid7Time(key.first);
    // A key with a time in the future would be kept for longer than the retention window.
    if (!keyTime || *keyTime + m_options.retentionMs < m_clockMs || *keyTime > m_clockMs + m_options.clockToleranceMs) {
        return makeResult(wire::EXPIRED);
    }
    const auto known = m_records.find(key);
    if (known == m_records.end()) {
        wire::IntentRecord record;
        record.set_key(key.first);
        record.set_service(key.second);
        record.set_statement_hash(request.statement_hash());
        record.set_proxy(request.proxy());
        record.set_incarnation(request.incarnation());
        record.set_attempt(request.attempt());
        const auto size = recordSize(record);
        if (m_records.size() >= m_options.maxRecords || m_bytes + size > m_options.maxBytes) {
            return makeResult(wire::FULL);
        }
        m_bytes += size;
        m_records.emplace(key, std::move(record));
        return makeResult(wire::GRANTED);
    }
    auto &record = known->second;
    if (record.statement_hash() != request.statement_hash()) {
        return makeResult(wire::CONFLICT);
    }
    if (record.phase() == wire::COMPLETED) {
        auto result = makeResult(wire::FINISHED);
        *result.mutable_answer() = record.answer();
        return result;
    }
    if (record.phase() == wire::STARTED && record.proxy() == command.ended_proxy() && record.incarnation() == command.ended_incarnation()) {
        m_bytes -= recordSize(record);
        record.set_phase(wire::ABANDONED);
        m_bytes += recordSize(record);
    }
    if (record.phase() == wire::ABANDONED) {
        return makeResult(wire::NOT_REPEATED);
    }
    if (record.proxy() == request.proxy() && record.incarnation() == request.incarnation() && record.attempt() == request.attempt()) {
        return makeResult(wire::GRANTED); // the same attempt, sent again after a lost reply
    }
    auto result = makeResult(wire::IN_PROGRESS);
    result.set_holder_proxy(record.proxy());
    result.set_holder_incarnation(record.incarnation());
    return result;
}

wire::IntentResult IntentMachine::finish(const wire::IntentFinish &command)
{
    const auto known = m_records.find({lowerCase(command.key()), command.service()});
    if (known == m_records.end()) {
        return makeResult(wire::EXPIRED);
    }
    auto &record = known->second;
    if (record.proxy() != command.proxy() || record.incarnation() != command.incarnation() || record.attempt() != command.attempt()) {
        return makeResult(wire::CONFLICT);
    }
    // The result of an abandoned attempt may still arrive; retries then get it instead of "not repeated".
    if (record.phase() != wire::COMPLETED) {
        m_bytes -= recordSize(record);
        record.set_phase(wire::COMPLETED);
        *record.mutable_answer() = command.answer();
        // The statement has run, so the answer is recorded even when the bound on memory is reached; new keys are
        // refused until records expire.
        m_bytes += recordSize(record);
    }
    return makeResult(wire::RECORDED);
}

wire::IntentResult IntentMachine::release(const wire::IntentRelease &command)
{
    const auto known = m_records.find({lowerCase(command.key()), command.service()});
    if (known == m_records.end()) {
        return makeResult(wire::RECORDED); // released before, or expired
    }
    const auto &record = known->second;
    if (record.proxy() != command.proxy() || record.incarnation() != command.incarnation() || record.attempt() != command.attempt()
        || record.phase() == wire::COMPLETED) {
        return makeResult(wire::CONFLICT);
    }
    m_bytes -= recordSize(record);
    m_records.erase(known);
    return makeResult(wire::RECORDED);
}

void IntentMachine::dropExpired()
{
    for (int drops = 0; drops < maxDropsPerCommand && !m_records.empty(); ++drops) {
        const auto oldest = m_records.begin();
        const auto keyTime = uuid7Time(oldest->first.first);
        if (keyTime && *keyTime + m_options.retentionMs + m_options.clockToleranceMs >= m_clockMs) {
            return;
        }
        m_bytes -= recordSize(oldest->second);
        m_records.erase(oldest);
    }
}

std::vector<std::byte> IntentMachine::snapshot() const
{
    wire::IntentSnapshot content;
    content.set_clock_ms(m_clockMs);
    for (const auto &[key, record] : m_records) {
        *content.add_records() = record;
    }
    return encodeMessage(content);
}

bool IntentMachine::restore(std::span<const std::byte> bytes)
{
    wire::IntentSnapshot content;
    if (!decodeMessage(bytes, content)) {
        return false;
    }
    m_clockMs = content.clock_ms();
    m_bytes = 0;
    m_records.clear();
    for (const auto &record : content.records()) {
        m_bytes += recordSize(record);
        m_records.emplace(RecordKey {record.key(), record.service()}, record);
    }
    return true;
}

} // namespace waxwing
