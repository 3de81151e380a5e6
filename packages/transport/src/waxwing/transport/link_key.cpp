#include <waxwing/transport/link_key.h>

#include <sys/stat.h>
#include <zmq.h>

#include <fstream>

namespace waxwing
{

namespace
{

constexpr std::size_t keyLength = 40;

} // namespace

TransportResult<LinkKey> loadLinkKey(const std::string &path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return TransportError::KeyFileUnreadable;
    }
    if ((status.st_mode & (S_IRGRP | S_IWGRP | S_IROTH | S_IWOTH)) != 0) {
        return TransportError::KeyFileExposed;
    }
    std::ifstream file(path);
    LinkKey key;
    if (!(file >> key.publicKey >> key.secretKey)) {
        return TransportError::KeyFileMalformed;
    }
    if (key.publicKey.size() != keyLength || key.secretKey.size() != keyLength) {
        return TransportError::KeyFileMalformed;
    }
    return key;
}

LinkKey makeLinkKey()
{
    LinkKey key;
    key.publicKey.resize(keyLength + 1);
    key.secretKey.resize(keyLength + 1);
    zmq_curve_keypair(key.publicKey.data(), key.secretKey.data());
    key.publicKey.resize(keyLength);
    key.secretKey.resize(keyLength);
    return key;
}

} // namespace waxwing
