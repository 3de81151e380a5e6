#include <waxwing/state/posix_file_system.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

namespace waxwing
{

namespace
{

constexpr std::size_t readBlockBytes = 1U << 20;

StateResult<void> syncDescriptor(int descriptor, const std::string &path)
{
    if (::fsync(descriptor) != 0) {
        return makeStateError(StateErrorCode::SyncFailed, "fsync", path, errno);
    }
    return boost::outcome_v2::success();
}

} // namespace

PosixFile::PosixFile(int descriptor, std::string path)
    : m_descriptor(descriptor)
    , m_path(std::move(path))
{
}

PosixFile::PosixFile(PosixFile &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_path(std::move(other.m_path))
{
}

PosixFile &PosixFile::operator=(PosixFile &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_path, other.m_path);
    return *this;
}

PosixFile::~PosixFile()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

StateResult<void> PosixFile::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0) {
            if (errno == EINTR) {
                continue;
            }
            return makeStateError(StateErrorCode::Output, "append", m_path, errno);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return boost::outcome_v2::success();
}

StateResult<void> PosixFile::sync()
{
    return syncDescriptor(m_descriptor, m_path);
}

StateResult<void> PosixFile::truncate(std::uint64_t size)
{
    if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0) {
        return makeStateError(StateErrorCode::Output, "truncate", m_path, errno);
    }
    return boost::outcome_v2::success();
}

StateResult<PosixFileSystem::File> PosixFileSystem::openAppend(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (descriptor < 0) {
        return makeStateError(StateErrorCode::Output, "open", path, errno);
    }
    return PosixFile(descriptor, path);
}

StateResult<std::string> PosixFileSystem::read(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return makeStateError(StateErrorCode::Input, "open", path, errno);
    }
    std::string content;
    while (true) {
        const auto size = content.size();
        content.resize(size + readBlockBytes);
        const auto count = ::read(descriptor, content.data() + size, readBlockBytes);
        content.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        if (count == 0) {
            break;
        }
        if (count < 0 && errno != EINTR) {
            auto error = makeStateError(StateErrorCode::Input, "read", path, errno);
            ::close(descriptor);
            return error;
        }
    }
    ::close(descriptor);
    return content;
}

bool PosixFileSystem::exists(const std::string &path)
{
    struct stat status;
    return ::stat(path.c_str(), &status) == 0;
}

StateResult<std::vector<std::string>> PosixFileSystem::list(const std::string &path)
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator iterator(path, error), end; !error && iterator != end; iterator.increment(error)) {
        names.push_back(iterator->path().filename().string());
    }
    if (error) {
        return makeStateError(StateErrorCode::Input, "list", path, error.value());
    }
    std::sort(names.begin(), names.end());
    return names;
}

StateResult<void> PosixFileSystem::createFolder(const std::string &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) {
        return makeStateError(StateErrorCode::Output, "create folder", path, error.value());
    }
    return boost::outcome_v2::success();
}

StateResult<void> PosixFileSystem::rename(const std::string &from, const std::string &to)
{
    if (::rename(from.c_str(), to.c_str()) != 0) {
        return makeStateError(StateErrorCode::Output, "rename", from, errno);
    }
    return boost::outcome_v2::success();
}

StateResult<void> PosixFileSystem::remove(const std::string &path)
{
    if (::unlink(path.c_str()) != 0) {
        return makeStateError(StateErrorCode::Output, "remove", path, errno);
    }
    return boost::outcome_v2::success();
}

StateResult<void> PosixFileSystem::syncFolder(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return makeStateError(StateErrorCode::SyncFailed, "open folder", path, errno);
    }
    auto result = syncDescriptor(descriptor, path);
    ::close(descriptor);
    return result;
}

} // namespace waxwing
