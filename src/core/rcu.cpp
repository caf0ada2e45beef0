#include <agateseam/impl/rcu.hpp>

#include <atomic>

#include <urcu/urcu-memb.h>

namespace agateseam::impl
{

namespace
{

/// Keeps the calling thread registered with liburcu until it ends.
struct thread_registration
{
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;
};

#if defined(__SANITIZE_THREAD__)
/// Shows the thread sanitizer the order that liburcu, which is not instrumented, keeps.
std::atomic<unsigned> readers_left{0};
void note_leave() noexcept
{
    readers_left.fetch_add(1, std::memory_order_acq_rel);
}
void note_wait() noexcept
{
    readers_left.fetch_add(1, std::memory_order_acq_rel);
}
#else
void note_leave() noexcept {}
void note_wait() noexcept {}
#endif

void register_this_thread()
{
    static thread_local const thread_registration registration;
    static_cast<void>(registration);
}

} // namespace

void rcu_enter() noexcept
{
    register_this_thread();
    urcu_memb_read_lock();
}

void rcu_leave() noexcept
{
    note_leave();
    urcu_memb_read_unlock();
}

void rcu_wait()
{
    register_this_thread();
    urcu_memb_synchronize_rcu();
    note_wait();
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
