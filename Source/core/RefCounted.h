#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace shallot {

// Base class of objects with an intrusive reference count, which callbacks keep alive. A process runs one main loop on one
// thread, so the count is not atomic.
template <typename T> using RefCounted = boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;
template <typename T> using RefPtr = boost::intrusive_ptr<T>;

template <typename T, typename... Args> RefPtr<T> makeRef(Args&&... args)
{
    return RefPtr<T>(new T(std::forward<Args>(args)...));
}

} // namespace shallot
