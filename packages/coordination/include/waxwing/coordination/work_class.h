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

/// Whether a statement takes many times longer than the median of its service.
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
    std::size_t maxFingerprints = 1024; ///< maximum number of fingerprints; the least recently used one is dropped
    double longFactor = 10.0; ///< multiple of the median of the service above which a statement is long
    Duration longFloor = 10ms; ///< minimum cost of a long statement
    double quantile = 0.5; ///< quantile of the recent costs of a fingerprint that serves as the prediction
    std::size_t minSamples = 3; ///< number of costs after which the hint of the caller is ignored
    Duration initialCost = 2ms; ///< predicted as long as no cost of the service is known
};

/// @brief Predicts the cost of the statements of a service from recent costs of statements with the same fingerprint.
class WorkClassifier
{
public:
    explicit WorkClassifier(WorkClassifierOptions options = {});

    /// @brief Records the cost of a statement that finished.
    /// @param fingerprint hash of the fingerprint of the statement
    /// @param cost time for which it occupied its slot
    void observe(std::uint64_t fingerprint, Duration cost);

    /// @brief Records that a statement is still running after @p elapsed, so that others with its fingerprint count as long
    /// before it ends.
    void observeRunning(std::uint64_t fingerprint, Duration elapsed);

    /// @brief Predicts the cost of a statement.
    /// @param hint class stated by the caller; used only until there are enough samples of the fingerprint
    Duration predictedCost(std::uint64_t fingerprint, std::optional<WorkClass> hint = std::nullopt);

    /// @brief Predicts the class of a statement.
    WorkClass classify(std::uint64_t fingerprint, std::optional<WorkClass> hint = std::nullopt);

    /// @brief Cost above which a statement is long. A running statement that exceeds it is reclassified.
    Duration longThreshold() const;

    /// @brief Median of the recent costs of the service.
    Duration median() const;

    /// @brief Number of known fingerprints.
    std::size_t size() const;

private:
    // Size of the ring buffer of recent costs. It is large enough that the quantile varies little between statements.
    static constexpr std::size_t maxSamples = 64;
    // If the quantile of the latest costs differs from that of the whole ring buffer by more than changeFactor, it is used
    // instead. A change of cost thus takes effect after half of these samples.
    static constexpr std::size_t latestSamples = 8;
    static constexpr double changeFactor = 2.0;
    static constexpr std::size_t maxServiceSamples = 129;

    struct History
    {
        std::uint64_t fingerprint;
        std::array<float, maxSamples> milliseconds;
        std::uint8_t count = 0;
        std::uint8_t next = 0;
    };
    using Histories = std::list<History>;

    History *find(std::uint64_t fingerprint);
    History &findOrCreate(std::uint64_t fingerprint);
    Duration quantileOf(const History &history) const;
    float quantileOfLatest(const History &history, std::size_t count) const;

    WorkClassifierOptions m_options;
    Histories m_histories; ///< most recently used first
    std::unordered_map<std::uint64_t, Histories::iterator> m_index;
    std::vector<float> m_serviceMilliseconds;
    std::size_t m_serviceNext = 0;
    std::size_t m_sinceMedian = 0;
    Duration m_median;
};

} // namespace waxwing
