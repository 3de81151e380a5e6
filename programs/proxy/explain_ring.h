#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing
{

/// @brief Decisions taken for the latest requests, for `GET /v1/explain/{request-id}`.
class ExplainRing
{
public:
    /// @brief Creates an empty ring.
    /// @param capacity requests kept; 0 keeps none
    explicit ExplainRing(std::size_t capacity);

    /// @brief Starts the record of a request; the oldest one is dropped.
    void start(const std::string &requestId, TimePoint now);

    /// @brief Adds a decision to the record of a request, if there is one.
    /// @param step fixed text
    /// @param detail variable part
    void add(const std::string &requestId, const char *step, std::string_view detail, TimePoint now);

    /// @brief Encodes the record of a request as JSON.
    /// @return nothing if the request is not known any more
    std::optional<std::string> explain(const std::string &requestId) const;

private:
    struct Step
    {
        TimePoint at;
        const char *step;
        std::string detail;
    };
    struct Record
    {
        std::string requestId;
        TimePoint start;
        std::vector<Step> steps;
    };

    std::vector<Record> m_records;
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace waxwing
