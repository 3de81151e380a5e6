#include "fake_proxy.h"

#include <waxwing/support/identifier.h>
#include <waxwing/support/option_table.h>
#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/link_key.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::control_load;

namespace
{

constexpr Duration changeInterval = 200ms;
constexpr Duration renewalInterval = 400ms;

struct LoadOptions
{
    std::string link;
    std::string http;
    std::string token;
    std::string pid;
    std::string keyFile;
    int proxies = 10;
    int seconds = 20;
};

using Table = OptionTable<LoadOptions>;

const Table &optionTable()
{
    constexpr int maxProxies = 400; // each has a link thread
    constexpr int maxSeconds = 600;
    static const Table table {
        {"link", Table::text("IP:PORT of the link of the control leader", &LoadOptions::link)},
        {"http", Table::text("IP:PORT of its operator API", &LoadOptions::http)},
        {"token", Table::text("bearer token of operators", &LoadOptions::token)},
        {"pid", Table::text("process of the leader, whose processor time is read", &LoadOptions::pid)},
        {"key-file", Table::text("link key; without it the links are not encrypted", &LoadOptions::keyFile)},
        {"proxies", Table::number("fake proxies (default 10)", &LoadOptions::proxies, 1, maxProxies)},
        {"seconds", Table::number("duration (default 20); a resource changes five times a second in the second half", &LoadOptions::seconds, 2, maxSeconds)},
    };
    return table;
}

/// CPU time used by a process so far, in seconds.
double cpuSeconds(const std::string &pid)
{
    std::ifstream file("/proc/" + pid + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    const std::vector<std::string> values {std::istream_iterator<std::string>(fields), {}};
    constexpr std::size_t userTime = 11; // counted after the name of the program
    return (std::stod(values.at(userTime)) + std::stod(values.at(userTime + 1))) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Exact quantile of some values, 0 without values.
double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size())));
    return values[std::min(values.size(), std::max<std::size_t>(index, 1)) - 1];
}

class Load
{
public:
    Load(LoadOptions options, const LinkKey &key)
        : m_options(std::move(options))
        , m_connection(m_context)
        , m_timer(m_context)
    {
        for (int i = 0; i < m_options.proxies; ++i) {
            m_proxies.push_back(std::make_unique<FakeProxy>(m_context, "fake-" + std::to_string(i), m_options.link, key,
                                                            renewalInterval * i / m_options.proxies, m_totals,
                                                            [this](std::uint64_t version) { seen(version); }));
        }
    }

    int run()
    {
        m_context.run_for(2s); // registration and first directory
        const auto half = std::chrono::seconds(m_options.seconds) / 2;
        const auto before = m_totals;
        const auto cpu = cpuSeconds(m_options.pid);
        m_context.run_for(half);
        const double seconds = std::chrono::duration<double>(half).count();
        boost::json::object result {{"proxies", m_options.proxies}};
        const auto renewals = m_totals.renewals - before.renewals;
        const auto grants = m_totals.grants - before.grants;
        result["renewals_per_second"] = static_cast<double>(renewals) / seconds;
        result["grants_per_second"] = static_cast<double>(grants) / seconds;
        result["leader_cpu_percent"] = (cpuSeconds(m_options.pid) - cpu) / seconds * 100;
        result["bytes_per_renewal"] = renewals == 0 ? 0 : (m_totals.renewalBytes - before.renewalBytes) / renewals;
        result["bytes_per_grant"] = grants == 0 ? 0 : (m_totals.grantBytes - before.grantBytes) / grants;
        result["grant_ms_mean"]
            = grants == 0 ? 0 : std::chrono::duration<double, std::milli>(m_totals.grantTime - before.grantTime).count() / static_cast<double>(grants);
        changes(half);
        result["changes"] = m_accepted;
        result["change_to_last_push_ms_p50"] = quantile(m_lastPush, 0.5);
        result["change_to_last_push_ms_p99"] = quantile(m_lastPush, 0.99);
        result["change_to_any_push_ms_p99"] = quantile(m_anyPush, 0.99);
        result["bytes_per_push"] = m_totals.pushes == 0 ? 0 : m_totals.pushBytes / m_totals.pushes;
        std::cout << boost::json::serialize(result) << std::endl;
        return grants == 0 || m_accepted == 0 ? 1 : 0;
    }

private:
    void changes(Duration length)
    {
        bool connected = false;
        m_connection.connect(m_options.http, 1s, [&](std::error_code error) { connected = !error; });
        m_context.run_for(200ms);
        if (connected) {
            change();
            m_context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(length));
        }
    }

    void change()
    {
        HttpRequest request;
        request.method = "PUT";
        request.target = "/v1/resources/limits/measured-" + makeUuid7();
        request.authorization = "Bearer " + m_options.token;
        request.body = boost::json::serialize(boost::json::object {{"version", 0}, {"change_id", makeUuid7()}, {"spec", boost::json::object {{"slots", 3}}}});
        m_changedAt = Clock::now();
        m_connection.exchange(request, 1s, [this](HttpExchange &&exchange) {
            if (exchange.error || exchange.response.status != 200) {
                std::cerr << "change refused: " << exchange.response.status << ' ' << exchange.response.body << '\n';
                return;
            }
            ++m_accepted;
            m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(changeInterval));
            m_timer.async_wait([this](const boost::system::error_code &error) {
                if (!error) {
                    change();
                }
            });
        });
    }

    /// A proxy received a version; the time counts from when the operator sent the change.
    void seen(std::uint64_t version)
    {
        if (m_changedAt == TimePoint {}) {
            return;
        }
        const auto elapsed = std::chrono::duration<double, std::milli>(Clock::now() - m_changedAt).count();
        m_anyPush.push_back(elapsed);
        if (version != m_version) {
            m_version = version;
            m_arrived = 0;
        }
        if (++m_arrived == m_options.proxies) {
            m_lastPush.push_back(elapsed);
        }
    }

    LoadOptions m_options;
    boost::asio::io_context m_context {1};
    LoadTotals m_totals;
    std::vector<std::unique_ptr<FakeProxy>> m_proxies;
    HttpConnection m_connection;
    boost::asio::steady_timer m_timer;
    TimePoint m_changedAt;
    std::uint64_t m_version = 0;
    int m_arrived = 0;
    int m_accepted = 0;
    std::vector<double> m_anyPush;
    std::vector<double> m_lastPush;
};

} // namespace

int main(int argc, char **argv)
{
    auto parsed = optionTable().parse(argc, argv);
    const auto &options = parsed.options;
    if (!parsed.isHelp && (options.link.empty() || options.http.empty() || options.pid.empty())) {
        parsed.errors.emplace_back("--link, --http and --pid are required.");
    }
    LinkKey key;
    if (!options.keyFile.empty()) {
        if (const auto loaded = loadLinkKey(options.keyFile)) {
            key = loaded.value();
        } else {
            parsed.errors.push_back(options.keyFile + ": " + loaded.error().message());
        }
    }
    if (parsed.isHelp || !parsed.errors.empty()) {
        for (const auto &error : parsed.errors) {
            std::cerr << error << '\n';
        }
        std::cerr << "Usage: waxwing-control-load --link IP:PORT --http IP:PORT --pid PID [options]\n" << optionTable().help();
        return parsed.isHelp ? 0 : 2;
    }
    return Load(options, key).run();
}
