#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace waxwing::load
{

/// @brief One class of operations of a profile.
struct OperationClass
{
    std::string name; ///< field `operation` of the statement
    double share = 0; ///< share of the arrivals
    bool isWrite = false;
    std::string freshness = "session"; ///< mode of a read
    unsigned maxAgeMilliseconds = 0;
    double weight = 1; ///< value of an answer on time
    double costMilliseconds = 1; ///< time on the database
    bool mustNotRepeat = false;
    bool isLong = false; ///< a straggler
    bool isTransaction = false;
};

/// @brief Classes of a profile without stragglers and transactions; 80% of the arrivals are reads.
/// @param profile `hemming-orders` or `petal-ledger`
/// @return the classes, empty for an unknown profile
std::vector<OperationClass> profileClasses(std::string_view profile);

struct LoadOptions;

/// @brief Classes of a run: those of the profile, with the stragglers and transactions that the options ask for.
std::vector<OperationClass> runClasses(const LoadOptions &options);

} // namespace waxwing::load
