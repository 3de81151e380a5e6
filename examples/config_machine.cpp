// Drives the configuration machine by an in-memory log, as the control service drives it by the replicated log.
#include <waxwing/coordination/memory_log.h>
#include <waxwing/state/config_machine.h>
#include <waxwing/state/message_bytes.h>

#include <iostream>

using namespace waxwing;

namespace
{

wire::ConfigResult change(const LogPort &log, const std::string &changeId, std::uint64_t expectedVersion)
{
    wire::ConfigCommand command;
    command.set_change_id(changeId);
    auto &put = *command.mutable_put();
    put.set_kind("limits");
    put.set_name("standard");
    put.set_expected_version(expectedVersion);
    put.set_spec_json("{\"slots\":3}");
    wire::ConfigResult result;
    log.propose(encodeMessage(command), [&result](LogReply &&reply) { decodeMessage(reply.result, result); });
    std::cout << changeId << ": " << wire::ConfigStatus_Name(result.status()) << ", version " << result.version() << '\n';
    return result;
}

} // namespace

int main()
{
    ConfigMachine machine;
    MemoryLog<ConfigMachine> memoryLog(machine);
    const auto log = memoryLog.port();
    change(log, "first", 0);
    const auto conflict = change(log, "second", 0); // of two changes with the same version, one wins
    const auto retry = change(log, "first", 0); // a retry receives the first result
    return conflict.status() == wire::VERSION_CONFLICT && retry.status() == wire::ACCEPTED && machine.version() == 1 ? 0 : 1;
}
