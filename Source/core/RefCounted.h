#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace shallot {

// Base of objects that callbacks keep alive. One process runs one main loop on one thread, so the count needs no atomics.
template <typename T> using RefCounted = boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;
template <typename T> using RefPtr = boost::intrusive_ptr<T>;

template <typename T, typename... Args> RefPtr<T> makeRef(Args&&... args)
{
    return RefPtr<T>(new T(std::forward<Args>(args)...));
}

} // namespace shallot
