#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "log/LogEntry.h"
#include "net/HTTPPool.h"

#include <functional>
#include <map>
#include <vector>

namespace shallot {

// One page of the log.
struct LogPage {
    uint64_t first { 0 }; // First offset that is still retained
    uint64_t next { 0 };  // Offset that the next appended record will get
    std::vector<StoredRecord> records;
};

// HTTP client of the platform's log service: POST /append, GET /records?from=N&max=M.
class LogClient {
public:
    using AppendCompletion = std::function<void(Result<void>)>;
    using ReadCompletion = std::function<void(Result<LogPage>)>;

    explicit LogClient(const SocketAddress&);

    void append(std::string bytes, TimePoint now, AppendCompletion);
    void read(uint64_t from, TimePoint now, ReadCompletion);
    // Fails requests that the log service has not answered within 1 s with LogUnavailable.
    void tick(TimePoint now);
    // Fault injection: while blocked, every request fails at once.
    void setBlocked(bool blocked) { m_blocked = blocked; }

private:
    using Completion = std::function<void(Result<HTTPResponse>)>;

    void send(HTTPRequest, TimePoint now, Completion);

    struct Pending {
        TimePoint deadline {};
        Completion completion;
    };

    std::string m_host;
    HTTPPool m_pool;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextID { 1 };
    bool m_blocked { false };
};

} // namespace shallot
