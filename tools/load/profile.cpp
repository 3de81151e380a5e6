#include "profile.h"

#include "load_options.h"

namespace waxwing::load
{

std::vector<OperationClass> profileClasses(std::string_view profile)
{
    if (profile == "hemming-orders") {
        return {{.name = "order-status", .share = 0.45, .costMilliseconds = 2},
                {.name = "catalogue", .share = 0.20, .freshness = "max_age", .maxAgeMilliseconds = 2000, .costMilliseconds = 2},
                {.name = "stock-view", .share = 0.15, .freshness = "any", .costMilliseconds = 2},
                {.name = "hemming-order", .share = 0.10, .isWrite = true, .costMilliseconds = 4, .mustNotRepeat = true},
                {.name = "measurement", .share = 0.10, .isWrite = true, .costMilliseconds = 3}};
    }
    if (profile == "petal-ledger") {
        return {{.name = "lot-enquiry", .share = 0.45, .costMilliseconds = 2},
                {.name = "rack-space", .share = 0.20, .freshness = "max_age", .maxAgeMilliseconds = 1000, .costMilliseconds = 2},
                {.name = "lot-history", .share = 0.15, .freshness = "any", .costMilliseconds = 2},
                {.name = "batch-order", .share = 0.10, .isWrite = true, .weight = 2, .costMilliseconds = 4, .mustNotRepeat = true},
                {.name = "dispatch-note", .share = 0.10, .isWrite = true, .weight = 2, .costMilliseconds = 3, .mustNotRepeat = true}};
    }
    return {};
}

std::vector<OperationClass> runClasses(const LoadOptions &options)
{
    auto classes = profileClasses(options.profile);
    double meanCost = 0;
    for (auto &operation : classes) {
        operation.costMilliseconds *= options.costFactor;
        operation.mustNotRepeat = operation.mustNotRepeat && options.keyed != 0;
        meanCost += operation.share * operation.costMilliseconds;
        operation.share *= 1 - options.stragglerShare - options.transactionShare;
    }
    if (options.stragglerShare > 0) {
        classes.push_back({.name = options.profile == "hemming-orders" ? "bulk-report" : "drying-cycle",
                           .share = options.stragglerShare,
                           .freshness = "any",
                           .costMilliseconds = meanCost * options.stragglerFactor,
                           .isLong = true});
    }
    if (options.transactionShare > 0) {
        classes.push_back({.name = "transfer", .share = options.transactionShare, .isWrite = true, .costMilliseconds = meanCost, .isTransaction = true});
    }
    return classes;
}

} // namespace waxwing::load
