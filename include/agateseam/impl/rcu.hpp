/// Wrappers of liburcu that register each thread with it at the thread's first call.
#pragma once

namespace agateseam::impl
{

/// \brief Begins a read-side critical section on this thread.
void rcu_begin_read() noexcept;

/// \brief Ends the read-side critical section that `rcu_begin_read` began.
void rcu_end_read() noexcept;

/// \brief Waits until every read-side critical section that began before the call has
/// ended.
void rcu_wait_for_readers();

[[nodiscard]] const void* rcu_load_pointer(const void* const* slot) noexcept;
[[nodiscard]] const void* rcu_exchange_pointer(const void** slot,
                                               const void* next) noexcept;

template <typename T>
[[nodiscard]] const T* rcu_load(const T* const* slot) noexcept
{
    return static_cast<const T*>(
        rcu_load_pointer(reinterpret_cast<const void* const*>(slot)));
}

template <typename T>
[[nodiscard]] const T* rcu_exchange(const T** slot, const T* next) noexcept
{
    return static_cast<const T*>(
        rcu_exchange_pointer(reinterpret_cast<const void**>(slot), next));
}

} // namespace agateseam::impl
