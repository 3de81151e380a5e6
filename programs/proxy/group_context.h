#pragma once

#include <string>

namespace boost::asio
{
class io_context;
}

namespace waxwing
{

class Directory;
class ExplainRing;
class IntentClient;
class Random;
class TermLease;
class TokenKeyRing;

/// @brief What the owned groups of a proxy share. All of it outlives the groups.
struct GroupContext
{
    boost::asio::io_context &context;
    Random &random;
    TermLease &lease;
    const TokenKeyRing &keys;
    ExplainRing &explain;
    IntentClient &intents;
    const Directory &directory;
    std::string proxy; ///< name of this proxy
    bool hedgesReads = true;
};

} // namespace waxwing
