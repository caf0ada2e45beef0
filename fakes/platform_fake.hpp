/// Stand-in for the platform's object API: versions, conditional updates, watches, the
/// list of VMs, and the faults that tests ask for.
///
/// GET    /objects/KEY                         value, ETag: "VERSION"
/// GET    /objects/KEY?after=N&wait_ms=M       waits for a version past N; 204 if none
/// came GET    /objects?prefix=P                    JSON list of {key, value, version}
/// PUT    /objects/KEY  If-Match: "N"          writes; If-None-Match: * creates; 412
/// otherwise DELETE /objects/KEY  If-Match: "N" GET    /vms JSON list of VMs, delayed by
/// the lag PUT    /admin/vms                           replaces that list at once in the
/// truth PUT    /admin/faults                        {"mode":
/// "ok|down|slow|lose_answers|hang",
///                                              "delay_ms": n, "share": 0..1, "seed": n}
/// GET    /admin/calls                         counters by kind, and the waiting watches
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief Where the stand-in listens and how far its VM list lags.
struct platform_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds vm_list_lag{2'000};
};

/// \brief The running stand-in.
class platform_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<platform_fake>>
    create(const platform_options& options);

    virtual ~platform_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes
