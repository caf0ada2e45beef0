/// Thin calls into liburcu; each thread registers itself at its first read.
#pragma once

namespace agateseam::impl
{

void rcu_enter() noexcept;
void rcu_leave() noexcept;

/// \brief Waits until every read that began before the call has ended.
void rcu_wait();

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
