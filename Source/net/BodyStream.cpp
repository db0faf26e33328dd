#include "net/BodyStream.h"

#include "core/ByteBudget.h"

#include <algorithm>

namespace shallot {

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
    return !m_ended && !m_abandoned && (bufferedBytes() < minimumWindow || m_budget.hasRoom());
}

void BodyStream::push(std::string_view bytes)
{
    if (m_ended || m_abandoned || bytes.empty())
        return;
    const RefPtr<BodyStream> protect(this);
    m_buffer.append(bytes);
    m_budget.add(bytes.size());
    if (m_onReadable)
        m_onReadable();
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
    if (m_onReadable && !m_abandoned)
        m_onReadable();
}

std::string BodyStream::take(size_t maximumBytes)
{
    const RefPtr<BodyStream> protect(this);
    const auto size = std::min(maximumBytes, bufferedBytes());
    auto bytes = m_buffer.substr(m_taken, size);
    m_taken += size;
    m_budget.remove(size);
    // The buffer moves only when half of it was taken, so that a long one is not copied for each piece.
    if (m_taken * 2 >= m_buffer.size()) {
        m_buffer.erase(0, m_taken);
        m_taken = 0;
    }
    if (size && m_onCredit && hasCredit())
        m_onCredit();
    return bytes;
}

void BodyStream::abandon()
{
    if (std::exchange(m_abandoned, true))
        return;
    const RefPtr<BodyStream> protect(this);
    m_budget.remove(bufferedBytes());
    m_buffer.clear();
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
