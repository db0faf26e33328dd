// An endpoint falls silent with requests waiting for it at its daemon. Its address goes to an endpoint of another service.
// Rule ROUTE: no endpoint runs a request of a service to which no configuration allows it to go.

#include "standins.hh"

using namespace review;

int main()
{
    const bool trouble = environment("TROUBLE") != "0"; // TROUBLE=0: without the disruption
    begin(trouble);
    Store store("127.0.1.1");
    store.put("keyed.op", "config",
        configuration(3, { "alpha", "beta" },
            { { "/alpha/", "alpha", "idempotent" }, { "/orders/", "alpha", "non_idempotent" },
                { "/beta/", "beta", "idempotent" } }));
    // Three zones with an endpoint of each service. One of six endpoints is replaced.
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 0; i < 6; ++i) {
        const std::string service = i < 3 ? "alpha" : "beta";
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i % 3);
        machines.push_back(std::make_unique<Machine>(
            "machine-" + std::to_string(i + 1), "127.0.1." + std::to_string(11 + i), zone, service, store.address()));
        endpoints.push_back(std::make_unique<Endpoint>(machines.back()->app, machines.back()->control, zone,
            Incarnation { "i-" + service + "-" + std::to_string(i % 3 + 1), service, i < 3 ? 13U : 53U, wallMilliseconds() }));
        machines.back()->start();
    }
    for (auto& machine : machines)
        machine->waitUntilReady();
    auto& endpoint = *endpoints.front();
    sleepFor(2);

    // The clients are on the machines of beta, as many in each zone: 80 requests a second of 400 ms, every other one an order.
    // The three endpoints of alpha have room for 90.
    std::vector<std::thread> clients;
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    constexpr double interval = 1.0 / 80;
    constexpr int before = 400;
    constexpr int during = 208; // In 2.6 s
    const double begun = now();
    for (int i = 0; i < before + during; ++i) {
        sleepUntil(begun + interval * i);
        if (i == before && trouble)
            endpoint.fallSilent();
        clients.emplace_back([&, i] {
            const auto id = (i % 2 ? "order-" : "read-") + std::to_string(i);
            const auto attempt = exchange(machines[static_cast<size_t>(3 + i % 3)]->outbound, i % 2 ? "POST" : "GET",
                i % 2 ? "/orders/put?ms=400" : "/alpha/read?ms=400", id, 5000);
            served += attempt.response.status() == 200;
            refused += attempt.response.status() == 503;
        });
        if (i == before - 1 && served < before / 2) {
            RECORD("only %d of %d requests were served before the disruption", served.load(), before);
            finish(2);
        }
    }
    // addr_reuse_s (2 s) after the endpoint fell silent its address may go to another service.
    if (trouble) {
        machines.front()->setService("beta");
        endpoint.replace({ "i-beta-4", "beta", 53, wallMilliseconds() });
    }
    for (auto& client : clients)
        client.join();
    RECORD("served %d, refused %d", served.load(), refused.load());
    int wrong = 0;
    for (const auto& run : endpoint.runs())
        wrong += run.service != "alpha" && run.target.rfind("/beta/", 0) != 0;
    RECORD("requests of routes /alpha/ and /orders/ that an endpoint of service beta ran: %d", wrong);
    printf("requests that ran at the wrong service: %d\n", wrong);
    finish(wrong ? 1 : 0);
}
