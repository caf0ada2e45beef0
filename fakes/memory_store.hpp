/// An in-memory object store for unit tests, with faults that a test queues.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <agateseam/object_store.hpp>

namespace agateseam::fakes
{

/// The fault that is injected into one write.
enum class store_fault : std::uint8_t
{
    none,
    unavailable, ///< The write is refused and has no effect.
    lost_before, ///< The answer is lost; the write has no effect.
    lost_after,  ///< The answer is lost; the write takes effect.
    down_after   ///< Like `lost_after`; later calls are refused.
};

/// \brief Keeps objects in memory; all member functions are thread-safe.
class memory_store final : public object_store
{
  public:
    [[nodiscard]] result<object_record> get(std::string_view key) override;
    [[nodiscard]] result<std::vector<object_record>>
    list(std::string_view prefix) override;
    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected_version) override;
    [[nodiscard]] result<void> remove(std::string_view key,
                                      std::uint64_t expected_version) override;
    [[nodiscard]] result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) override;
    [[nodiscard]] result<std::vector<vm_record>> vms() override;

    /// \brief Sets the faults of the next writes, in order; later writes succeed.
    void queue_faults(std::deque<store_fault> faults);

    /// \brief Sets whether `get`, `put`, `remove` and `watch` fail as unavailable.
    void set_down(bool refuse);

    /// \brief Sets a function that `put` calls before each write, without the lock.
    void set_before_write_hook(std::function<void()> hook);

    [[nodiscard]] std::size_t writes() const;
    [[nodiscard]] std::size_t reads() const;

  private:
    struct stored_object
    {
        std::string value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] result<void> check_available() const;
    [[nodiscard]] store_fault take_next_fault();
    [[nodiscard]] std::uint64_t version_of(std::string_view key) const;

    mutable std::mutex mutex;
    std::map<std::string, stored_object, std::less<>> objects;
    std::deque<store_fault> queued_faults;
    std::function<void()> before_write_hook;
    std::uint64_t last_version = 0;
    std::size_t write_count = 0;
    std::size_t read_count = 0;
    bool down = false;
};

} // namespace agateseam::fakes
