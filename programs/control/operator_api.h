#pragma once

#include <waxwing/coordination/log_port.h>
#include <waxwing/support/time.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

struct HttpRequest;
struct HttpResponse;

namespace wire
{
class ConfigCommand;
class Resource;
} // namespace wire

} // namespace waxwing

namespace waxwing::control
{

class ControlService;
struct HttpTarget;

/// @brief Properties of the process that the operator API reports, and its limits.
struct OperatorApiOptions
{
    std::string member; ///< name of this process
    std::string token; ///< bearer token that operators must present; requests are refused if empty
    std::function<std::string()> leaderHttpAddress; ///< empty if unknown
    std::function<boost::json::object()> logStatus; ///< members and state of the logs
    Duration watchTimeout = 25s; ///< a watch without changes is answered with an empty body after this time
    std::size_t maxWatches = 1'000;
};

/// @brief HTTP API of the operators. One thread.
class OperatorApi
{
public:
    using Respond = std::function<void(HttpResponse &&response)>;

    /// @brief Creates the API.
    /// @param options properties of the process and limits
    /// @param service control service; outlives the API
    OperatorApi(OperatorApiOptions options, ControlService &service);

    /// @brief Handles one request.
    /// @param respond called once, within this function or later
    void handle(const HttpRequest &request, Respond respond);

    /// @brief Answers the watches that have new changes or have reached their timeout; called every few milliseconds.
    void tick();

    /// @brief Answers all open watches when the process stops.
    void drain();

private:
    struct Watch
    {
        std::uint64_t from = 0;
        TimePoint deadline;
        Respond respond;
    };

    bool isAuthorized(const HttpRequest &request) const;
    void handleResources(const HttpRequest &request, const HttpTarget &target, Respond respond);
    void handleGroups(const HttpRequest &request, const HttpTarget &target, Respond respond);
    void putResource(const HttpRequest &request, const HttpTarget &target, Respond respond);
    void removeResource(const HttpRequest &request, const HttpTarget &target, Respond respond);
    void propose(wire::ConfigCommand command, const std::string &requestTarget, Respond respond);
    void read(const HttpTarget &target, const std::string &requestTarget, Respond respond, std::function<HttpResponse()> makeResponse);
    void watch(const HttpTarget &target, Respond respond);
    HttpResponse logFailureResponse(LogFailure failure, const std::string &requestTarget) const;
    HttpResponse resourcesResponse(const HttpTarget &target) const;
    HttpResponse statusResponse() const;
    HttpResponse changesResponse(std::uint64_t from) const;
    HttpResponse versionedResponse(unsigned status, const boost::json::object &body) const;
    boost::json::object describe(const wire::Resource &resource) const;
    boost::json::object resourceStatus(const wire::Resource &resource) const;
    boost::json::object groupStatus(const std::string &name) const;

    OperatorApiOptions m_options;
    ControlService &m_service;
    std::list<Watch> m_watches;
};

} // namespace waxwing::control
