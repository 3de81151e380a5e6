#include <waxwing/state/memory_file_system.h>
#include <waxwing/state/snapshot_file.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace waxwing
{

namespace
{

StateError stopped(const std::string &path)
{
    return makeStateError(StateErrorCode::Output, "operation after the end of the process", path, ECANCELED);
}

} // namespace

MemoryFile::MemoryFile(MemoryDisk &disk, std::shared_ptr<MemoryDisk::Content> content, std::string path)
    : m_disk(&disk)
    , m_content(std::move(content))
    , m_path(std::move(path))
{
}

StateResult<void> MemoryFile::append(std::string_view bytes)
{
    if (!m_disk->beginOperation()) {
        m_content->bytes.append(bytes.substr(0, bytes.size() / 2));
        return stopped(m_path);
    }
    const auto fits = m_disk->bytesLeft ? std::min<std::uint64_t>(*m_disk->bytesLeft, bytes.size()) : bytes.size();
    m_content->bytes.append(bytes.substr(0, fits));
    if (m_disk->bytesLeft) {
        *m_disk->bytesLeft -= fits;
    }
    if (fits < bytes.size()) {
        return makeStateError(StateErrorCode::Output, "append", m_path, ENOSPC);
    }
    return boost::outcome_v2::success();
}

StateResult<void> MemoryFile::sync()
{
    if (!m_disk->beginOperation()) {
        return stopped(m_path);
    }
    if (m_disk->failSync) {
        return makeStateError(StateErrorCode::SyncFailed, "fsync", m_path, EIO);
    }
    if (m_content->bytes.starts_with(m_content->synced)) {
        m_content->synced.append(m_content->bytes, m_content->synced.size());
    } else {
        m_content->synced = m_content->bytes;
    }
    return boost::outcome_v2::success();
}

StateResult<void> MemoryFile::truncate(std::uint64_t size)
{
    if (!m_disk->beginOperation()) {
        return stopped(m_path);
    }
    m_content->bytes.resize(size);
    return boost::outcome_v2::success();
}

StateResult<MemoryFileSystem::File> MemoryFileSystem::openAppend(const std::string &path)
{
    if (!m_disk->beginOperation()) {
        return stopped(path);
    }
    auto &content = m_disk->names[path];
    if (!content) {
        content = std::make_shared<MemoryDisk::Content>();
    }
    return MemoryFile(*m_disk, content, path);
}

StateResult<std::string> MemoryFileSystem::read(const std::string &path)
{
    const auto found = m_disk->names.find(path);
    if (found == m_disk->names.end()) {
        return makeStateError(StateErrorCode::Input, "open", path, ENOENT);
    }
    return found->second->bytes;
}

bool MemoryFileSystem::exists(const std::string &path)
{
    return m_disk->names.contains(path);
}

StateResult<std::vector<std::string>> MemoryFileSystem::list(const std::string &path)
{
    std::vector<std::string> found;
    for (const auto &[name, content] : m_disk->names) {
        if (folderOf(name) == path) {
            found.push_back(name.substr(path.size() + 1));
        }
    }
    return found;
}

StateResult<void> MemoryFileSystem::createFolder(const std::string &)
{
    return boost::outcome_v2::success();
}

StateResult<void> MemoryFileSystem::rename(const std::string &from, const std::string &to)
{
    if (!m_disk->beginOperation()) {
        return stopped(from);
    }
    const auto found = m_disk->names.find(from);
    if (found == m_disk->names.end()) {
        return makeStateError(StateErrorCode::Output, "rename", from, ENOENT);
    }
    auto content = std::move(found->second);
    m_disk->names.erase(found);
    m_disk->names[to] = std::move(content);
    return boost::outcome_v2::success();
}

StateResult<void> MemoryFileSystem::remove(const std::string &path)
{
    if (!m_disk->beginOperation()) {
        return stopped(path);
    }
    m_disk->names.erase(path);
    return boost::outcome_v2::success();
}

StateResult<void> MemoryFileSystem::syncFolder(const std::string &path)
{
    if (!m_disk->beginOperation()) {
        return stopped(path);
    }
    if (m_disk->failSync) {
        return makeStateError(StateErrorCode::SyncFailed, "fsync", path, EIO);
    }
    std::erase_if(m_disk->durableNames, [&path](const auto &entry) { return folderOf(entry.first) == path; });
    for (const auto &[name, content] : m_disk->names) {
        if (folderOf(name) == path) {
            m_disk->durableNames[name] = content;
        }
    }
    return boost::outcome_v2::success();
}

} // namespace waxwing
