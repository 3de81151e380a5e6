#include <waxwing/state/state_error.h>

#include <cerrno>

namespace waxwing
{

namespace
{

class StateErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "waxwing.state";
    }

    std::string message(int value) const override
    {
        switch (static_cast<StateErrorCode>(value)) {
        case StateErrorCode::Input:
            return "a file could not be read";
        case StateErrorCode::Output:
            return "a file could not be written";
        case StateErrorCode::DiskFull:
            return "the disk is full";
        case StateErrorCode::SyncFailed:
            return "fsync failed";
        case StateErrorCode::Corrupt:
            return "stored data is corrupt";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &stateErrorCategory()
{
    static const StateErrorCategory category;
    return category;
}

std::error_code make_error_code(StateErrorCode code)
{
    return {static_cast<int>(code), stateErrorCategory()};
}

StateError makeStateError(StateErrorCode code, const std::string &action, const std::string &path, int systemError)
{
    if (systemError == ENOSPC || systemError == EDQUOT) {
        code = StateErrorCode::DiskFull;
    }
    return {code, path + ": " + action + " failed: " + std::system_category().message(systemError)};
}

} // namespace waxwing
