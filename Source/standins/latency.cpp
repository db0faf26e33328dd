// Measures the latency of sequential requests over a keep-alive connection: standin-latency IP:PORT PATH KEY CALLS.
// Prints p50 and p99 in milliseconds and the number of calls per second.

#include "core/Log.h"
#include "core/Time.h"
#include "net/HTTPPool.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <glib.h>
#include <vector>

INITIALIZE_EASYLOGGINGPP

using namespace shallot;

namespace {

constexpr int warmUpCalls = 500;

class LatencyBenchmark {
public:
    LatencyBenchmark(const SocketAddress& address, HTTPRequest request, int calls)
        : m_request(std::move(request))
        , m_calls(std::clamp(calls, 1, 100'000))
    {
        m_pool.setAddress(address);
    }

    // Returns false when a call failed.
    bool run()
    {
        m_loop = g_main_loop_new(nullptr, FALSE);
        sendNext();
        g_main_loop_run(m_loop);
        g_main_loop_unref(m_loop);
        if (m_failed)
            return false;
        std::sort(m_latenciesMs.begin(), m_latenciesMs.end());
        const auto quantile = [this](double fraction) {
            return m_latenciesMs[static_cast<size_t>(fraction * static_cast<double>(m_latenciesMs.size() - 1))];
        };
        std::printf("%.4f %.4f %.0f\n", quantile(0.5), quantile(0.99), m_calls / toSeconds(MonotonicClock::now() - m_start));
        return true;
    }

private:
    void sendNext()
    {
        if (m_done == warmUpCalls)
            m_start = MonotonicClock::now();
        const auto sentAt = MonotonicClock::now();
        m_pool.send(static_cast<uint64_t>(m_done) + 1, m_request, [this, sentAt](const Result<HTTPResponse>& response) {
            m_failed = !response || response->status != 200;
            if (m_done >= warmUpCalls)
                m_latenciesMs.push_back(toSeconds(MonotonicClock::now() - sentAt) * 1000);
            if (m_failed || ++m_done == m_calls + warmUpCalls) {
                g_main_loop_quit(m_loop);
                return;
            }
            // Sends the next request from the main loop, because the connection becomes idle only after this callback returns.
            g_idle_add_full(
                G_PRIORITY_HIGH,
                [](gpointer data) -> gboolean {
                    static_cast<LatencyBenchmark*>(data)->sendNext();
                    return G_SOURCE_REMOVE;
                },
                this, nullptr);
        });
    }

    HTTPPool m_pool;
    HTTPRequest m_request;
    GMainLoop* m_loop { nullptr };
    std::vector<double> m_latenciesMs;
    TimePoint m_start {};
    int m_calls;
    int m_done { 0 };
    bool m_failed { false };
};

} // namespace

int main(int argc, char** argv)
{
    const auto address = argc == 5 ? parseSocketAddress(argv[1]) : fail(ErrorKind::BadRequest);
    if (!address) {
        std::fprintf(stderr, "usage: standin-latency IP:PORT PATH KEY CALLS\n");
        return 2;
    }
    HTTPRequest request { "GET", argv[2], { { "Host", "shallot" }, { "Authorization", std::string("Bearer ") + argv[3] } }, {} };
    LatencyBenchmark benchmark(*address, std::move(request), std::atoi(argv[4]));
    return benchmark.run() ? 0 : 1;
}
