// Stand-in for the platform's append-only log service.
//   POST /append                  appends the body as one record
//   GET  /records?from=N&max=M    reads at most M records from offset N on
//   POST /faults                  injects faults: {"down": bool, "loseAcknowledgements": bool, "appendsPerSecond": n, "retain":
//   n}

#include "core/JSON.h"
#include "core/Log.h"
#include "net/HTTPExchange.h"
#include "net/HTTPServer.h"
#include "standins/LogStore.h"

#include <chrono>
#include <glib.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

using namespace shallot;

namespace {

int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

uint64_t queryNumber(const std::string& target, const std::string& name, uint64_t fallback)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? fallback : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

void handleAppend(LogStore& store, const RefPtr<HTTPExchange>& exchange)
{
    const auto outcome = store.append(exchange->request().body, wallClockMs());
    if (outcome == LogStore::AppendOutcome::Stored)
        exchange->respondJSON(200, "{\"offset\":" + std::to_string(store.next() - 1) + "}");
    else
        exchange->respondJSON(503, "{}");
}

void handleRead(const LogStore& store, const RefPtr<HTTPExchange>& exchange)
{
    const auto& target = exchange->request().target;
    JSONWriter writer;
    writer.beginObject().add("first", store.first()).add("next", store.next()).beginArray("records");
    for (const auto& record : store.read(queryNumber(target, "from", 0), queryNumber(target, "max", 500)))
        writer.beginObject().add("offset", record.offset).add("timeMs", record.timeMs).add("bytes", record.bytes).endObject();
    writer.endArray().endObject();
    exchange->respondJSON(200, writer.finish());
}

void handleFaults(LogStore& store, const RefPtr<HTTPExchange>& exchange)
{
    const auto root = parseJSONObject(exchange->request().body);
    JsonObject* object = root ? json_node_get_object(root.get()) : nullptr;
    store.faults().down = jsonBoolean(object, "down", store.faults().down);
    store.faults().loseAcknowledgements = jsonBoolean(object, "loseAcknowledgements", store.faults().loseAcknowledgements);
    store.faults().appendsPerSecond
        = static_cast<uint32_t>(jsonNumber(object, "appendsPerSecond", store.faults().appendsPerSecond));
    if (const auto retain = jsonNumber(object, "retain", -1); retain >= 0)
        store.retain(static_cast<size_t>(retain));
    exchange->respondJSON(200, "{}");
}

} // namespace

int main(int argc, char** argv)
{
    const auto address = parseSocketAddress(argc > 1 ? argv[1] : "127.0.0.1:9000");
    if (!address) {
        std::cerr << "standin-logd: " << address.error().detail << "\n";
        return 2;
    }
    LogStore store;
    HTTPServer server;
    HTTPServerLimits limits;
    limits.maximumBodyBytes = 8 * 1024 * 1024;
    const auto started = server.start(*address, limits, [&store](const RefPtr<HTTPExchange>& exchange) {
        if (exchange->path() == "/faults")
            handleFaults(store, exchange);
        else if (store.faults().down)
            exchange->respondJSON(503, "{}");
        else if (exchange->path() == "/append")
            handleAppend(store, exchange);
        else
            handleRead(store, exchange);
    });
    if (!started) {
        std::cerr << "standin-logd: " << started.error().detail << "\n";
        return 1;
    }
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
    return 0;
}
