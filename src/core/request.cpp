#include <agateseam/request.hpp>

namespace agateseam
{

std::string_view to_string(run_state state) noexcept
{
    switch (state)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(backend_kind kind) noexcept
{
    switch (kind)
    {
    case backend_kind::prefill:
        return "prefill";
    case backend_kind::decode:
        return "decode";
    case backend_kind::service:
        break;
    }
    return "service";
}

} // namespace agateseam
