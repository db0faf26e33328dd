// Load generator that stands in for callers: sends requests of several organisations at fixed rates to several daemons, verifies
// that every response is complete and belongs to its request, and prints the results of each organisation.
//   standin-caller --targets IP:PORT,... --seconds 5 --load NAME:KEY:METHOD:PATH:RATE [--load ...]

#include "core/Log.h"
#include "core/RequestID.h"
#include "core/Time.h"
#include "net/HTTPPool.h"
#include "net/Timer.h"

#include <algorithm>
#include <cstdio>
#include <glib.h>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

INITIALIZE_EASYLOGGINGPP

using namespace shallot;

namespace {

constexpr auto responseTimeout = std::chrono::seconds(5);

struct Load {
    std::string name;
    std::string key;
    std::string method;
    std::string path;
    double rate { 0 };
    double pendingRequests { 0 };
    uint64_t sent { 0 };
    uint64_t served { 0 };
    uint64_t mismatched { 0 };
    std::map<std::string, uint64_t> failuresByReason;
    std::vector<double> latenciesMs;
};

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

class Caller {
public:
    Caller(const std::vector<std::string>& targets, std::vector<Load> loads, double seconds)
        : m_loads(std::move(loads))
        , m_seconds(seconds)
    {
        for (const auto& target : targets) {
            m_pools.push_back(std::make_unique<HTTPPool>());
            m_pools.back()->setAddress(parseSocketAddress(target).value_or(SocketAddress()));
        }
    }

    void start(GMainLoop* loop)
    {
        m_start = MonotonicClock::now();
        m_last = m_start;
        m_timer.startRepeating(std::chrono::milliseconds(1), [this, loop] {
            const auto now = MonotonicClock::now();
            if (toSeconds(now - m_start) < m_seconds)
                sendDue(now);
            else if (!m_open || now - m_start > fromSeconds(m_seconds) + responseTimeout)
                g_main_loop_quit(loop);
        });
    }

    void print() const
    {
        std::printf("%-22s %7s %7s %6s %6s %8s %8s  %s\n", "organisation", "sent", "served", "wrong", "lost", "p50 ms", "p99 ms",
            "refused and why");
        for (const auto& load : m_loads) {
            auto latencies = load.latenciesMs;
            std::sort(latencies.begin(), latencies.end());
            const auto quantile = [&](double fraction) {
                return latencies.empty() ? 0.0
                                         : latencies[std::min(latencies.size() - 1,
                                             static_cast<size_t>(fraction * static_cast<double>(latencies.size())))];
            };
            uint64_t answered = load.served + load.mismatched;
            std::string reasons;
            for (const auto& [reason, count] : load.failuresByReason) {
                answered += count;
                reasons += reason + " " + std::to_string(count) + "  ";
            }
            std::printf("%-22s %7lu %7lu %6lu %6lu %8.2f %8.2f  %s\n", load.name.c_str(), load.sent, load.served, load.mismatched,
                load.sent - answered, quantile(0.5), quantile(0.99), reasons.c_str());
        }
    }

    uint64_t mismatched() const
    {
        uint64_t total = 0;
        for (const auto& load : m_loads)
            total += load.mismatched;
        return total;
    }

    uint64_t served() const
    {
        uint64_t total = 0;
        for (const auto& load : m_loads)
            total += load.served;
        return total;
    }

private:
    void sendDue(TimePoint now)
    {
        const double passed = toSeconds(now - m_last);
        m_last = now;
        for (auto& load : m_loads) {
            load.pendingRequests += load.rate * passed;
            for (; load.pendingRequests >= 1; load.pendingRequests -= 1)
                send(load);
        }
    }

    void send(Load& load)
    {
        const uint64_t id = m_nextID++;
        const auto marker = toHex(makeRandomRequestID());
        const auto target = load.path + "?mark=" + marker;
        HTTPRequest request { load.method, target, { { "Host", "shallot" } }, {} };
        if (!load.key.empty())
            request.headers.emplace_back("Authorization", "Bearer " + load.key);
        if (load.method == "POST")
            request.headers.emplace_back("Idempotency-Key", marker);
        ++load.sent;
        ++m_open;
        const auto sentAt = MonotonicClock::now();
        m_pools[id % m_pools.size()]->send(id, request, [this, &load, marker, sentAt](const Result<HTTPResponse>& response) {
            --m_open;
            const double latencyMs = toSeconds(MonotonicClock::now() - sentAt) * 1000;
            if (!response) {
                ++load.failuresByReason[std::string("connection:") + std::string(errorInfo(response.error().kind).name)];
                return;
            }
            const auto error = findHeader(response->headers, "X-Shallot-Error");
            if (!error.empty() || response->status != 200) {
                ++load.failuresByReason[error.empty() ? std::to_string(response->status) : std::string(error)];
                return;
            }
            if (response->body.find(marker) == std::string::npos) {
                ++load.mismatched;
                return;
            }
            ++load.served;
            load.latenciesMs.push_back(latencyMs);
        });
    }

    std::vector<std::unique_ptr<HTTPPool>> m_pools;
    std::vector<Load> m_loads;
    double m_seconds;
    Timer m_timer;
    TimePoint m_start {};
    TimePoint m_last {};
    uint64_t m_nextID { 1 };
    uint64_t m_open { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    std::vector<Load> loads;
    std::vector<std::string> targets;
    double seconds = 5;
    try {
        TCLAP::CmdLine line("Stand-in callers");
        TCLAP::ValueArg<std::string> targetList(
            "", "targets", "ingress addresses of the daemons, separated by commas", true, "", "list", line);
        TCLAP::ValueArg<double> duration("", "seconds", "duration of the load, at most 60", false, seconds, "s", line);
        TCLAP::MultiArg<std::string> loadList("", "load", "NAME:KEY:METHOD:PATH:RATE", true, "text", line);
        line.parse(argc, argv);
        targets = split(targetList.getValue(), ',');
        seconds = std::min(60.0, duration.getValue());
        for (const auto& text : loadList.getValue()) {
            const auto parts = split(text, ':');
            if (parts.size() != 5) {
                std::cerr << "standin-caller: --load: \"" << text << "\" is not NAME:KEY:METHOD:PATH:RATE\n";
                return 2;
            }
            Load load { parts[0], parts[1], parts[2], parts[3] };
            load.rate = std::min(20'000.0, std::strtod(parts[4].c_str(), nullptr));
            loads.push_back(load);
        }
    } catch (const TCLAP::ArgException& exception) {
        std::cerr << "standin-caller: " << exception.error() << "\n";
        return 2;
    }
    Caller caller(targets, std::move(loads), seconds);
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    caller.start(loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    caller.print();
    return caller.mismatched() || !caller.served() ? 1 : 0;
}
