// See claim.txt.
#include "../standins-2/lab.hh"

#include <algorithm>

using namespace lab;

namespace {

constexpr double refusedShare = 0.55; // srv_grey, how "shed all", x = 0.55 for 8.5 s
constexpr double greyTime = 8.5;
constexpr double extraShare = 0.03; // garble, how "extra late", share 0.6, x = 0.03 for 5 s
constexpr double garbleTime = 5;
constexpr int rounds = 6;
constexpr double pauseTime = 2; // Between two rounds
constexpr int machineCount = 6; // The first one has the clients, the others the backend servers of the orders
constexpr size_t garbledServers = 3;
constexpr int clientCount = 32;
constexpr double requestGap = 0.04; // Of one client

struct Sent {
    int status { 0 }; // 0: no whole answer
};

std::mutex sentMutex;
std::map<std::string, Sent> sentRequests;

// Sends orders, each of them once, on a kept connection.
void callAll(const Machine& machine, int client, Record& record, const std::atomic<bool>& stop)
{
    int fd = -1;
    std::unique_ptr<Reader> reader;
    for (int i = 0; !stop; ++i) {
        const double next = now() + requestGap;
        if (fd < 0) {
            fd = connectTo(machine.ip, machine.outbound());
            reader = std::make_unique<Reader>(fd);
        }
        const auto attempt = "c" + std::to_string(client) + "-" + std::to_string(i);
        const std::string body = "order " + attempt;
        Message answer;
        record.line("sent %s", attempt.c_str());
        const bool answered = fd >= 0
            && sendAll(fd, "POST /orders/x HTTP/1.1\r\nHost: app.example\r\nShallottrack-Attempt-Id: " + attempt
                       + "\r\nShallottrack-Deadline-Ms: 5000\r\nShallottrack-Credential: key-1\r\nContent-Length: "
                       + std::to_string(body.size()) + "\r\n\r\n" + body)
            && reader->read(answer, 6) == 1;
        const int status = answered ? answer.status() : 0;
        record.line("answered %s %d", attempt.c_str(), status);
        {
            const std::lock_guard lock(sentMutex);
            sentRequests[attempt] = { status };
        }
        if (!answered || answer.header("Connection") == "close") {
            close(fd);
            fd = -1;
        }
        sleepUntil(next);
    }
}

} // namespace

int main(int, char** arguments)
{
    startTime();
    Record record(arguments[1]);
    const auto folder = temporaryFolder();
    const int base = freePorts(10);
    Store store("127.0.0.1", base + 8);
    store.put("keyed.op", "config",
        R"({"version":"r1","services":[{"name":"front","health_path":"/health","max_connections":862,"protocol":"h1","tls":false},)"
        R"({"name":"orders","health_path":"/health","max_connections":862,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
        R"("tenants":[{"name":"school","api_keys":["key-1"],"priority":1}],"virtual_hosts":[{"host":"app.example","paths":[)"
        R"({"name":"order","path_prefix":"/orders/","kind":"non_idempotent","timeout_s":5,"target_latency_s":3,"priority":0,)"
        R"("service":"orders","attempts":1,"anonymous":false},)"
        R"({"name":"pack","path_prefix":"/packs/","kind":"download","timeout_s":2,"target_latency_s":0.5,"priority":1,)"
        R"("service":"front","attempts":2,"anonymous":false}]}]})");
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<Machine*> all;
    for (int i = 0; i < machineCount; ++i) {
        machines.push_back(std::make_unique<Machine>(Machine { "sidecar-" + std::to_string(i + 1),
            "127.0.0." + std::to_string(11 + i), "z1", i ? "orders" : "front", base, "127.0.0.1:" + std::to_string(base + 8), {},
            -1 }));
        machines.back()->start(folder);
        endpoints.push_back(std::make_unique<Endpoint>(*machines.back(), "i-" + std::to_string(i + 1), record));
        endpoints.back()->workTime = 0.02;
        all.push_back(machines.back().get());
    }
    const auto endAll = [&] {
        for (auto* machine : all)
            machine->end();
    };
    if (!waitUntilReady(all, 20)) {
        std::puts("could not run: the daemons are not ready");
        record.line("could not run: the daemons are not ready");
        endAll();
        finish(folder, 2);
    }
    sleepFor(3);
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client)
        clients.emplace_back([=, &machines, &record, &stop] { callAll(*machines[0], client, record, stop); });
    sleepFor(2);
    for (int round = 0; round < rounds; ++round) {
        const double begin = now();
        if (hasTrouble()) {
            record.line("the backend servers refuse a part of their requests");
            for (size_t i = 1; i < endpoints.size(); ++i)
                endpoints[i]->refusedShare = refusedShare;
            sleepUntil(begin + 2);
            record.line("some backend servers send extra answers");
            for (size_t i = 1; i <= garbledServers; ++i)
                endpoints[i]->extraShare = extraShare;
        }
        sleepUntil(begin + 2 + garbleTime);
        for (const auto& endpoint : endpoints)
            endpoint->extraShare = 0;
        sleepUntil(begin + greyTime);
        for (const auto& endpoint : endpoints)
            endpoint->refusedShare = 0;
        sleepFor(pauseTime);
    }
    stop = true;
    for (auto& client : clients)
        client.join();
    sleepFor(0.5);
    std::map<std::string, int> runCounts;
    for (const auto& endpoint : endpoints) {
        for (const auto& run : endpoint->runs())
            ++runCounts[run.attempt];
    }
    size_t twice = 0;
    size_t refused = 0;
    size_t served = 0;
    for (const auto& [attempt, sent] : sentRequests) {
        const int count = runCounts[attempt];
        served += sent.status == 200 ? 1 : 0;
        if (count > 1) {
            ++twice;
            record.line("RULE BROKEN: TWICE %s ran %d times, its client got %d", attempt.c_str(), count, sent.status);
        }
        if (count && (sent.status == 429 || sent.status == 503 || sent.status == 408 || sent.status == 421)) {
            ++refused;
            record.line("RULE BROKEN: REFUSED %s ran %d times, its client got %d", attempt.c_str(), count, sent.status);
        }
    }
    const bool running = std::all_of(all.begin(), all.end(), [](const auto* machine) { return machine->isRunning(); });
    endAll();
    std::printf("%zu orders sent, %zu answered 200; %zu ran more than once; %zu were answered as not run and had run\n",
        sentRequests.size(), served, twice, refused);
    if (!running || !served)
        finish(folder, 2);
    finish(folder, twice || refused ? 1 : 0);
}
