#pragma once

#include <waxwing/support/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing
{

/// Whether a statement is many times longer than the usual one of its service.
enum class WorkClass {
    Short,
    Long,
};

/// @brief Finds the class with a code: `short` or `long`.
std::optional<WorkClass> workClassFromCode(std::string_view code);

/// @brief Code of a class, `short` or `long`.
std::string_view code(WorkClass workClass);

struct WorkClassifierOptions
{
    std::size_t maxFingerprints = 1024; ///< the least recently used one is dropped
    double longFactor = 10.0; ///< a statement is long above this many times the median of the service
    Duration longFloor = 10ms; ///< and above this cost
    double quantile = 0.5; ///< quantile of the recent costs of a fingerprint that predicts the next one
    std::size_t minSamples = 3; ///< costs seen before the hint of the caller is ignored
    Duration initialCost = 2ms; ///< predicted before the service has any cost
};

/// @brief Predicts the cost of statements of one service from the recent costs of their fingerprints.
class WorkClassifier
{
public:
    explicit WorkClassifier(WorkClassifierOptions options = {});

    /// @brief Takes over the cost of a statement that finished.
    /// @param fingerprint hash of the fingerprint of the statement
    /// @param cost time for which it held its slot
    void observe(std::uint64_t fingerprint, Duration cost);

    /// @brief Takes over that a statement is still running after @p elapsed, so that others like it count as long before it ends.
    void observeRunning(std::uint64_t fingerprint, Duration elapsed);

    /// @brief Predicts the cost of a statement.
    /// @param hint class stated by the caller; only used until the fingerprint has been seen often enough
    Duration predictedCost(std::uint64_t fingerprint, std::optional<WorkClass> hint = std::nullopt);

    /// @brief Predicts the class of a statement.
    WorkClass classify(std::uint64_t fingerprint, std::optional<WorkClass> hint = std::nullopt);

    /// @brief Cost above which a statement is long; a running statement is reclassified when it exceeds this.
    Duration longThreshold() const;

    /// @brief Median of the recent costs of the service.
    Duration median() const;

    /// @brief Number of fingerprints kept.
    std::size_t size() const;

private:
    // Recent costs in a ring: an exact moving quantile, long enough that it varies little between statements.
    static constexpr std::size_t samplesKept = 64;
    // A change of cost is followed within half of the latest costs, when their quantile is far from that of the ring.
    static constexpr std::size_t latestSamples = 8;
    static constexpr double changeFactor = 2.0;
    static constexpr std::size_t serviceSamplesKept = 129;

    struct History
    {
        std::uint64_t fingerprint;
        std::array<float, samplesKept> milliseconds;
        std::uint8_t count = 0;
        std::uint8_t next = 0;
    };
    using Histories = std::list<History>;

    History *find(std::uint64_t fingerprint);
    History &findOrCreate(std::uint64_t fingerprint);
    Duration quantileOf(const History &history) const;
    float quantileOfLatest(const History &history, std::size_t count) const;

    WorkClassifierOptions m_options;
    Histories m_histories; // most recently used first
    std::unordered_map<std::uint64_t, Histories::iterator> m_index;
    std::vector<float> m_serviceMilliseconds;
    std::size_t m_serviceNext = 0;
    std::size_t m_sinceMedian = 0;
    Duration m_median;
};

} // namespace waxwing
