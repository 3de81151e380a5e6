#include <waxwing/transport/transport_error.h>

#include <string>

namespace waxwing
{

namespace
{

class TransportCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "transport";
    }

    std::string message(int code) const override
    {
        switch (static_cast<TransportError>(code)) {
        case TransportError::BadAddress:
            return "the address is not of the form IP:port";
        case TransportError::ListenFailed:
            return "can't listen on the address";
        case TransportError::ConnectFailed:
            return "can't connect";
        case TransportError::ConnectionLost:
            return "the connection was lost";
        case TransportError::TimedOut:
            return "the operation timed out";
        case TransportError::BodyTooLarge:
            return "the body is too large";
        case TransportError::MalformedMessage:
            return "the message is malformed";
        case TransportError::KeyFileUnreadable:
            return "can't read the key file";
        case TransportError::KeyFileExposed:
            return "the key file must not be readable or writable by group or others";
        case TransportError::KeyFileMalformed:
            return "the key file must hold a public and a secret key of 40 characters, one a line";
        }
        return "unknown transport error";
    }
};

} // namespace

const std::error_category &transportCategory()
{
    static const TransportCategory category;
    return category;
}

std::error_code make_error_code(TransportError error)
{
    return {static_cast<int>(error), transportCategory()};
}

} // namespace waxwing
