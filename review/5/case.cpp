// Many clients of one machine read long answers slowly. The daemon holds what they have not read.
// Rule LOST: a machine in touch passes requests from kept connections on to a sound endpoint and closes those connections
// without an answer, more than three times. A process that exceeds memory_mb is killed and counts as running all the while.

#include "standins.h"

using namespace review;

namespace {

constexpr int readers = 150;
constexpr size_t answerBytes = 3'000'000;
constexpr double bytesPerSecond = 750'000;  // 6 Mbit/s: the answer is read in 4 s; the deadline is 5 s
constexpr double arrivalSeconds = 2.5;      // The readers begin one after the other
constexpr long memoryLimitKB = 260L * 1024; // limits.memory_mb
constexpr int deadlineMs = 5000;

long residentKB(pid_t pid)
{
    FILE* file = fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
    if (!file)
        return 0;
    char line[256];
    long value = 0;
    while (fgets(line, sizeof line, file)) {
        if (!strncmp(line, "VmRSS:", 6))
            value = atol(line + 6);
    }
    fclose(file);
    return value;
}

int openConnection(const Address& address, bool slow)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int window = 8 * 1024;
    const int segment = 536;
    if (slow) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    const auto native = toSockaddr(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native)) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

bool readAnswer(int descriptor, const std::string& id, bool slow)
{
    if (!sendAll(descriptor, formatRequest("GET", "/files/get?bytes=" + std::to_string(answerBytes), id, deadlineMs)))
        return false;
    size_t received = 0;
    double firstByteAt = 0;
    std::string head;
    size_t headBytes = 0;
    while (!headBytes || received < headBytes + answerBytes) {
        char chunk[16'000];
        const ssize_t size = recv(descriptor, chunk, sizeof chunk, 0);
        if (size <= 0)
            return false;
        if (!received)
            firstByteAt = now();
        received += static_cast<size_t>(size);
        if (!headBytes) {
            head.append(chunk, static_cast<size_t>(size));
            const auto end = head.find("\r\n\r\n");
            headBytes = end == std::string::npos ? 0 : end + 4;
            if (headBytes && head.compare(9, 3, "200") != 0)
                return false;
        }
        if (slow)
            sleepUntil(firstByteAt + static_cast<double>(received) / bytesPerSecond);
    }
    return true;
}

} // namespace

int main()
{
    const bool trouble = begin();
    Store store("127.0.5.1");
    store.put("keyed.op", "config",
        configuration(3, { "files", "beta" }, { { "/files/", "files", "idempotent" }, { "/beta/", "beta", "idempotent" } }));
    Machine first("machine-1", "127.0.5.11", "north", "beta", store.address());
    Machine second("machine-2", "127.0.5.12", "north", "files", store.address());
    Machine third("machine-3", "127.0.5.13", "north", "files", store.address());
    Machine fourth("machine-4", "127.0.5.14", "north", "beta", store.address());
    Endpoint beta1(first.app, first.control, "north", { "i-beta-1", "beta", 40, wallMilliseconds() });
    Endpoint files1(second.app, second.control, "north", { "i-files-1", "files", 40, wallMilliseconds() });
    Endpoint files2(third.app, third.control, "north", { "i-files-2", "files", 40, wallMilliseconds() });
    Endpoint beta2(fourth.app, fourth.control, "north", { "i-beta-2", "beta", 40, wallMilliseconds() });
    for (auto* machine : { &first, &second, &third, &fourth })
        machine->start();
    for (auto* machine : { &first, &second, &third, &fourth })
        machine->waitUntilReady();
    sleepFor(2);
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        served += exchange(first.outbound, "GET", "/beta/warm?ms=20", "warm-b-" + std::to_string(i), 5000).response.status() == 200;
        served += exchange(first.outbound, "GET", "/files/warm?bytes=1000", "warm-f-" + std::to_string(i), 5000).response.status() == 200;
    }
    if (served < 18) {
        RECORD("only %d of 20 requests were served before the disruption", served);
        finish(2);
    }
    sleepFor(3.2);

    // The platform: kills a process that exceeds its memory.
    std::atomic<bool> over { false };
    std::atomic<bool> killed { false };
    std::atomic<long> peakKB { 0 };
    std::thread platform([&] {
        while (!over) {
            const long resident = residentKB(first.pid());
            peakKB = std::max(peakKB.load(), resident);
            if (resident > memoryLimitKB && !killed.exchange(true)) {
                RECORD("platform: the daemon of machine-1 holds %ld MB, more than 260 MB: killed", resident / 1024);
                first.signal(SIGKILL);
            }
            sleepFor(0.01);
        }
    });

    // Clients of machine-1 with kept connections: requests of 200 ms, one after the other.
    std::atomic<bool> stop { false };
    std::atomic<int> lost { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> clients;
    for (int i = 0; i < 12; ++i) {
        clients.emplace_back([&, i] {
            std::string buffer;
            const int descriptor = connectTo(first.outbound, 1);
            for (int j = 0; descriptor >= 0 && !stop; ++j) {
                const auto id = "kept-" + std::to_string(i) + "-" + std::to_string(j);
                if (!sendAll(descriptor, formatRequest("GET", "/beta/read?ms=200", id, deadlineMs)))
                    break;
                Message response;
                if (readMessage(descriptor, buffer, response, 6)) {
                    ++answered;
                    continue;
                }
                bool passedOn = false;
                for (auto* endpoint : { &beta1, &beta2 }) {
                    for (const auto& run : endpoint->runs())
                        passedOn |= run.attempt == id;
                }
                lost += passedOn;
                RECORD("client of machine-1: attempt=%s on a kept connection: closed without an answer%s", id.c_str(),
                    passedOn ? ", it had been passed on" : "");
                break;
            }
            if (descriptor >= 0)
                close(descriptor);
        });
    }
    sleepFor(0.5);
    std::atomic<int> complete { 0 };
    std::vector<std::thread> downloads;
    RECORD("%d clients of machine-1 begin to read answers of %zu bytes%s", readers, answerBytes, trouble ? " slowly" : "");
    const double begun = now();
    for (int i = 0; i < readers; ++i) {
        downloads.emplace_back([&, i] {
            sleepUntil(begun + arrivalSeconds * i / readers);
            const int descriptor = openConnection(first.outbound, trouble);
            if (descriptor < 0)
                return;
            const auto id = "get-" + std::to_string(i);
            const bool whole = readAnswer(descriptor, id, trouble);
            complete += whole;
            RECORD("client of machine-1: attempt=%s: %s", id.c_str(), whole ? "complete" : "not complete");
            close(descriptor);
        });
    }
    for (auto& download : downloads)
        download.join();
    sleepFor(0.5);
    stop = true;
    for (auto& client : clients)
        client.join();
    over = true;
    platform.join();
    RECORD("peak memory of the daemon of machine-1: %ld MB; long answers complete: %d of %d", peakKB / 1024, complete.load(), readers);
    RECORD("requests of kept connections that were passed on and got no answer: %d; answered: %d", lost.load(), answered.load());
    printf("peak %ld MB%s; long answers complete: %d of %d; requests of kept connections passed on and not answered: %d\n",
        peakKB / 1024, killed ? ", killed" : "", complete.load(), readers, lost.load());
    finish(lost > 3 ? 1 : 0);
}
