#pragma once

#include "core/RequestContext.h"
#include "core/Time.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <map>
#include <string>
#include <vector>

namespace shallot {

using QueueHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// The properties of a waiting request that the queue uses. The owner embeds it in its own record.
struct QueueItem : QueueHook {
    uint64_t id { 0 };
    uint8_t priority { 0 };
    std::string organisation;
    TimePoint deadline {};
    bool queued { false };
};

// Queue of waiting requests: strict priority between classes, round robin between the organisations of a class, FIFO within an
// organisation. Does not own the items.
class RequestQueue {
public:
    void push(QueueItem&);
    void remove(QueueItem&);
    // Removes and returns the next request to run; null when the queue is empty.
    QueueItem* pop();
    // The request to shed in favour of a more important one: the newest request of the organisation with the most requests in the
    // lowest class that has any. Null when the queue is empty.
    QueueItem* evictionCandidate();
    // Removes and returns the requests whose deadline has passed.
    std::vector<QueueItem*> takeExpired(TimePoint now);
    size_t size() const { return m_size; }

private:
    using ItemList = boost::intrusive::list<QueueItem, boost::intrusive::constant_time_size<false>>;

    struct OrganisationQueue {
        ItemList items;
        size_t length { 0 };
    };

    struct ClassQueue {
        std::map<std::string, OrganisationQueue> organisations;
        std::string lastServed; // Round robin continues after this organisation
        size_t length { 0 };
    };

    void unlink(ClassQueue&, const std::string& organisation, QueueItem&);
    QueueItem* popFrom(ClassQueue&);

    std::array<ClassQueue, queueClasses> m_classes;
    size_t m_size { 0 };
};

} // namespace shallot
