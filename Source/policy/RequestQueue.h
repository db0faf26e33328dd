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

// What the queue needs to know of a waiting request. The owner embeds it in its own record.
struct QueueItem : QueueHook {
    uint64_t id { 0 };
    uint8_t priority { 0 };
    std::string organisation;
    TimePoint deadline {};
    bool queued { false };
};

// Waiting requests: strictly by class, round robin between organisations within a class, first come first served within
// an organisation. Holds no ownership.
class RequestQueue {
public:
    void push(QueueItem&);
    void remove(QueueItem&);
    // The next request to run; null when none waits.
    QueueItem* pop();
    // The request to give up for a more important one: the newest of the longest organisation of the lowest class.
    QueueItem* evictionCandidate();
    // Removes the requests whose deadline has passed.
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
        std::string lastServed; // Round robin goes on after this name
        size_t length { 0 };
    };

    void unlink(ClassQueue&, const std::string& organisation, QueueItem&);
    QueueItem* popFrom(ClassQueue&);

    std::array<ClassQueue, queueClasses> m_classes;
    size_t m_size { 0 };
};

} // namespace shallot
