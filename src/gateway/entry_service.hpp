/// Runs one entry: its listeners, its link to the platform and its shutdown.
#pragma once

#include <memory>

#include <gateway/entry_state.hpp>
#include <gateway/peer_exchange.hpp>
#include <gateway/platform_link.hpp>
#include <gateway/request_pipeline.hpp>

namespace agateseam
{

/// \brief Factory of the parts that differ between a platform and a stand-in.
class entry_environment
{
  public:
    virtual ~entry_environment() = default;
    [[nodiscard]] virtual std::unique_ptr<backend_dialect> make_dialect() = 0;
    [[nodiscard]] virtual std::unique_ptr<platform_link>
    make_link(event_loop& loop, const gateway_settings& settings,
              std::uint64_t incarnation, platform_listener& listener) = 0;
};

/// \brief Runs one entry until SIGTERM or SIGINT has been handled.
/// \param settings_file read again at SIGHUP and at a fixed interval.
/// \returns the exit code: 0 when all requests ended, 1 when some were cut off.
[[nodiscard]] result<int> run_entry(const gateway_settings& settings,
                                    const std::string& settings_file,
                                    entry_environment& environment);

} // namespace agateseam
