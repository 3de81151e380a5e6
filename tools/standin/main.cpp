#include "announcer.h"
#include "endpoint.h"
#include "member.h"
#include "replicator.h"
#include "standin_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>

using namespace waxwing;
using namespace waxwing::standin;

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
// A leaving database still serves statements this long, since proxies may hear of it this late.
constexpr auto leaveGrace = 2s;

int run(StandinOptions options)
{
    boost::asio::io_context context(1);
    Member member(std::move(options));
    Replicator replicator(context, member);
    Announcer announcer(context, member);
    Endpoint endpoint(context, member);
    if (!endpoint.start()) {
        std::cerr << "waxwing-standin: cannot listen on " << member.options.listen << "\n";
        return exitFailure;
    }
    member.onRole = [&] {
        replicator.restart();
        announcer.announce();
    };
    member.onChange = [&] {
        announcer.announce();
    };
    member.start();
    announcer.announce();

    boost::asio::steady_timer leaveTimer(context);
    boost::asio::steady_timer exitTimer(context);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        member.isAnnouncedLeaving = true;
        member.history.record("leave", {});
        announcer.announce();
        leaveTimer.expires_after(std::min<Duration>(leaveGrace, member.options.leaveTime / 2));
        leaveTimer.async_wait([&](const boost::system::error_code &) { member.isLeaving = true; });
        exitTimer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(member.options.leaveTime));
        exitTimer.async_wait([&](const boost::system::error_code &) { context.stop(); });
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto parsed = parseOptions(argc, argv);
    if (parsed.isHelp) {
        std::cout << usage();
        return 0;
    }
    if (!parsed.errors.empty()) {
        for (const auto &error : parsed.errors) {
            std::cerr << "waxwing-standin: " << error << "\n";
        }
        return exitUsage;
    }
    return run(std::move(parsed.options));
}
