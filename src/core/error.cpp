#include <agateseam/error.hpp>

#include <array>

namespace agateseam
{

std::string_view to_string(error_code code) noexcept
{
    constexpr std::array<std::string_view, 10> names{
        "invalid",     "not_found", "conflict", "unauthorized", "exhausted",
        "unavailable", "timeout",   "broken",   "cancelled",    "internal"};
    return names[static_cast<std::size_t>(code)];
}

std::string error::to_string() const
{
    std::string text = this->step;
    if (!this->peer.empty())
    {
        text += " at " + this->peer;
    }
    text += ": " + this->description;
    text += " (" + std::string(agateseam::to_string(this->code)) + ")";
    return text;
}

tl::unexpected<error> fail(error_code code, std::string_view step, std::string_view peer,
                           std::string_view description)
{
    return tl::unexpected<error>(
        error{code, std::string(step), std::string(peer), std::string(description)});
}

} // namespace agateseam
