#include <agateseam/impl/rcu.hpp>

#include <atomic>

#include <urcu/urcu-memb.h>

namespace agateseam::impl
{

namespace
{

/// Registers the calling thread with liburcu until the thread ends.
struct thread_registration
{
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;
};

#if defined(__SANITIZE_THREAD__)
/// An atomic counter that shows the thread sanitizer the ordering which liburcu provides:
/// liburcu itself is not instrumented.
std::atomic<unsigned> ordering_marker{0};
void mark_read_end() noexcept
{
    ordering_marker.fetch_add(1, std::memory_order_acq_rel);
}
void mark_readers_awaited() noexcept
{
    ordering_marker.fetch_add(1, std::memory_order_acq_rel);
}
#else
void mark_read_end() noexcept {}
void mark_readers_awaited() noexcept {}
#endif

void register_this_thread()
{
    static thread_local const thread_registration registration;
    static_cast<void>(registration);
}

} // namespace

void rcu_begin_read() noexcept
{
    register_this_thread();
    urcu_memb_read_lock();
}

void rcu_end_read() noexcept
{
    mark_read_end();
    urcu_memb_read_unlock();
}

void rcu_wait_for_readers()
{
    register_this_thread();
    urcu_memb_synchronize_rcu();
    mark_readers_awaited();
}

const void* rcu_load_pointer(const void* const* slot) noexcept
{
    return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

const void* rcu_exchange_pointer(const void** slot, const void* next) noexcept
{
    return __atomic_exchange_n(slot, next, __ATOMIC_ACQ_REL);
}

} // namespace agateseam::impl
