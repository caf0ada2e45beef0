/// Tells requests under way that the key they came with has been withdrawn.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/published.hpp>

namespace agateseam
{

struct configuration_view;

/// What became of a request's key since it was admitted.
enum class key_state : std::uint8_t
{
    valid,
    withdrawn,    ///< A stream that runs may finish, nothing else may begin.
    withdrawn_cut ///< A stream that runs is cut as well.
};

/// A request's view of its key; changed by the watch, read by the request.
using key_flag = std::shared_ptr<const std::atomic<key_state>>;

/// \brief The keys of the requests under way; safe for several threads.
class key_watch
{
  public:
    /// \brief Follows a key for as long as the flag is held.
    /// \param board read once the key is followed, so that no withdrawal falls between.
    [[nodiscard]] key_flag add(std::string_view key_id,
                               const published<configuration_view>& board);

    /// \brief Marks the keys that a configuration no longer has.
    void check(const configuration_view& view);

  private:
    struct entry
    {
        std::string key_id;
        std::weak_ptr<std::atomic<key_state>> flag;
    };

    void drop_ended();

    std::mutex mutex;
    std::vector<entry> entries;
    std::size_t drop_at = 64; ///< Size at which ended requests are dropped.
};

} // namespace agateseam
