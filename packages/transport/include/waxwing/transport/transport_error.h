#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace waxwing
{

/// Errors of the transport layer.
enum class TransportError {
    BadAddress = 1, ///< not of the form IP:port
    ListenFailed,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    BodyTooLarge,
    MalformedMessage,
    KeyFileUnreadable,
    KeyFileExposed, ///< group or others may read or write the key file
    KeyFileMalformed,
};

/// @brief Category of TransportError.
const std::error_category &transportCategory();

std::error_code make_error_code(TransportError error);

/// Value or a transport error.
template<class Value>
using TransportResult = boost::outcome_v2::std_result<Value>;

} // namespace waxwing

template<>
struct std::is_error_code_enum<waxwing::TransportError> : std::true_type
{
};
