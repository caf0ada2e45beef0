/// The types of the event loop, which runs coroutines on one thread, with timers and a
/// signal to wait for.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include <time.h>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <agateseam/clock.hpp>

namespace agateseam
{

namespace asio = boost::asio;

using io_error = boost::system::error_code;
using event_loop = asio::io_context;
using loop_executor = event_loop::executor_type;
using tcp_endpoint = asio::ip::tcp::endpoint;
using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, loop_executor>;
using tcp_acceptor = asio::basic_socket_acceptor<asio::ip::tcp, loop_executor>;
using udp_socket = asio::basic_datagram_socket<asio::ip::udp, loop_executor>;
using loop_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>,
                               loop_executor>;

/// A coroutine that runs on the event loop.
template <typename T>
using task = asio::awaitable<T, loop_executor>;

/// Returns a completion token that awaits an operation and stores its error in `fault`
/// instead of throwing it.
inline auto store_error_in(io_error& fault)
{
    return asio::redirect_error(asio::use_awaitable_t<loop_executor>{}, fault);
}

/// \brief Logs an exception that left a coroutine. The coroutine ends, the process goes
/// on.
void log_exception(const std::exception_ptr& thrown);

/// \brief Starts a coroutine in the background; an exception that leaves it is logged.
template <typename Coroutine>
void spawn(event_loop& loop, Coroutine&& coroutine)
{
    asio::co_spawn(loop.get_executor(), std::forward<Coroutine>(coroutine),
                   [](const std::exception_ptr& thrown)
                   {
                       if (thrown)
                       {
                           log_exception(thrown);
                       }
                   });
}

/// \brief A clock that goes on while the machine is suspended.
///
/// The deadlines of callers go on during a suspension, which the steady clock leaves out.
class boot_clock final : public clock_source
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point{std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec)};
    }

    [[nodiscard]] wall_time wall_now() const noexcept override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

/// \brief Returns the time by the boot clock.
[[nodiscard]] inline time_point boot_now() noexcept
{
    return boot_clock{}.now();
}

/// \brief Wakes coroutines that wait for a change.
///
/// A coroutine checks its condition, then waits; nothing else runs between the two,
/// because the loop has one thread. Each waiting coroutine has its own timer: setting a
/// shared one again would wake all the others needlessly.
class wake_signal
{
  public:
    explicit wake_signal(event_loop& io_loop)
        : loop(&io_loop)
    {
    }

    void notify()
    {
        ++this->notifications;
        for (loop_timer* timer : this->waiting)
        {
            timer->cancel();
        }
    }

    /// \brief Waits for the next `notify`, at most for `timeout`.
    /// \returns whether `notify` was called.
    task<bool> wait_for(duration timeout)
    {
        const auto before = this->notifications;
        loop_timer timer(*this->loop);
        io_error ignored; // The count tells a notification from an expiry.
        timer.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
        this->waiting.push_back(&timer);
        co_await timer.async_wait(store_error_in(ignored));
        std::erase(this->waiting, &timer);
        co_return this->notifications != before;
    }

  private:
    event_loop* loop;
    std::vector<loop_timer*> waiting;
    std::uint64_t notifications = 0;
};

/// \brief Returns the read buffer that all coroutines of the thread share.
///
/// Its bytes must be copied before the coroutine suspends again. A buffer in each
/// coroutine would cost its size for each connection.
[[nodiscard]] std::span<char> shared_read_buffer() noexcept;

/// \brief Suspends the coroutine for `delay`.
inline task<void> pause_for(event_loop& loop, duration delay)
{
    loop_timer timer(loop);
    io_error ignored;
    timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    co_await timer.async_wait(store_error_in(ignored));
}

/// \brief Runs a function at a deadline, unless the timer is disarmed or destroyed
/// before.
class deadline_timer
{
  public:
    explicit deadline_timer(event_loop& loop)
        : timer(loop)
    {
    }

    ~deadline_timer() { this->disarm(); }
    deadline_timer(const deadline_timer&) = delete;
    deadline_timer& operator=(const deadline_timer&) = delete;

    template <typename Action>
    void arm(duration delay, Action action)
    {
        this->timer.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
        const std::uint64_t armed = ++*this->generation;
        this->timer.async_wait(
            [action = std::move(action), current = this->generation,
             armed](const io_error& fault)
            {
                if (!fault && *current == armed)
                {
                    action();
                }
            });
    }

    void disarm()
    {
        // A timer that has expired already can't be cancelled: its handler is queued.
        ++*this->generation;
        this->timer.cancel();
    }

  private:
    loop_timer timer;
    std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
};

} // namespace agateseam
