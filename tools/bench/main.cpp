#include "bench_control.h"
#include "open_load.h"

#include <waxwing/support/identifier.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

using namespace waxwing;

namespace
{

constexpr unsigned slots = 64;

// A database that answers at once.
HttpResponse answerStatement(const HttpRequest &request)
{
    if (request.target == "/v1/status") {
        return {.body
                = R"({"database":"bench-1","group":"bench","role":"primary","term":1,"term_start":0,"position":1,"slots":64,"connections":72,"running":0})"};
    }
    static const std::string checksum = toHex(hash64("v"));
    const auto body = boost::json::parse(request.body).as_object();
    return {.body = boost::json::serialize(boost::json::object {{"correlation_id", body.at("correlation_id")},
                                                                {"outcome", "done"},
                                                                {"reason", ""},
                                                                {"term", 1},
                                                                {"position", 1},
                                                                {"result", "v"},
                                                                {"rows", 1},
                                                                {"checksum", checksum}})};
}

double processorSeconds(const std::string &process)
{
    std::ifstream file("/proc/" + process + "/stat");
    std::string field;
    double ticks = 0;
    for (int number = 1; number <= 15 && file >> field; ++number) {
        if (number == 14 || number == 15) {
            ticks += std::strtod(field.c_str(), nullptr);
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

bool isDone(const std::string &body)
{
    return body.find(R"("outcome":"done")") != std::string::npos;
}

} // namespace

// Measures what a proxy adds to a call of an endpoint. The proxy must be started beside it with the control address of
// this program and without keys. Alternates direct calls and calls through the proxy, so that both meet the same noise.
int main(int argc, char **argv)
{
    if (argc != 8) {
        std::fprintf(stderr, "Usage: waxwing-proxy-bench CONTROL-LISTEN PROXY PROXY-PID CONNECTIONS RATE SECONDS ROUNDS\n");
        return 2;
    }
    const auto connections = static_cast<std::size_t>(std::strtoul(argv[4], nullptr, 10));
    const auto rate = std::strtod(argv[5], nullptr);
    const auto requests = static_cast<std::size_t>(rate * std::strtod(argv[6], nullptr));
    const auto rounds = std::strtol(argv[7], nullptr, 10);

    boost::asio::io_context serverContext;
    auto server = HttpServer::start(serverContext, {.listen = "127.0.0.1:0"},
                                    [](HttpRequest &&request, const HttpReply &reply) { reply.send(answerStatement(request)); });
    const auto endpoint = "127.0.0.1:" + std::to_string(server.value().port());
    BenchControl control(serverContext, argv[1], endpoint, slots);
    if (!control.isListening()) {
        std::fprintf(stderr, "waxwing-proxy-bench: can't listen on %s\n", argv[1]);
        return 1;
    }
    auto guard = boost::asio::make_work_guard(serverContext);
    std::thread serverThread([&] { serverContext.run(); });

    const OpenLoad::Options direct {.address = endpoint,
                                    .connections = slots,
                                    .rate = rate,
                                    .requests = requests,
                                    .request =
                                        [](std::size_t number) {
                                            return HttpRequest {.method = "POST",
                                                                .target = "/v1/execute",
                                                                .body = R"({"correlation_id":")" + std::to_string(number)
                                                                    + R"(","term":1,"statement":"read k","kind":"read","transaction":false})"};
                                        },
                                    .isGood = isDone};
    OpenLoad::Options proxied = direct;
    proxied.address = argv[2];
    proxied.connections = connections;
    proxied.request = [](std::size_t) {
        return HttpRequest {.method = "POST",
                            .target = "/v1/statements",
                            .body = R"({"service":"bench","statement":"read k","kind":"read","freshness":{"mode":"primary"},"deadline_ms":5000,"caller":"c"})"};
    };
    for (long round = 0; round < rounds; ++round) {
        boost::asio::io_context context;
        auto first = OpenLoad(context, direct).run();
        const auto before = processorSeconds(argv[3]);
        const auto start = Clock::now();
        auto second = OpenLoad(context, proxied).run();
        const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
        const auto cores = (processorSeconds(argv[3]) - before) / seconds;
        std::printf("round %ld: direct p50 %.3f p99 %.3f ms, proxy p50 %.3f p99 %.3f ms, added p50 %.3f p99 %.3f ms, cores %.2f, failed %zu\n", round,
                    first.quantile(0.5), first.quantile(0.99), second.quantile(0.5), second.quantile(0.99), second.quantile(0.5) - first.quantile(0.5),
                    second.quantile(0.99) - first.quantile(0.99), cores, second.failed);
    }
    serverContext.stop();
    serverThread.join();
    return 0;
}
