/// An object store in memory for unit tests, with faults that a test lines up.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <agateseam/object_store.hpp>

namespace agateseam::fakes
{

/// What happens to one call.
enum class store_fault : std::uint8_t
{
    none,
    unavailable, ///< Refused, without effect.
    lost_before, ///< No answer, without effect.
    lost_after,  ///< No answer, after the effect.
    down_after   ///< No answer, after the effect; the store is down from then on.
};

/// \brief Objects in memory; safe for several threads.
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

    /// \brief Sets the fates of the next writes, in order; later ones succeed.
    void line_up(std::deque<store_fault> fates);

    /// \brief Refuses every call from now on, or none.
    void set_down(bool refuse);

    /// \brief Sets what is called just before each write takes effect.
    void before_write(std::function<void()> call);

    [[nodiscard]] std::size_t writes() const;
    [[nodiscard]] std::size_t reads() const;

  private:
    struct stored
    {
        std::string value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] result<void> check_up() const;
    [[nodiscard]] store_fault next_fate();
    [[nodiscard]] std::uint64_t version_of(std::string_view key) const;

    mutable std::mutex mutex;
    std::map<std::string, stored, std::less<>> objects;
    std::deque<store_fault> fates;
    std::function<void()> hook;
    std::uint64_t last_version = 0;
    std::size_t write_count = 0;
    std::size_t read_count = 0;
    bool down = false;
};

} // namespace agateseam::fakes
