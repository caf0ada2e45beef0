/// One slot of the blackboard: an immutable snapshot, replaced whole, read by
/// read-copy-update.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include <agateseam/forward_declarations.hpp>
#include <agateseam/impl/rcu.hpp>

namespace agateseam
{

/// \brief A view of the snapshot that was current when it was taken.
///
/// Holds a read-side critical section: keep it short, on one thread, and do not block.
template <typename T>
class snapshot
{
  public:
    explicit snapshot(const T* const* slot) noexcept
    {
        impl::rcu_enter();
        this->value = impl::rcu_load(slot);
    }

    ~snapshot() { impl::rcu_leave(); }

    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    /// \brief Tells whether anything has been published yet.
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

/// \brief A slot that holds the newest snapshot of one kind of state.
///
/// \code
/// published<member_list> members;
/// members.publish(std::make_unique<member_list>(next));
/// const auto current = members.read();
/// \endcode
///
/// \remarks Readers take no lock. A writer waits until every reader of the old snapshot
/// has left, so publish from a controller's thread only, never inside a read.
template <typename T>
class published
{
  public:
    published() = default;
    explicit published(std::unique_ptr<const T> first) noexcept
        : value(first.release())
    {
    }

    ~published() { delete this->value; }

    published(const published&) = delete;
    published& operator=(const published&) = delete;

    /// \brief Takes a view of the current snapshot; null before the first publication.
    [[nodiscard]] snapshot<T> read() const noexcept { return snapshot<T>(&this->value); }

    /// \brief Replaces the snapshot and frees the old one once no reader holds it.
    void publish(std::unique_ptr<const T> next)
    {
        const T* old = nullptr;
        {
            const std::scoped_lock hold(this->writer);
            old = impl::rcu_exchange(&this->value, next.release());
        }
        impl::rcu_wait();
        delete old;
    }

  private:
    std::mutex writer;
    const T* value = nullptr;
};

} // namespace agateseam
