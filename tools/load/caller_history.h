#pragma once

#include "answer.h"
#include "operation.h"

#include <cstdio>
#include <memory>
#include <string>

namespace waxwing::load
{

/// @brief History of what the callers asked and were told: a file of JSON lines for the checker.
class CallerHistory
{
public:
    /// @brief Opens the file; nothing is written if @p path is empty.
    /// @param run identifies the run, part of session names
    CallerHistory(const std::string &path, std::string run);

    /// @brief Writes one attempt of one step.
    /// @param sent when the request was sent
    void record(const Operation &operation, const Answer &answer, TimePoint sent);

private:
    struct Close
    {
        void operator()(std::FILE *file) const
        {
            std::fclose(file);
        }
    };

    std::string m_run;
    std::unique_ptr<std::FILE, Close> m_file;
};

/// @brief Name of a kind of step in the history.
std::string_view stepName(Step::Kind kind);

} // namespace waxwing::load
