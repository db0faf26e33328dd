// A heartbeat of another writer, with a service that nobody named, reaches a daemon.
// Rule UNASKED: Shallottrack-Caller-Service is the service of the machine where the request began.

#include "standins.hh"

using namespace review;

int main()
{
    const bool trouble = environment("TROUBLE") != "0"; // TROUBLE=0: without the disruption
    begin(trouble);
    Store store("127.0.3.1");
    store.put("keyed.op", "config",
        configuration(3, { "alpha", "beta" }, { { "/alpha/", "alpha", "non_idempotent" }, { "/beta/", "beta", "idempotent" } }));
    Machine first("machine-1", "127.0.3.11", "north", "alpha", store.address());
    Machine second("machine-2", "127.0.3.12", "north", "beta", store.address());
    Endpoint alpha(first.app, first.control, "north", { "i-alpha-1", "alpha", 20, wallMilliseconds() });
    Endpoint beta(second.app, second.control, "north", { "i-beta-1", "beta", 20, wallMilliseconds() });
    first.start();
    second.start();
    first.waitUntilReady();
    second.waitUntilReady();
    sleepFor(2);
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        served
            += exchange(first.outbound, "GET", "/beta/warm?ms=20", "warm-b-" + std::to_string(i), 5000).response.status() == 200;
        served += exchange(second.outbound, "POST", "/alpha/warm?ms=20", "warm-a-" + std::to_string(i), 5000).response.status()
            == 200;
    }
    if (served < 18) {
        RECORD("only %d of 20 requests were served before the disruption", served);
        finish(2);
    }
    sleepFor(3.2);
    // One order is running at the endpoint when the heartbeat comes.
    Attempt running;
    std::thread client([&] { running = exchange(second.outbound, "POST", "/alpha/order?ms=800", "order-running", 5000); });
    sleepFor(0.3);
    if (trouble) {
        const int status = alpha.sendNotice("/shallottrack/Instances.Heartbeat/i-4f0c77aa",
            "{\"service\":\"zulu9\",\"addr\":\"127.0.3.99:8080\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":4,\"state\":"
            "\"ready\","
            "\"cold_left_s\":0,\"born\":"
                + std::to_string(wallMilliseconds()) + ",\"seq\":1}");
        RECORD("another writer: heartbeat of i-4f0c77aa with service zulu9, answered %d", status);
    }
    client.join();
    // Three heartbeats of the endpoint that really runs there come meanwhile.
    sleepFor(5);
    std::vector<Attempt> attempts;
    for (int i = 0; i < 10; ++i) {
        attempts.push_back(exchange(first.outbound, "GET", "/beta/read?ms=20", "read-b-" + std::to_string(i), 5000));
        attempts.push_back(exchange(second.outbound, "POST", "/alpha/order?ms=20", "order-" + std::to_string(i), 5000));
    }
    int wrong = 0;
    for (const auto& run : beta.runs()) {
        // All requests of route /beta/ began at machine-1, whose service is alpha.
        wrong += run.caller != "alpha";
    }
    int refused = 0;
    for (const auto& attempt : attempts)
        refused += attempt.target.rfind("/alpha/", 0) == 0 && attempt.response.status() != 200;
    RECORD("runs at beta with another Shallottrack-Caller-Service than alpha: %d", wrong);
    RECORD("besides: the order that was running got status %d; %d of 10 later orders were not served", running.response.status(),
        refused);
    printf("runs with a wrong caller service: %d; later orders not served: %d of 10\n", wrong, refused);
    finish(wrong ? 1 : 0);
}
