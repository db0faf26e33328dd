// An endpoint falls silent with requests waiting for it at its daemon. Its address goes to an endpoint of another service.
// Rule ROUTE: no endpoint runs a request of a service to which no configuration allows it to go.

#include "standins.hh"

using namespace review;

int main()
{
    const bool trouble = begin();
    Store store("127.0.1.1");
    store.put("keyed.op", "config",
        configuration(3, { "alpha", "beta" },
            { { "/alpha/", "alpha", "idempotent" }, { "/orders/", "alpha", "non_idempotent" },
                { "/beta/", "beta", "idempotent" } }));
    Machine first("machine-1", "127.0.1.11", "north", "alpha", store.address());
    Machine second("machine-2", "127.0.1.12", "north", "beta", store.address());
    Endpoint endpoint(first.app, first.control, "north", { "i-alpha-1", "alpha", 4, wallMilliseconds() });
    Endpoint other(second.app, second.control, "north", { "i-beta-1", "beta", 40, wallMilliseconds() });
    first.start();
    second.start();
    first.waitUntilReady();
    second.waitUntilReady();
    sleepFor(2);
    // Usual traffic, one request after the other.
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served
            += exchange(second.outbound, "GET", "/alpha/warm?ms=100", "warm-" + std::to_string(i), 5000).response.status() == 200;
    if (served < 18) {
        RECORD("only %d of 20 requests were served before the disruption", served);
        finish(2);
    }
    sleepFor(3.5);
    if (trouble)
        endpoint.fallSilent();
    const double silentAt = now();
    // The address may go to another endpoint 2 s (addr_reuse_s) after this one has ended. Clients go on sending meanwhile.
    std::vector<std::thread> clients;
    for (int i = 0; i < 24; ++i) {
        sleepUntil(silentAt + 0.1 * i);
        clients.emplace_back([&, i] {
            const auto id = (i % 2 ? "order-" : "read-") + std::to_string(i);
            exchange(second.outbound, i % 2 ? "POST" : "GET", i % 2 ? "/orders/put?ms=100" : "/alpha/read?ms=100", id, 5000);
        });
    }
    sleepUntil(silentAt + 2.6);
    if (trouble) {
        first.setService("beta");
        endpoint.replace({ "i-beta-2", "beta", 40, wallMilliseconds() });
    }
    for (auto& client : clients)
        client.join();
    int wrong = 0;
    for (const auto& run : endpoint.runs())
        wrong += run.service != "alpha" && run.target.rfind("/beta/", 0) != 0;
    RECORD("requests of routes /alpha/ and /orders/ that an endpoint of service beta ran: %d", wrong);
    printf("requests that ran at the wrong service: %d\n", wrong);
    finish(wrong ? 1 : 0);
}
