#include "policy/RequestQueue.h"

#include <algorithm>

namespace shallot {

void RequestQueue::push(QueueItem& item)
{
    auto& classQueue = m_classes[std::min<size_t>(item.priority, queueClasses - 1)];
    auto& queue = classQueue.organisations[item.organisation];
    queue.items.push_back(item);
    item.queued = true;
    ++queue.length;
    ++classQueue.length;
    ++m_size;
}

void RequestQueue::remove(QueueItem& item)
{
    if (item.queued)
        unlink(m_classes[std::min<size_t>(item.priority, queueClasses - 1)], item.organisation, item);
}

void RequestQueue::unlink(ClassQueue& classQueue, const std::string& organisation, QueueItem& item)
{
    const auto found = classQueue.organisations.find(organisation);
    item.unlink();
    item.queued = false;
    --found->second.length;
    --classQueue.length;
    --m_size;
    if (!found->second.length)
        classQueue.organisations.erase(found);
}

QueueItem* RequestQueue::pop()
{
    for (size_t i = queueClasses; i-- > 0;) {
        if (m_classes[i].length)
            return popFrom(m_classes[i]);
    }
    return nullptr;
}

QueueItem* RequestQueue::popFrom(ClassQueue& classQueue)
{
    auto next = classQueue.organisations.upper_bound(classQueue.lastServed);
    if (next == classQueue.organisations.end())
        next = classQueue.organisations.begin();
    classQueue.lastServed = next->first;
    auto& item = next->second.items.front();
    unlink(classQueue, classQueue.lastServed, item);
    return &item;
}

QueueItem* RequestQueue::evictionCandidate()
{
    for (auto& classQueue : m_classes) {
        if (!classQueue.length)
            continue;
        const auto longest = std::max_element(classQueue.organisations.begin(), classQueue.organisations.end(),
            [](const auto& a, const auto& b) { return a.second.length < b.second.length; });
        return &longest->second.items.back();
    }
    return nullptr;
}

std::vector<QueueItem*> RequestQueue::takeExpired(TimePoint now)
{
    std::vector<QueueItem*> expired;
    for (auto& classQueue : m_classes) {
        for (auto& [organisation, queue] : classQueue.organisations) {
            for (auto& item : queue.items) {
                if (item.deadline <= now)
                    expired.push_back(&item);
            }
        }
    }
    for (auto* item : expired)
        remove(*item);
    return expired;
}

} // namespace shallot
