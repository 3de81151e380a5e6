#include <waxwing/state/outcome.h>

namespace waxwing
{

Outcome::Outcome(Value value)
    : m_value(value)
{
}

Outcome Outcome::done()
{
    return Outcome(Ran {.failed = false});
}

Outcome Outcome::failed()
{
    return Outcome(Ran {.failed = true});
}

Outcome Outcome::notRun(RefusalReason reason)
{
    return Outcome(reason);
}

Outcome Outcome::unknown(UnknownReason reason)
{
    return Outcome(reason);
}

std::optional<Outcome> Outcome::fromCodes(std::string_view outcome, std::string_view reason)
{
    if (outcome == "done") {
        return done();
    }
    if (outcome == "failed") {
        return failed();
    }
    if (outcome == "not-run") {
        if (const auto refusal = refusalReasonFromCode(reason)) {
            return notRun(*refusal);
        }
    }
    if (outcome == "unknown") {
        if (const auto uncertainty = unknownReasonFromCode(reason)) {
            return unknown(*uncertainty);
        }
    }
    return std::nullopt;
}

Outcome::Kind Outcome::kind() const
{
    if (const auto *ran = std::get_if<Ran>(&m_value)) {
        return ran->failed ? Kind::Failed : Kind::Done;
    }
    return std::holds_alternative<RefusalReason>(m_value) ? Kind::NotRun : Kind::Unknown;
}

std::string_view Outcome::outcomeCode() const
{
    switch (kind()) {
    case Kind::Done:
        return "done";
    case Kind::Failed:
        return "failed";
    case Kind::NotRun:
        return "not-run";
    case Kind::Unknown:
        break;
    }
    return "unknown";
}

std::string_view Outcome::reasonCode() const
{
    if (const auto *reason = std::get_if<RefusalReason>(&m_value)) {
        return code(*reason);
    }
    if (const auto *reason = std::get_if<UnknownReason>(&m_value)) {
        return code(*reason);
    }
    return {};
}

std::optional<RefusalReason> Outcome::refusal() const
{
    const auto *reason = std::get_if<RefusalReason>(&m_value);
    return reason != nullptr ? std::optional(*reason) : std::nullopt;
}

std::optional<UnknownReason> Outcome::uncertainty() const
{
    const auto *reason = std::get_if<UnknownReason>(&m_value);
    return reason != nullptr ? std::optional(*reason) : std::nullopt;
}

std::string Outcome::message(std::string_view subject) const
{
    if (const auto *reason = std::get_if<RefusalReason>(&m_value)) {
        return waxwing::message(*reason, subject);
    }
    if (const auto *reason = std::get_if<UnknownReason>(&m_value)) {
        return std::string(waxwing::message(*reason));
    }
    return {};
}

unsigned Outcome::httpStatus() const
{
    switch (kind()) {
    case Kind::Done:
        return 200;
    case Kind::Failed:
        return 422;
    case Kind::NotRun:
        return waxwing::httpStatus(std::get<RefusalReason>(m_value));
    case Kind::Unknown:
        break;
    }
    return 504;
}

} // namespace waxwing
