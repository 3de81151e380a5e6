#include <waxwing/coordination/work_class.h>
#include <waxwing/support/invariant.h>

#include <algorithm>
#include <cmath>

namespace waxwing
{

namespace
{

// Number of samples between updates of the median of the service, which changes too slowly to compute it for each one.
constexpr std::size_t medianInterval = 8;

float toFloatMilliseconds(Duration duration)
{
    return std::chrono::duration<float, std::milli>(duration).count();
}

Duration fromFloatMilliseconds(float milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<float, std::milli>(milliseconds));
}

} // namespace

std::optional<WorkClass> workClassFromCode(std::string_view code)
{
    if (code == "short") {
        return WorkClass::Short;
    }
    if (code == "long") {
        return WorkClass::Long;
    }
    return std::nullopt;
}

std::string_view code(WorkClass workClass)
{
    return workClass == WorkClass::Long ? "long" : "short";
}

WorkClassifier::WorkClassifier(WorkClassifierOptions options)
    : m_options(options)
    , m_median(options.initialCost)
{
    m_options.maxFingerprints = std::max<std::size_t>(m_options.maxFingerprints, 1);
}

WorkClassifier::History *WorkClassifier::find(std::uint64_t fingerprint)
{
    const auto found = m_index.find(fingerprint);
    if (found == m_index.end()) {
        return nullptr;
    }
    m_histories.splice(m_histories.begin(), m_histories, found->second);
    return &m_histories.front();
}

WorkClassifier::History &WorkClassifier::findOrCreate(std::uint64_t fingerprint)
{
    if (auto *history = find(fingerprint)) {
        return *history;
    }
    if (m_histories.size() >= m_options.maxFingerprints) {
        m_index.erase(m_histories.back().fingerprint);
        m_histories.pop_back();
    }
    m_histories.push_front({.fingerprint = fingerprint, .milliseconds = {}});
    m_index.emplace(fingerprint, m_histories.begin());
    WAXWING_INVARIANT(m_index.size() == m_histories.size() && m_index.size() <= m_options.maxFingerprints, "fingerprints-bounded");
    return m_histories.front();
}

void WorkClassifier::observe(std::uint64_t fingerprint, Duration cost)
{
    const auto milliseconds = toFloatMilliseconds(std::max<Duration>(cost, 1us));
    auto &history = findOrCreate(fingerprint);
    history.milliseconds[history.next] = milliseconds;
    history.next = static_cast<std::uint8_t>((history.next + 1) % maxSamples);
    history.count = static_cast<std::uint8_t>(std::min<std::size_t>(history.count + 1U, maxSamples));

    if (m_serviceMilliseconds.size() < maxServiceSamples) {
        m_serviceMilliseconds.push_back(milliseconds);
    } else {
        m_serviceMilliseconds[m_serviceNext] = milliseconds;
        m_serviceNext = (m_serviceNext + 1) % maxServiceSamples;
    }
    if (++m_sinceMedian >= medianInterval || m_serviceMilliseconds.size() < medianInterval) {
        m_sinceMedian = 0;
        auto samples = m_serviceMilliseconds;
        const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
        std::nth_element(samples.begin(), middle, samples.end());
        m_median = fromFloatMilliseconds(*middle);
    }
}

void WorkClassifier::observeRunning(std::uint64_t fingerprint, Duration elapsed)
{
    auto &history = findOrCreate(fingerprint);
    if (history.count < m_options.minSamples) {
        history.milliseconds[history.next] = toFloatMilliseconds(elapsed);
        history.next = static_cast<std::uint8_t>((history.next + 1) % maxSamples);
        ++history.count;
    }
}

float WorkClassifier::quantileOfLatest(const History &history, std::size_t count) const
{
    std::array<float, maxSamples> samples {};
    for (std::size_t i = 0; i < count; ++i) {
        samples[i] = history.milliseconds[(history.next + maxSamples - 1 - i) % maxSamples];
    }
    const auto rank = std::min(count - 1, static_cast<std::size_t>(std::floor(m_options.quantile * static_cast<double>(count))));
    const auto rankIterator = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), rankIterator, samples.begin() + static_cast<std::ptrdiff_t>(count));
    return *rankIterator;
}

Duration WorkClassifier::quantileOf(const History &history) const
{
    const auto count = std::max<std::size_t>(history.count, 1);
    const float all = quantileOfLatest(history, count);
    const float latest = quantileOfLatest(history, std::min(count, latestSamples));
    const bool hasChanged = latest > changeFactor * all || all > changeFactor * latest;
    return fromFloatMilliseconds(hasChanged ? latest : all);
}

Duration WorkClassifier::predictedCost(std::uint64_t fingerprint, std::optional<WorkClass> hint)
{
    const auto *history = find(fingerprint);
    if (history != nullptr && history->count >= m_options.minSamples) {
        return quantileOf(*history);
    }
    if (hint == WorkClass::Long) {
        return longThreshold();
    }
    if (hint == WorkClass::Short) {
        return m_median;
    }
    return history != nullptr && history->count > 0 ? quantileOf(*history) : m_median;
}

WorkClass WorkClassifier::classify(std::uint64_t fingerprint, std::optional<WorkClass> hint)
{
    const auto *history = find(fingerprint);
    if (hint && (history == nullptr || history->count < m_options.minSamples)) {
        return *hint;
    }
    return predictedCost(fingerprint) > longThreshold() ? WorkClass::Long : WorkClass::Short;
}

Duration WorkClassifier::longThreshold() const
{
    const auto relative = std::chrono::duration_cast<Duration>(m_median * m_options.longFactor);
    return std::max(relative, m_options.longFloor);
}

Duration WorkClassifier::median() const
{
    return m_median;
}

std::size_t WorkClassifier::size() const
{
    return m_histories.size();
}

} // namespace waxwing
