#include <daemon/server_sent_events.hpp>

namespace agateseam
{

namespace
{

constexpr std::string_view separator = "\n\n";

std::string_view field_value(std::string_view line, std::size_t colon) noexcept
{
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    return value;
}

server_sent_event parse_event(std::string_view block) noexcept
{
    server_sent_event event;
    while (!block.empty())
    {
        const std::size_t end = block.find('\n');
        const std::string_view line = block.substr(0, end);
        block =
            end == std::string_view::npos ? std::string_view{} : block.substr(end + 1);
        const std::size_t colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos)
        {
            continue;
        }
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = field_value(line, colon);
        if (name == "data")
        {
            event.data = value;
        }
        else if (name == "event")
        {
            event.name = value;
        }
        else if (name == "id")
        {
            event.id = value;
        }
    }
    return event;
}

} // namespace

void event_splitter::feed(std::string_view bytes)
{
    this->buffer.erase(0, this->offset);
    this->offset = 0;
    this->buffer.append(bytes);
}

std::optional<server_sent_event> event_splitter::next()
{
    while (true)
    {
        const std::size_t end = this->buffer.find(separator, this->offset);
        if (end == std::string::npos)
        {
            return {};
        }
        const std::string_view block =
            std::string_view(this->buffer).substr(this->offset, end - this->offset);
        this->offset = end + separator.size();
        const server_sent_event event = parse_event(block);
        if (!event.data.empty() || !event.name.empty())
        {
            return event;
        }
    }
}

std::string to_text(const server_sent_event& event)
{
    std::string text;
    if (!event.name.empty())
    {
        text.append("event: ").append(event.name).append("\n");
    }
    if (!event.id.empty())
    {
        text.append("id: ").append(event.id).append("\n");
    }
    text.append("data: ").append(event.data).append(separator);
    return text;
}

} // namespace agateseam
