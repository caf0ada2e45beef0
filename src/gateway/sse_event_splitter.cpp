#include <gateway/sse_event_splitter.hpp>

#include <charconv>

namespace agateseam
{

namespace
{

constexpr std::string_view id_field = "id:";

/// Returns the position after the first blank line, or npos.
std::size_t find_event_end(std::string_view bytes) noexcept
{
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t with_returns = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_returns == std::string_view::npos)
    {
        return std::string_view::npos;
    }
    return with_returns < plain ? with_returns + 4 : plain + 2;
}

} // namespace

std::string sse_event_splitter::extract_complete_events(std::string_view bytes)
{
    this->partial_event += bytes;
    std::string_view left = this->partial_event;
    std::string events;
    std::size_t consumed = 0;
    for (std::size_t end = find_event_end(left); end != std::string_view::npos;
         end = find_event_end(left))
    {
        const std::string_view event = left.substr(0, end);
        const std::optional<std::int64_t> number = event_number(event);
        const bool already_relayed =
            number && this->resumed_after && *number <= *this->resumed_after;
        if (!already_relayed)
        {
            events += event;
            this->last_number = number ? number : this->last_number;
        }
        consumed += end;
        left.remove_prefix(end);
    }
    this->partial_event.erase(0, consumed);
    return events;
}

std::optional<std::int64_t> sse_event_splitter::event_number(std::string_view event)
{
    std::optional<std::int64_t> found;
    while (!event.empty())
    {
        const std::size_t line_end = event.find('\n');
        std::string_view line = event.substr(0, line_end);
        event = line_end == std::string_view::npos ? std::string_view{}
                                                   : event.substr(line_end + 1);
        if (!line.starts_with(id_field))
        {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        std::int64_t number = 0;
        const auto [stop, fault] =
            std::from_chars(line.data(), line.data() + line.size(), number);
        if (fault == std::errc{})
        {
            found = number;
        }
    }
    return found;
}

} // namespace agateseam
