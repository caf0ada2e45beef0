/// A slot that holds an immutable snapshot of state shared between threads. A writer
/// replaces the whole snapshot; readers use read-copy-update (RCU).
#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include <agateseam/forward_declarations.hpp>
#include <agateseam/impl/rcu.hpp>

namespace agateseam
{

/// \brief Gives access to the snapshot that was current at the guard's construction.
///
/// The guard holds an RCU read-side critical section: keep its lifetime short, use it on
/// one thread only, and do not block while it exists.
template <typename T>
class snapshot_guard
{
  public:
    explicit snapshot_guard(const T* const* slot) noexcept
    {
        impl::rcu_begin_read();
        this->value = impl::rcu_load(slot);
    }

    ~snapshot_guard() { impl::rcu_end_read(); }

    snapshot_guard(const snapshot_guard&) = delete;
    snapshot_guard& operator=(const snapshot_guard&) = delete;

    /// \brief Tells whether a snapshot had been published.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return this->value != nullptr;
    }

    [[nodiscard]] const T* get() const noexcept { return this->value; }
    [[nodiscard]] const T& operator*() const noexcept { return *this->value; }
    [[nodiscard]] const T* operator->() const noexcept { return this->value; }

  private:
    const T* value = nullptr;
};

/// \brief Holds the newest snapshot of some state for any number of readers.
///
/// \code
/// published<member_list> members;
/// members.publish(std::make_unique<member_list>(next));
/// const auto current = members.read();
/// \endcode
///
/// \remarks Readers take no lock. `publish` blocks until the last reader of the old
/// snapshot has finished, so call it from a controller's thread only, and never while the
/// same thread holds a `snapshot_guard`.
template <typename T>
class published
{
  public:
    published() = default;
    explicit published(std::unique_ptr<const T> initial) noexcept
        : value(initial.release())
    {
    }

    ~published() { delete this->value; }

    published(const published&) = delete;
    published& operator=(const published&) = delete;

    /// \brief Returns access to the current snapshot; null before the first `publish`.
    [[nodiscard]] snapshot_guard<T> read() const noexcept
    {
        return snapshot_guard<T>(&this->value);
    }

    /// \brief Replaces the snapshot, waits until no reader uses the old one and frees it.
    void publish(std::unique_ptr<const T> next)
    {
        const T* old = nullptr;
        {
            const std::scoped_lock lock(this->writer_mutex);
            old = impl::rcu_exchange(&this->value, next.release());
        }
        impl::rcu_wait_for_readers();
        delete old;
    }

  private:
    std::mutex writer_mutex;
    const T* value = nullptr;
};

} // namespace agateseam
