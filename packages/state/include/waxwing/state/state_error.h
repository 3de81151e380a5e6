#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <system_error>
#include <utility>

namespace waxwing
{

/// @brief Errors of the files that hold durable state.
enum class StateErrorCode {
    Input = 1, ///< a file could not be opened or read
    Output, ///< a write, truncation, rename or removal failed
    DiskFull, ///< no space is left
    SyncFailed, ///< fsync failed; what the file holds is unknown until it is read again
    Corrupt, ///< stored data fails its checksum or is inconsistent
};

/// @brief Category of StateErrorCode.
const std::error_category &stateErrorCategory();

/// @brief Makes a standard error code.
std::error_code make_error_code(StateErrorCode code);

/// @brief Error with the file, the offset and the system's reason.
struct StateError
{
    StateErrorCode code = StateErrorCode::Input;
    std::string message; ///< one sentence that names the file and, for corruption, the offset
};

/// @brief Value or StateError.
template<class Value>
using StateResult = boost::outcome_v2::basic_result<Value, StateError, boost::outcome_v2::policy::all_narrow>;

/// @brief Makes an error from an errno value.
/// @param code kind of error
/// @param action what failed, e.g. `append`
/// @param path file
/// @param systemError errno
StateError makeStateError(StateErrorCode code, const std::string &action, const std::string &path, int systemError);

} // namespace waxwing

template<>
struct std::is_error_code_enum<waxwing::StateErrorCode> : std::true_type
{
};
