#pragma once

#include "caller_record.h"
#include "group_truth.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwing::load
{

/// @brief Compares what callers were told with what the databases did.
///
/// The checks, by the name that a violation carries: `read-your-writes`, `stated-age`, `at-most-once`, `not-run`, `fencing`,
/// `acknowledged-lost`, `transactions`, `complete-answers`, `leaving`.
class Checker
{
public:
    /// @brief Starts without records.
    /// @param majority whether acknowledged writes must survive every failover
    explicit Checker(bool majority)
        : m_majority(majority)
    {
    }

    /// @brief Adds the true events of a database.
    void add(const std::vector<DatabaseEvent> &events);

    /// @brief Adds the records of callers.
    void add(const std::vector<CallerRecord> &records);

    /// @brief Runs all checks.
    void run();

    /// @brief Violations by name of the check, one sentence each.
    const std::map<std::string, std::vector<std::string>> &violations() const
    {
        return m_violations;
    }

    /// @brief Number of records that each check looked at.
    const std::map<std::string, std::uint64_t> &checked() const
    {
        return m_checked;
    }

    /// @brief Rejections by the databases, by reason.
    std::map<std::string, std::uint64_t> rejections() const;

private:
    using Records = std::vector<const CallerRecord *>;

    void checkRead(const CallerRecord &record, const GroupTruth &truth);
    void checkAge(const CallerRecord &record, const GroupTruth &truth);
    void checkWrite(const CallerRecord &record, const GroupTruth &truth);
    void checkSession(const Records &records);
    void checkStatementOperation(const Records &attempts, const GroupTruth &truth);
    void checkTransactionOperation(const Records &steps, const GroupTruth &truth);
    void checkAppliedTransactions(const GroupTruth &truth);
    void checkRepeats(const GroupTruth &truth);
    void violate(const std::string &check, const CallerRecord &record, const std::string &text);

    bool m_majority;
    std::vector<CallerRecord> m_records;
    std::map<std::string, GroupTruth> m_truths; // By group, which has the name of its service.
    std::map<std::string, std::vector<std::string>> m_violations;
    std::map<std::string, std::uint64_t> m_checked;
};

} // namespace waxwing::load
