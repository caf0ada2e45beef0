/// Stand-in for the platform's object API. It serves versioned objects, conditional
/// updates, watches and the list of VMs, and injects the faults that a test sets.
///
/// - `GET /objects/KEY`: returns the value, with the version in the header `ETag`.
/// - `GET /objects/KEY?after=N&wait_ms=M`: waits for a version above N; the answer is 204
///   if there is none in time.
/// - `GET /objects?prefix=P`: returns a JSON list of `{key, value, version}`.
/// - `PUT /objects/KEY` with `If-Match: "N"` replaces version N, and with
///   `If-None-Match: *` creates the object; the answer is 412 if the condition fails.
/// - `DELETE /objects/KEY` with `If-Match: "N"` removes version N.
/// - `GET /vms`: returns a JSON list of VMs as it was one list lag ago.
/// - `PUT /admin/vms`: sets the current list of VMs.
/// - `PUT /admin/faults {"mode": "ok|down|slow|lose_answers|hang", "delay_ms": n,
///   "share": 0..1, "seed": n}`: sets the injected faults.
/// - `GET /admin/calls`: returns the number of calls by kind and of waiting watches.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief Address, port and delay of the VM list of the stand-in.
struct platform_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds vm_list_lag{2'000};
};

/// \brief A running platform stand-in.
class platform_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<platform_fake>>
    create(const platform_options& options);

    virtual ~platform_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes
