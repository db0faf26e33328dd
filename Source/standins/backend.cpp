// Stand-in for a backend server: announces itself to its daemon, runs a bounded number of requests concurrently, makes nested
// calls, and counts violations: API keys that reach it and idempotency keys that run twice.
//   GET /stats        {"ran": n, "doubles": n, "keys": n}
//   POST /drain       announces that it is draining

#include "core/JSON.h"
#include "core/Log.h"
#include "core/RequestID.h"
#include "net/HTTPExchange.h"
#include "net/HTTPPool.h"
#include "net/HTTPServer.h"
#include "net/Timer.h"

#include <deque>
#include <glib.h>
#include <iostream>
#include <map>
#include <tclap/CmdLine.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

using namespace shallot;

namespace {

struct BackendOptions {
    std::string service;
    SocketAddress listen;
    SocketAddress egress; // The daemon's loopback port
    uint32_t slots { 8 };
    double latencyMs { 2 };
    std::string nestedCallPath; // Path of the nested call that each request makes; empty at the end of a call chain
};

class Backend {
public:
    explicit Backend(BackendOptions options)
        : m_options(std::move(options))
        , m_boot(toHex(makeRandomRequestID()))
    {
        m_egress.setAddress(m_options.egress);
    }

    Result<void> start()
    {
        auto started = m_server.start(m_options.listen, {}, [this](const RefPtr<HTTPExchange>& exchange) { handle(exchange); });
        if (started) {
            announce();
            m_announceTimer.startRepeating(std::chrono::milliseconds(500), [this] { announce(); });
            m_workTimer.startRepeating(std::chrono::milliseconds(1), [this] { finishWork(); });
        }
        return started;
    }

private:
    struct Work {
        TimePoint due {};
        RefPtr<HTTPExchange> exchange;
    };

    void announce()
    {
        JSONWriter writer;
        writer.beginObject()
            .add("service", m_options.service)
            .add("address", m_options.listen.toString())
            .add("slots", m_options.slots);
        writer.add("state", m_draining ? "draining" : "serving").add("boot", m_boot).endObject();
        m_egress.send(m_nextID++, { "POST", "/shallot/announce", { { "Host", m_options.egress.toString() } }, writer.finish() },
            [](const Result<HTTPResponse>&) {});
    }

    void handle(const RefPtr<HTTPExchange>& exchange)
    {
        if (exchange->path() == "/stats") {
            exchange->respondJSON(200,
                "{\"ran\":" + std::to_string(m_startedRequests) + ",\"doubles\":" + std::to_string(m_duplicateRuns)
                    + ",\"keys\":" + std::to_string(m_leakedKeys) + "}");
            return;
        }
        if (exchange->path() == "/drain") {
            m_draining = true;
            announce();
            exchange->respondJSON(200, "{}");
            return;
        }
        countViolations(exchange->request());
        if (exchange->request().target.find("crash=1") != std::string::npos)
            _exit(3);
        m_waiting.push_back(exchange);
        runWaiting();
    }

    // Counts API keys, which must never reach a backend server, and idempotency keys that run twice.
    void countViolations(const HTTPRequest& request)
    {
        for (const auto& [name, value] : request.headers) {
            if (equalsIgnoringCase(name, "authorization") || equalsIgnoringCase(name, "x-api-key")
                || value.find("secret-key") != std::string::npos)
                ++m_leakedKeys;
        }
        if (request.target.find("secret-key") != std::string::npos || request.body.find("secret-key") != std::string::npos)
            ++m_leakedKeys;
        const auto key = findHeader(request.headers, "Idempotency-Key");
        if (!key.empty() && request.method == "POST" && ++m_runsByKey[std::string(key)] > 1)
            ++m_duplicateRuns;
    }

    void runWaiting()
    {
        while (m_running < m_options.slots && !m_waiting.empty()) {
            const auto exchange = m_waiting.front();
            m_waiting.pop_front();
            ++m_running;
            ++m_startedRequests;
            if (m_options.latencyMs <= 0 && m_options.nestedCallPath.empty()) {
                finish(exchange, 200, "");
                continue;
            }
            m_working.push_back({ MonotonicClock::now() + fromSeconds(m_options.latencyMs / 1000), exchange });
        }
    }

    // Requests finish in the order in which they started, because all take the same time.
    void finishWork()
    {
        while (!m_working.empty() && m_working.front().due <= MonotonicClock::now()) {
            const auto exchange = m_working.front().exchange;
            m_working.pop_front();
            if (m_options.nestedCallPath.empty())
                finish(exchange, 200, "");
            else
                makeNestedCall(exchange);
        }
    }

    void makeNestedCall(const RefPtr<HTTPExchange>& exchange)
    {
        const auto token = std::string(findHeader(exchange->request().headers, "X-Shallot-Token"));
        HTTPRequest request { "GET", m_options.nestedCallPath,
            { { "Host", m_options.egress.toString() }, { "X-Shallot-Token", token } }, {} };
        m_egress.send(m_nextID++, request, [this, exchange](const Result<HTTPResponse>& response) {
            if (response && response->status == 200)
                finish(exchange, 200, " < " + response->body);
            else
                finish(exchange, 503, "");
        });
    }

    // Echoes the target, so that the client can verify that the response belongs to its request.
    void finish(const RefPtr<HTTPExchange>& exchange, uint16_t status, const std::string& nestedResponse)
    {
        --m_running;
        exchange->respond({ status, { { "Content-Type", "text/plain" } },
            exchange->request().target + " by " + m_options.service + nestedResponse });
        runWaiting();
    }

    BackendOptions m_options;
    std::string m_boot;
    HTTPServer m_server;
    HTTPPool m_egress;
    Timer m_announceTimer;
    Timer m_workTimer;
    std::deque<Work> m_working;
    std::deque<RefPtr<HTTPExchange>> m_waiting;
    std::map<std::string, int> m_runsByKey;
    uint64_t m_nextID { 1 };
    uint64_t m_startedRequests { 0 };
    uint64_t m_duplicateRuns { 0 };
    uint64_t m_leakedKeys { 0 };
    uint32_t m_running { 0 };
    bool m_draining { false };
};

} // namespace

int main(int argc, char** argv)
{
    BackendOptions options;
    try {
        TCLAP::CmdLine line("Stand-in backend server");
        TCLAP::ValueArg<std::string> service("", "service", "service name", true, "", "text", line);
        TCLAP::ValueArg<std::string> listen("", "listen", "IP:port", true, "", "text", line);
        TCLAP::ValueArg<std::string> egress("", "egress", "the daemon's egress IP:port", true, "", "text", line);
        TCLAP::ValueArg<uint32_t> slots("", "slots", "maximum number of concurrent requests", false, options.slots, "n", line);
        TCLAP::ValueArg<double> latency("", "latency-ms", "service time of a request", false, options.latencyMs, "ms", line);
        TCLAP::ValueArg<std::string> onward("", "onward", "path of the nested call", false, "", "path", line);
        line.parse(argc, argv);
        options.service = service.getValue();
        options.listen = parseSocketAddress(listen.getValue()).value_or(SocketAddress());
        options.egress = parseSocketAddress(egress.getValue()).value_or(SocketAddress());
        options.slots = slots.getValue();
        options.latencyMs = latency.getValue();
        options.nestedCallPath = onward.getValue();
    } catch (const TCLAP::ArgException& exception) {
        std::cerr << "standin-backend: " << exception.error() << "\n";
        return 2;
    }
    Backend backend(options);
    if (const auto started = backend.start(); !started) {
        std::cerr << "standin-backend: " << started.error().detail << "\n";
        return 1;
    }
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
    return 0;
}
