#pragma once

#include "proxy_settings.h"

#include <waxwing/coordination/token_key_ring.h>
#include <waxwing/transport/link_key.h>

#include <memory>
#include <string>

namespace waxwing
{

/// @brief The proxy with its threads: callers, dispatch, link, disk.
class ProxyProcess
{
public:
    ProxyProcess(ProxySettings settings, TokenKeyRing keys, LinkKey linkKey);
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;

    /// @brief Opens the sockets and starts the threads.
    /// @return what failed; empty on success
    std::string start();

    /// @brief Begins a planned stop; any thread.
    void stop();

    /// @brief Waits until a planned stop has ended.
    /// @return whether no work in flight was cut off
    bool wait();

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
