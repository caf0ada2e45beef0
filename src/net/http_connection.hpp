/// The state of one connection of the HTTP server.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>

#include <agateseam/memory_budget.hpp>

namespace agateseam
{

/// \brief A connection, which holds a socket and the library's buffers. While a complete
/// request is handled, these count as held by the request (`exchange_impl`).
class http_connection final : public memory_holder
{
  public:
    /// \param buffer_size memory of the library for the connection, in bytes.
    http_connection(memory_budget& shared_budget, int socket, std::size_t buffer_size);
    ~http_connection() override;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// \brief Counts the socket and the buffers, from now on.
    void hold();
    /// \brief Stops counting them, because a request does.
    void lend();
    [[nodiscard]] std::size_t memory_size() const noexcept { return this->memory_bytes; }

    /// \brief Shuts the connection down. The library then sees it closed and frees it.
    void shut_down() const noexcept;

    void release(resource_shortage shortage) override;
    void recount() override;

    bool awaits_head = true; ///< No request is open, or its head is incomplete.
    std::chrono::steady_clock::time_point head_deadline;

  private:
    memory_budget* budget;
    int descriptor;
    std::size_t memory_bytes;
    std::atomic<bool> is_lent{false};
    /// The last answer may not have been read.
    std::atomic<bool> has_unsent_bytes{false};
};

} // namespace agateseam
