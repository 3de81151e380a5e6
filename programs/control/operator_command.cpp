#include "operator_command.h"

#include "control_settings.h"
#include "explain_command.h"
#include "http_target.h"
#include "operator_client.h"
#include "table.h"

#include <waxwing/state/resource.h>
#include <waxwing/support/identifier.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace waxwing::control
{

namespace
{

constexpr Duration requestTimeout = 10s;
constexpr Duration watchTimeout = 40s; // exceeds the 25 s after which the server answers a watch without changes

struct FileResource
{
    ResourceKey key;
    boost::json::value spec;
    std::optional<std::uint64_t> version;
};

std::string readInput(const std::string &path, std::string &problem)
{
    if (path == "-") {
        return {std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream file(path);
    if (!file) {
        problem = path + ": can't read the file";
        return {};
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string fieldText(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

/// Parses one resource or a list of resources, and adds all problems with their index in the list.
std::vector<FileResource> parseFile(const std::string &path, std::vector<std::string> &problems)
{
    std::vector<FileResource> resources;
    std::string problem;
    const auto text = readInput(path, problem);
    boost::json::error_code error;
    auto content = boost::json::parse(text, error);
    if (!problem.empty() || error) {
        problems.push_back(problem.empty() ? path + ": invalid JSON: " + error.message() : problem);
        return resources;
    }
    boost::json::array list;
    if (content.is_array()) {
        list = std::move(content.get_array());
    } else {
        list.push_back(std::move(content));
    }
    std::size_t index = 0;
    for (const auto &element : list) {
        const auto location = path + "[" + std::to_string(index++) + "]";
        if (!element.is_object()) {
            problems.push_back(location + ": expected an object with kind, name and spec");
            continue;
        }
        const auto &object = element.get_object();
        FileResource resource;
        resource.key = {fieldText(object, "kind"), fieldText(object, "name")};
        if (const auto *spec = object.if_contains("spec")) {
            resource.spec = *spec;
        }
        if (const auto *version = object.if_contains("version")) {
            boost::json::error_code numberError;
            resource.version = version->is_number() ? version->to_number<std::uint64_t>(numberError) : 0;
            if (!version->is_number() || numberError) {
                problems.push_back(location + ": version: expected a whole number, got " + boost::json::serialize(*version));
            }
        }
        for (const auto &[field, value] : object) {
            if (field != "kind" && field != "name" && field != "spec" && field != "version") {
                problems.push_back(location + ": " + std::string(field) + ": unknown field");
            }
        }
        for (const auto &fieldError : validateResource(resource.key, resource.spec)) {
            problems.push_back(location + " " + resource.key.kind + "/" + resource.key.name + ": " + fieldError.field + ": " + fieldError.message);
        }
        resources.push_back(std::move(resource));
    }
    return resources;
}

int reportProblems(const std::vector<std::string> &problems)
{
    for (const auto &problem : problems) {
        std::cerr << problem << '\n';
    }
    return problems.empty() ? 0 : 1;
}

int reportFailure(const HttpResponse &response)
{
    std::cerr << "waxwing-control: " << (response.status == 0 ? "no leader answered: " : "HTTP " + std::to_string(response.status) + ": ") << response.body
              << '\n';
    return 1;
}

boost::json::object parseObject(const std::string &text)
{
    boost::json::error_code error;
    auto value = boost::json::parse(text, error);
    return !error && value.is_object() ? std::move(value.get_object()) : boost::json::object();
}

std::string resourcePath(const ResourceKey &key)
{
    return "/v1/resources/" + percentEncode(key.kind) + "/" + percentEncode(key.name);
}

std::string fieldList(const boost::json::object &object, std::string_view field)
{
    std::string text;
    const auto *value = object.if_contains(field);
    if (value != nullptr && value->is_array()) {
        for (const auto &element : value->get_array()) {
            text += (text.empty() ? "" : ",") + (element.is_string() ? std::string(element.get_string()) : boost::json::serialize(element));
        }
    }
    return text.empty() ? "-" : text;
}

std::string fieldSize(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    return std::to_string(value != nullptr && value->is_array() ? value->get_array().size() : 0);
}

boost::json::array fieldArray(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_array() ? value->get_array() : boost::json::array();
}

/// Applies one resource. If the file has no version, the current version is replaced unless its spec is the same.
int applyResource(OperatorClient &client, const FileResource &resource, std::string &action, std::string &version)
{
    const auto path = resourcePath(resource.key);
    auto expected = resource.version;
    if (!expected) {
        const auto current = client.request("GET", path, {}, requestTimeout);
        if (current.status == 200) {
            const auto body = parseObject(current.body);
            version = fieldText(body, "version");
            if (const auto *spec = body.if_contains("spec"); spec != nullptr && *spec == resource.spec) {
                action = "unchanged";
                return 0;
            }
            expected = body.at("version").to_number<std::uint64_t>();
        } else if (current.status == 404) {
            expected = 0;
        } else {
            return reportFailure(current);
        }
    }
    const boost::json::object change {{"version", *expected}, {"change_id", makeUuid7()}, {"spec", resource.spec}};
    const auto response = client.request("PUT", path, boost::json::serialize(change), requestTimeout);
    if (response.status != 200) {
        return reportFailure(response);
    }
    action = *expected == 0 ? "created" : "changed";
    version = fieldText(parseObject(response.body), "version");
    return 0;
}

int runApply(const OperatorCommand &command, OperatorClient &client)
{
    std::vector<std::string> problems;
    const auto resources = parseFile(command.arguments.front(), problems);
    if (!problems.empty()) {
        return reportProblems(problems);
    }
    Table table({"KIND", "NAME", "VERSION", "ACTION"});
    int code = 0;
    for (const auto &resource : resources) {
        std::string action;
        std::string version;
        if (applyResource(client, resource, action, version) != 0) {
            code = 1;
            action = "failed";
        }
        table.add({resource.key.kind, resource.key.name, version, action});
    }
    table.print(std::cout, command.json);
    return code;
}

int runCheck(const OperatorCommand &command)
{
    std::vector<std::string> problems;
    const auto resources = parseFile(command.arguments.front(), problems);
    if (!problems.empty()) {
        return reportProblems(problems);
    }
    const auto isListed = [&resources](const ResourceKey &key) {
        return std::any_of(resources.begin(), resources.end(), [&key](const FileResource &resource) { return resource.key == key; });
    };
    for (const auto &resource : resources) {
        for (const auto &reference : references(resource.key, resource.spec)) {
            if (!isListed(reference.target)) {
                std::cerr << "note: " << resource.key.kind << "/" << resource.key.name << ": " << reference.field << ": " << reference.target.kind << "/"
                          << reference.target.name << " is not in this file\n";
            }
        }
    }
    std::cout << resources.size() << " resources are valid\n";
    return 0;
}

int runGet(const OperatorCommand &command, OperatorClient &client)
{
    std::string path = "/v1/resources";
    for (const auto &argument : command.arguments) {
        path += "/" + percentEncode(argument);
    }
    const auto response = client.request("GET", path, {}, requestTimeout);
    if (response.status != 200) {
        return reportFailure(response);
    }
    if (command.json) {
        std::cout << response.body << '\n';
        return 0;
    }
    const auto body = parseObject(response.body);
    boost::json::array resources = fieldArray(body, "resources");
    if (body.contains("kind")) {
        resources.emplace_back(body);
    }
    Table table({"KIND", "NAME", "VERSION", "IN EFFECT", "LAGGING", "SPEC"});
    for (const auto &element : resources) {
        const auto &resource = element.get_object();
        const auto &status = resource.at("status").get_object();
        table.add({fieldText(resource, "kind"), fieldText(resource, "name"), fieldText(resource, "version"), fieldSize(status, "in_effect_on"),
                   fieldSize(status, "lagging"), fieldText(resource, "spec")});
    }
    table.print(std::cout, false);
    return 0;
}

/// Prints the status of a deployment that serves sessions.
void printSessionStatus(const boost::json::object &body)
{
    std::cout << "leader " << fieldText(body, "leader") << ", term " << fieldText(body, "term") << ", version " << fieldText(body, "version")
              << ", applied index " << fieldText(body, "applied_index")
              << ", losses that can be borne: " << (body.contains("losses_borne") ? fieldText(body, "losses_borne") : "ask the leader") << "\n\n";
    Table members({"MEMBER", "VOTES", "HEARD"});
    for (const auto &element : fieldArray(body, "members")) {
        const auto &member = element.get_object();
        members.add({fieldText(member, "address"), fieldText(member, "votes"), fieldText(member, "heard")});
    }
    members.print(std::cout, false);
    std::cout << '\n';
    Table services({"SERVICE", "EPOCH", "PRIMARY", "DATABASES"});
    for (const auto &element : fieldArray(body, "services")) {
        const auto &service = element.get_object();
        const auto primary = fieldText(service, "primary");
        services.add(
            {fieldText(service, "service"), fieldText(service, "epoch"), primary.empty() ? "(being replaced)" : primary, fieldSize(service, "databases")});
    }
    services.print(std::cout, false);
    std::cout << '\n';
    Table proxies({"PROXY", "VERSION", "DIRECTORY", "LEASE LEFT MS", "DRAINING"});
    for (const auto &element : fieldArray(body, "proxies")) {
        const auto &proxy = element.get_object();
        proxies.add({fieldText(proxy, "proxy"), fieldText(proxy, "config_version"), fieldText(proxy, "directory_version"), fieldText(proxy, "lease_left_ms"),
                     fieldText(proxy, "draining")});
    }
    proxies.print(std::cout, false);
}

int runStatus(const OperatorCommand &command, OperatorClient &client)
{
    const auto response = client.request("GET", "/v1/status", {}, requestTimeout);
    if (response.status != 200) {
        return reportFailure(response);
    }
    if (command.json) {
        std::cout << response.body << '\n';
        return 0;
    }
    const auto body = parseObject(response.body);
    if (body.contains("members")) {
        printSessionStatus(body);
        return 0;
    }
    std::cout << "leader " << fieldText(body, "leader") << ", version " << fieldText(body, "version") << ", applied index " << fieldText(body, "applied_index")
              << "\n\n";
    Table groups({"GROUP", "CONDITIONS", "PRIMARY", "TERM", "OWNER", "ENDPOINTS"});
    for (const auto &element : fieldArray(body, "groups")) {
        const auto &group = element.get_object();
        groups.add({fieldText(group, "group"), fieldList(group, "conditions"), fieldText(group, "primary"), fieldText(group, "term"), fieldText(group, "owner"),
                    fieldSize(group, "endpoints") + "/" + fieldText(group, "databases_expected")});
    }
    groups.print(std::cout, false);
    std::cout << '\n';
    Table proxies({"PROXY", "DOMAIN", "LIVE", "VERSION", "DRAINING"});
    for (const auto &element : fieldArray(body, "proxies")) {
        const auto &proxy = element.get_object();
        proxies.add({fieldText(proxy, "proxy"), fieldText(proxy, "failure_domain"), fieldText(proxy, "live"), fieldText(proxy, "config_version"),
                     fieldText(proxy, "draining")});
    }
    proxies.print(std::cout, false);
    return 0;
}

int runWatch(const OperatorCommand &command, OperatorClient &client)
{
    auto from = command.from;
    if (!from) {
        const auto status = client.request("GET", "/v1/status", {}, requestTimeout);
        if (status.status != 200) {
            return reportFailure(status);
        }
        from = parseObject(status.body).at("version").to_number<std::uint64_t>();
    }
    for (std::uint64_t printed = 0; !command.count || printed < *command.count;) {
        const auto response = client.request("GET", "/v1/watch?from=" + std::to_string(*from), {}, watchTimeout);
        if (response.status != 200) {
            return reportFailure(response);
        }
        std::istringstream lines(response.body);
        for (std::string line; std::getline(lines, line) && (!command.count || printed < *command.count); ++printed) {
            const auto change = parseObject(line);
            from = change.at("version").to_number<std::uint64_t>();
            if (command.json) {
                std::cout << line << std::endl;
            } else {
                std::cout << fieldText(change, "version") << "  " << fieldText(change, "kind") << "/" << fieldText(change, "name") << "  "
                          << (change.contains("deleted") ? "deleted" : fieldText(change, "spec")) << std::endl;
            }
        }
    }
    return 0;
}

int usageError(const std::string &problem)
{
    std::cerr << "waxwing-control: " << problem << "\nTry 'waxwing-control --help'.\n";
    return 2;
}

} // namespace

void OperatorCommand::setAddresses(std::string_view list)
{
    addresses.clear();
    std::istringstream items {std::string(list)};
    for (std::string item; std::getline(items, item, ',');) {
        addresses.push_back(item);
    }
}

bool OperatorCommand::setNumber(bool isFrom, std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    (isFrom ? from : count) = value;
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

int runOperatorCommand(const OperatorCommand &command)
{
    const auto count = command.arguments.size();
    const bool needsFile = command.name == "apply" || command.name == "check";
    if (command.name == "explain") {
        return command.request.empty() || count == 0 ? usageError("explain needs --request ID and log files")
                                                     : explainRequest(command.request, command.arguments, command.json);
    }
    const bool isKnown = needsFile || command.name == "get" || command.name == "watch" || command.name == "status";
    if (!isKnown) {
        return usageError("unknown command " + command.name);
    }
    if (needsFile ? count != 1 : count > (command.name == "get" ? 2U : 0U)) {
        return usageError("wrong number of arguments for " + command.name + ": got " + std::to_string(count));
    }
    if (command.name == "check") {
        return runCheck(command);
    }
    if (command.tokenFile.empty() && command.name != "status") {
        return usageError(command.name + " needs --token-file FILE");
    }
    std::string token;
    if (const auto problem = command.tokenFile.empty() ? std::string() : readSecret(command.tokenFile, token); !problem.empty()) {
        std::cerr << problem << '\n';
        return 1;
    }
    OperatorClient client(command.addresses, token);
    if (command.name == "apply") {
        return runApply(command, client);
    }
    if (command.name == "get") {
        return runGet(command, client);
    }
    return command.name == "watch" ? runWatch(command, client) : runStatus(command, client);
}

} // namespace waxwing::control
