#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace shallot {

class ByteBudget;

// The rest of a body that is still arriving: a pipe from the connection that receives it to the one that sends it on. The
// producer stops at `minimumWindow` bytes that the consumer has not taken, unless the budget of the process has room for more.
// When the process holds twice its budget, a body gets credit only once all of it was taken.
class BodyStream : public RefCounted<BodyStream> {
public:
    static constexpr size_t minimumWindow = 64 * 1024;

    // The budget must outlive the stream.
    explicit BodyStream(ByteBudget&);
    ~BodyStream();

    // For the producer. The handlers: there is credit again; the consumer needs no more bytes. Neither is called after end().
    void setProducer(std::function<void()> onCredit, std::function<void()> onAbandoned);
    bool hasCredit() const;
    void push(std::string_view);
    // The body is complete, or what follows will never arrive. Later calls do nothing.
    void end(Result<void>);

    // For the consumer. The handler is called when there are new bytes or the end was reached.
    void setConsumer(std::function<void()> onReadable);
    // Up to that many bytes; empty only if there are none.
    std::string take(size_t maximumBytes);
    size_t bufferedBytes() const { return m_buffered; }
    // All bytes were taken and no more follow.
    bool isFinished() const { return m_ended && !bufferedBytes(); }
    // What ended it; no error if the body is complete. Only after the end.
    const Result<void>& result() const { return m_result; }
    bool isEnded() const { return m_ended; }
    // All bytes that the producer has delivered.
    uint64_t pushedBytes() const { return m_pushed; }
    // The consumer needs no more bytes.
    void abandon();

    // Called once, when the producer has ended the stream or the consumer has abandoned it.
    void setEndHandler(std::function<void()> handler) { m_onEnd = std::move(handler); }

private:
    void notifyEnd();

    ByteBudget& m_budget;
    std::function<void()> m_onCredit;
    std::function<void()> m_onAbandoned;
    std::function<void()> m_onReadable;
    std::function<void()> m_onEnd;
    std::deque<std::string> m_pieces; // Not taken; freed as they are, so that memory follows what the budget counts
    size_t m_taken { 0 };             // Of the first piece
    size_t m_buffered { 0 };
    uint64_t m_pushed { 0 };
    Result<void> m_result;
    bool m_ended { false };
    bool m_abandoned { false };
};

} // namespace shallot
