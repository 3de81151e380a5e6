#include "checker.h"

#include <algorithm>
#include <set>

namespace waxwing::load
{

namespace
{

std::string place(std::uint64_t term, std::uint64_t position)
{
    return "term " + std::to_string(term) + " position " + std::to_string(position);
}

// The part of a value that names the operation which wrote it: KEY:RUN:OPERATION.
std::string operationOf(const std::string &value)
{
    const auto colon = value.find(':');
    return colon == std::string::npos ? value : value.substr(colon + 1);
}

bool isDone(const CallerRecord &record)
{
    return record.outcome == "done";
}

bool isPlainRead(const CallerRecord &record)
{
    return !record.isWrite && record.step == "statement";
}

} // namespace

void Checker::add(const std::vector<DatabaseEvent> &events)
{
    for (const auto &event : events) {
        m_truths[event.group].add(event);
    }
}

void Checker::add(const std::vector<CallerRecord> &records)
{
    m_records.insert(m_records.end(), records.begin(), records.end());
}

void Checker::run()
{
    std::map<std::string, Records> operations;
    std::map<std::string, Records> sessions;
    for (auto &[group, truth] : m_truths) {
        truth.finish();
        for (const auto &problem : truth.problems()) {
            m_violations[problem.substr(0, problem.find(':'))].push_back(problem);
        }
        checkAppliedTransactions(truth);
        checkRepeats(truth);
    }
    for (const auto &record : m_records) {
        const auto &truth = m_truths[record.service];
        operations[record.operation].push_back(&record);
        sessions[record.session + " " + record.service].push_back(&record);
        if (isPlainRead(record)) {
            checkRead(record, truth);
        } else if (record.step == "statement") {
            checkWrite(record, truth);
        }
        if (record.status != 0 && record.outcome != "done" && record.outcome != "failed" && record.outcome != "not-run" && record.outcome != "unknown") {
            violate("complete-answers", record, "response without an outcome, HTTP status " + std::to_string(record.status));
        }
    }
    for (const auto &[name, steps] : operations) {
        const auto &truth = m_truths[steps.front()->service];
        if (steps.front()->step == "begin") {
            checkTransactionOperation(steps, truth);
        } else if (steps.front()->isWrite) {
            checkStatementOperation(steps, truth);
        }
    }
    for (auto &[name, records] : sessions) {
        std::stable_sort(records.begin(), records.end(), [](const auto *left, const auto *right) { return left->received < right->received; });
        checkSession(records);
    }
}

void Checker::checkRead(const CallerRecord &record, const GroupTruth &truth)
{
    if (!isDone(record) || record.isScan) {
        return;
    }
    ++m_checked["complete-answers"];
    const auto expected = truth.value(record.term, record.position, record.key);
    if (record.result != expected) {
        violate("complete-answers", record,
                "read of " + record.key + " at " + place(record.term, record.position) + " got \"" + record.result + "\" instead of \"" + expected + "\"");
    }
    if (record.freshness == "max_age") {
        checkAge(record, truth);
    }
}

void Checker::checkAge(const CallerRecord &record, const GroupTruth &truth)
{
    ++m_checked["stated-age"];
    const auto evaluated = truth.evaluatedAt(record.servedBy, record.key, record.position, record.sent, record.received).value_or(record.sent);
    const auto *missing = truth.at(truth.lastTerm(), truth.agreement(record.term, record.position) + 1);
    if (missing != nullptr && missing->time < evaluated - record.maxAge) {
        violate("stated-age", record,
                "read of " + record.key + " at " + record.servedBy + " lacks a write that is " + std::to_string(evaluated - missing->time)
                    + " us old; the limit is " + std::to_string(record.maxAge) + " us");
    }
}

void Checker::checkWrite(const CallerRecord &record, const GroupTruth &truth)
{
    if (!isDone(record)) {
        return;
    }
    ++m_checked["acknowledged-lost"];
    const auto &applied = truth.written(record.value);
    if (applied.empty()) {
        violate("acknowledged-lost", record, "acknowledged write of " + record.value + " was never applied");
        return;
    }
    const auto &write = *applied.front();
    if (write.term != record.term || write.position != record.position) {
        violate("complete-answers", record,
                "write of " + record.value + " is answered with " + place(record.term, record.position) + " but was applied at "
                    + place(write.term, write.position));
    }
    if (const auto replaced = truth.replacedAt(write.term); replaced && *replaced < write.time) {
        violate("fencing", record, "acknowledged write of " + record.value + " was applied by term " + std::to_string(write.term) + " after its replacement");
    }
    if (m_majority && !truth.contains(truth.lastTerm(), write)) {
        violate("acknowledged-lost", record, "acknowledged write of " + record.value + " at " + place(write.term, write.position) + " is not in the last term");
    }
}

void Checker::checkSession(const Records &records)
{
    std::vector<const CallerRecord *> writes;
    for (const auto *record : records) {
        const auto &truth = m_truths[record->service];
        if (record->reason == "session-write-lost") {
            // The session was told; what the promotion discarded is not expected any more.
            std::erase_if(writes, [&truth](const auto *write) {
                const auto *entry = truth.at(write->term, write->position);
                return entry == nullptr || !truth.contains(truth.lastTerm(), *entry);
            });
        }
        const bool acknowledges = record->step == "statement" || record->step == "commit";
        if (record->isWrite && acknowledges && isDone(*record)) {
            writes.push_back(record);
        }
        if (!isPlainRead(*record) || !isDone(*record) || record->freshness != "session") {
            continue;
        }
        for (const auto *write : writes) {
            if (write->received > record->sent) {
                continue;
            }
            ++m_checked["read-your-writes"];
            const auto *entry = truth.at(write->term, write->position);
            const bool isSeen = entry != nullptr && truth.contains(record->term, *entry) && entry->position <= record->position;
            if (!isSeen) {
                violate("read-your-writes", *record,
                        "read at " + place(record->term, record->position) + " misses the session's write at " + place(write->term, write->position));
            }
        }
    }
}

void Checker::checkStatementOperation(const Records &attempts, const GroupTruth &truth)
{
    const bool isAllNotRun = std::all_of(attempts.begin(), attempts.end(), [](const auto *attempt) { return attempt->outcome == "not-run"; });
    if (!isAllNotRun) {
        return;
    }
    ++m_checked["not-run"];
    if (!truth.written(attempts.front()->value).empty()) {
        violate("not-run", *attempts.back(), "write of " + attempts.front()->value + " ran although it was refused with " + attempts.back()->reason);
    }
}

void Checker::checkTransactionOperation(const Records &steps, const GroupTruth &truth)
{
    std::set<std::string> values;
    std::size_t applied = 0;
    for (const auto *step : steps) {
        if (step->step == "transaction-statement") {
            const bool isApplied = !truth.written(step->value).empty();
            applied += isApplied ? 1 : 0;
            values.insert(step->value);
            if (step->outcome == "not-run" && isApplied) {
                violate("not-run", *step, "statement of a transaction ran although it was refused with " + step->reason);
            }
        }
    }
    const auto &last = *steps.back();
    // Only those that reached their end count as checked: others would hide that none did.
    m_checked["transactions"] += last.step == "commit" || last.step == "rollback" ? 1 : 0;
    const bool mayBeApplied = last.step == "commit" && last.outcome != "not-run";
    if (applied > 0 && !mayBeApplied) {
        violate("transactions", last, "writes of a transaction that ended with " + last.step + " " + last.outcome + " were applied");
    }
    if (applied != 0 && applied != values.size()) {
        violate("transactions", last, std::to_string(applied) + " of " + std::to_string(values.size()) + " writes of a transaction were applied");
    }
    if (last.step == "commit" && isDone(last) && applied == 0) {
        violate("transactions", last, "no write of a committed transaction was applied");
    }
}

void Checker::checkAppliedTransactions(const GroupTruth &truth)
{
    std::map<std::string, std::string> operations; // By transaction.
    for (const auto &write : truth.applied()) {
        if (write.transaction == 0) {
            continue;
        }
        const auto name = write.database + " term " + std::to_string(write.term) + " transaction " + std::to_string(write.transaction);
        const auto operation = operationOf(write.written);
        const auto &first = operations.try_emplace(name, operation).first->second;
        if (first != operation) {
            m_violations["transactions"].push_back(name + " holds writes of " + first + " and of " + operation);
        }
    }
}

void Checker::checkRepeats(const GroupTruth &truth)
{
    std::map<std::string_view, const DatabaseEvent *> first;
    for (const auto &write : truth.applied()) {
        ++m_checked["at-most-once"];
        const auto [entry, isNew] = first.emplace(write.written, &write);
        if (!isNew) {
            m_violations["at-most-once"].push_back("write of " + write.written + " ran at " + place(entry->second->term, entry->second->position) + " and at "
                                                   + place(write.term, write.position));
        }
    }
}

void Checker::violate(const std::string &check, const CallerRecord &record, const std::string &text)
{
    m_violations[check].push_back(text + " (operation " + record.operation + ", sent at " + std::to_string(record.sent) + ")");
}

std::map<std::string, std::uint64_t> Checker::rejections() const
{
    std::map<std::string, std::uint64_t> sum;
    for (const auto &[group, truth] : m_truths) {
        for (const auto &[reason, count] : truth.rejections()) {
            sum[reason] += count;
        }
    }
    return sum;
}

} // namespace waxwing::load
