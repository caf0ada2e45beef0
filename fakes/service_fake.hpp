/// Stand-in for a plain service: runs every call after a delay and counts the runs.
///
/// ANY /...                    runs; the answer names the run's number
/// GET /admin/runs             JSON list of {"path", "key", "request"} in order of
/// running PUT /admin/faults           {"die_after_run": true} runs, then cuts the
/// connection
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief Where the stand-in listens and how long a run takes.
struct service_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds delay{20};
};

/// \brief The running stand-in.
class service_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<service_fake>>
    create(const service_options& options);

    virtual ~service_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes
