#include <waxwing/state/config_machine.h>
#include <waxwing/state/intent_machine.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/machine.pb.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>

#include <array>
#include <deque>
#include <fstream>
#include <iostream>
#include <string>

namespace
{

using namespace waxwing;

constexpr std::array<int, 3> recordCounts {20'000, 40'000, 80'000};
constexpr std::array<int, 3> groupCounts {1'000, 2'500, 5'000};

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

double secondsSince(TimePoint begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

boost::json::object row(const char *kind, int count, double seconds, std::size_t bytes, std::size_t snapshot)
{
    return {{"kind", kind},
            {"count", count},
            {"microseconds_each", seconds * 1e6 / count},
            {"bytes_each", bytes / static_cast<std::size_t>(count)},
            {"snapshot_bytes_each", snapshot / static_cast<std::size_t>(count)}};
}

/// One begin and one finish for each statement that must not repeat.
boost::json::object measureIntents(int count, std::deque<IntentMachine> &kept)
{
    const auto before = residentBytes();
    const auto began = Clock::now();
    auto &machine = kept.emplace_back();
    for (int i = 0; i < count; ++i) {
        wire::IntentCommand command;
        command.set_now_ms(unixMilliseconds());
        auto &begin = *command.mutable_begin();
        begin.set_service("orders");
        begin.set_key(makeUuid7());
        begin.set_statement_hash(static_cast<std::uint64_t>(i));
        begin.set_proxy("proxy-1");
        begin.set_incarnation(1);
        begin.set_attempt(static_cast<std::uint64_t>(i) + 1);
        machine.applyCommand(command);
        const auto key = begin.key();
        command.clear_body();
        auto &finish = *command.mutable_finish();
        finish.set_service("orders");
        finish.set_key(key);
        finish.set_attempt(static_cast<std::uint64_t>(i) + 1);
        finish.set_proxy("proxy-1");
        finish.set_incarnation(1);
        finish.mutable_answer()->set_outcome("done");
        finish.mutable_answer()->set_result_json(R"({"value":"stored"})");
        finish.mutable_answer()->set_session(std::string(80, 't'));
        machine.applyCommand(command);
    }
    const auto seconds = secondsSince(began);
    const auto bytes = residentBytes() - before;
    return row("intent", count, seconds, bytes, machine.snapshot().size());
}

/// One group and one service resource and one group record with an owner for each group.
boost::json::object measureGroups(int count, std::deque<ConfigMachine> &kept)
{
    const auto before = residentBytes();
    const auto began = Clock::now();
    auto &machine = kept.emplace_back();
    std::uint64_t index = 0;
    for (int i = 0; i < count; ++i) {
        const auto name = "group-" + std::to_string(i);
        for (const auto *kind : {"group", "service"}) {
            wire::ConfigCommand command;
            command.set_change_id(makeUuid7());
            auto &put = *command.mutable_put();
            put.set_kind(kind);
            put.set_name(name);
            put.set_spec_json(R"({"deployment":"local","group":"orders","acknowledge":"majority","limits":"standard","policy":"standard"})");
            machine.applyCommand(++index, command);
        }
        wire::ConfigCommand command;
        auto &change = *command.mutable_assign_owners()->add_changes();
        change.set_group(name);
        change.set_owner("proxy-1");
        change.set_incarnation(1);
        machine.applyCommand(++index, command);
    }
    const auto seconds = secondsSince(began);
    const auto bytes = residentBytes() - before;
    return row("group", count, seconds, bytes, machine.snapshot().size());
}

} // namespace

int main()
{
    boost::json::array rows;
    // Kept until the end: memory that a machine frees would be used again by the next one and not be counted.
    std::deque<IntentMachine> intents;
    std::deque<ConfigMachine> configurations;
    for (const int count : recordCounts) {
        rows.push_back(measureIntents(count, intents));
    }
    for (const int count : groupCounts) {
        rows.push_back(measureGroups(count, configurations));
    }
    std::cout << boost::json::serialize(rows) << '\n';
    return 0;
}
