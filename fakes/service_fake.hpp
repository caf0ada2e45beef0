/// Stand-in for a plain service. It answers every call after a delay and records each
/// run.
///
/// - Any method and path except `/admin/runs` and `/admin/faults`: runs the call; the
///   answer contains the number of the run.
/// - `GET /admin/runs`: returns a JSON list of `{"path", "key", "request", "saw_key"}` in
///   the order in which the calls arrived.
/// - `PUT /admin/faults {"die_after_run": true}`: runs later calls, but closes their
///   connections without an answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief Address, port and run duration of the stand-in.
struct service_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds delay{20};
};

/// \brief A running service stand-in.
class service_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<service_fake>>
    create(const service_options& options);

    virtual ~service_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes
