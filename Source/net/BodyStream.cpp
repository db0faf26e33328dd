#include "net/BodyStream.h"

#include "core/ByteBudget.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t pieceBytes = 64 * 1024; // Smaller deliveries are joined up to this size

// A handler may replace or clear itself while it runs.
void call(const std::function<void()>& handler)
{
    if (const auto running = handler)
        running();
}

} // namespace

BodyStream::BodyStream(ByteBudget& budget)
    : m_budget(budget)
{
}

BodyStream::~BodyStream()
{
    m_budget.remove(bufferedBytes());
}

void BodyStream::setProducer(std::function<void()> onCredit, std::function<void()> onAbandoned)
{
    m_onCredit = std::move(onCredit);
    m_onAbandoned = std::move(onAbandoned);
}

void BodyStream::setConsumer(std::function<void()> onReadable)
{
    m_onReadable = std::move(onReadable);
}

bool BodyStream::hasCredit() const
{
    if (m_ended || m_abandoned)
        return false;
    return !m_buffered || m_budget.hasRoom() || (m_buffered < minimumWindow && m_budget.hasRoomForLeast());
}

void BodyStream::push(std::string_view bytes)
{
    if (m_ended || m_abandoned || bytes.empty())
        return;
    const RefPtr<BodyStream> protect(this);
    if (m_pieces.empty() || m_pieces.back().size() + bytes.size() > pieceBytes)
        m_pieces.emplace_back(bytes);
    else
        m_pieces.back().append(bytes);
    m_buffered += bytes.size();
    m_pushed += bytes.size();
    m_budget.add(bytes.size());
    call(m_onReadable);
}

void BodyStream::end(Result<void> result)
{
    if (std::exchange(m_ended, true))
        return;
    const RefPtr<BodyStream> protect(this);
    m_result = std::move(result);
    m_onCredit = nullptr;
    m_onAbandoned = nullptr;
    notifyEnd();
    if (!m_abandoned)
        call(m_onReadable);
}

std::string BodyStream::take(size_t maximumBytes)
{
    const RefPtr<BodyStream> protect(this);
    if (!m_buffered || !maximumBytes)
        return {};
    auto& piece = m_pieces.front();
    const auto size = std::min(maximumBytes, piece.size() - m_taken);
    const bool endsPiece = m_taken + size == piece.size();
    auto bytes = !m_taken && endsPiece ? std::move(piece) : piece.substr(m_taken, size);
    m_taken += size;
    if (endsPiece) {
        m_pieces.pop_front();
        m_taken = 0;
    }
    m_buffered -= size;
    m_budget.remove(size);
    if (hasCredit())
        call(m_onCredit);
    return bytes;
}

void BodyStream::abandon()
{
    if (std::exchange(m_abandoned, true))
        return;
    const RefPtr<BodyStream> protect(this);
    m_budget.remove(std::exchange(m_buffered, 0));
    m_pieces.clear();
    m_taken = 0;
    m_onReadable = nullptr;
    m_onCredit = nullptr;
    if (const auto onAbandoned = std::exchange(m_onAbandoned, nullptr))
        onAbandoned();
    notifyEnd();
}

void BodyStream::notifyEnd()
{
    if (const auto onEnd = std::exchange(m_onEnd, nullptr))
        onEnd();
}

} // namespace shallot
