#pragma once

#include <waxwing/state/refusal_reason.h>
#include <waxwing/state/unknown_reason.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace waxwing
{

/// @brief The one outcome of a statement.
///
/// A refusal reason can only be given with `not-run` and an unknown reason only with `unknown`, so that a statement
/// that may have run is never reported as `not-run`.
class Outcome
{
public:
    enum class Kind {
        Done, ///< ran, response complete
        Failed, ///< ran, the database reported an error
        NotRun, ///< did not run
        Unknown, ///< may have run
    };

    /// @brief Outcome of a statement that ran.
    static Outcome done();

    /// @brief Outcome of a statement that ran and for which the database reported an error.
    static Outcome failed();

    /// @brief Outcome of a statement that did not run.
    static Outcome notRun(RefusalReason reason);

    /// @brief Outcome of a statement that may have run.
    static Outcome unknown(UnknownReason reason);

    /// @brief Reads an outcome from its codes, e.g. in a message of another process.
    /// @param outcome `done`, `failed`, `not-run` or `unknown`
    /// @param reason code of the reason; ignored for `done` and `failed`
    /// @return nothing if the codes don't belong together
    static std::optional<Outcome> fromCodes(std::string_view outcome, std::string_view reason);

    /// @brief Which of the four outcomes.
    Kind kind() const;

    /// @brief Code of the outcome in responses, e.g. `not-run`.
    std::string_view outcomeCode() const;

    /// @brief Code of the reason; empty for `done` and `failed`.
    std::string_view reasonCode() const;

    /// @brief Reason of a `not-run`.
    std::optional<RefusalReason> refusal() const;

    /// @brief Reason of an `unknown`.
    std::optional<UnknownReason> uncertainty() const;

    /// @brief Sentence for the caller; empty for `done` and `failed`.
    /// @param subject what the sentence is about, e.g. `group orders`
    std::string message(std::string_view subject = "the group") const;

    /// @brief HTTP status of the response.
    unsigned httpStatus() const;

    bool operator==(const Outcome &other) const = default;

private:
    struct Ran
    {
        bool failed = false;
        bool operator==(const Ran &other) const = default;
    };
    using Value = std::variant<Ran, RefusalReason, UnknownReason>;

    explicit Outcome(Value value);

    Value m_value;
};

} // namespace waxwing
