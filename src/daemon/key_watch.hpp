/// Tells open requests that their API key has been withdrawn.
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

/// The state of the key with which a request was admitted.
enum class key_state : std::uint8_t
{
    valid,
    withdrawn,    ///< A running stream may finish, but nothing new may begin.
    withdrawn_cut ///< A running stream is cut as well.
};

/// The state of a request's key, written by `key_watch` and read by the request.
using key_flag = std::shared_ptr<const std::atomic<key_state>>;

/// \brief The keys of the open requests; thread-safe.
class key_watch
{
  public:
    /// \brief Follows a key for as long as the flag is held.
    /// \param board read after the key is registered, so that no withdrawal is missed in
    /// between.
    [[nodiscard]] key_flag add(std::string_view key_id,
                               const published<configuration_view>& board);

    /// \brief Updates the state of every followed key from a configuration.
    void update_states(const configuration_view& view);

  private:
    struct entry
    {
        std::string key_id;
        std::weak_ptr<std::atomic<key_state>> flag;
    };

    void prune_ended();

    std::mutex mutex;
    std::vector<entry> entries;
    std::size_t prune_at = 64; ///< Size at which entries of ended requests are removed.
};

} // namespace agateseam
