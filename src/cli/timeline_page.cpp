#include "timeline_page.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace agateseam
{

namespace
{

constexpr int lane_height_px = 46;
constexpr int label_width_px = 140;
constexpr int plot_width_px = 1400;
constexpr int right_margin_px = 30;

std::string escape_html(std::string_view text)
{
    std::string html;
    for (const char character : text)
    {
        switch (character)
        {
        case '<':
            html += "&lt;";
            break;
        case '>':
            html += "&gt;";
            break;
        case '&':
            html += "&amp;";
            break;
        case '"':
            html += "&quot;";
            break;
        default:
            html += character;
        }
    }
    return html;
}

std::string make_tooltip(const event& item, std::uint64_t start_ms)
{
    std::ostringstream text;
    text << "+" << item.stamp.milliseconds() - start_ms << " ms " << to_string(item.kind);
    for (const std::string& part : {item.request, item.workspace, item.peer, item.detail})
    {
        text << (part.empty() ? "" : " ") << part;
    }
    text << (item.value != 0 ? " " + std::to_string(item.value) : "");
    return escape_html(text.str());
}

/// Returns a hue derived from the request's id, so that all marks of a request have the
/// same colour.
unsigned hue_of_request(const event& item)
{
    unsigned hue = 0;
    for (const char character : item.request)
    {
        hue = (hue * 31 + static_cast<unsigned char>(character)) % 360;
    }
    return hue;
}

} // namespace

std::string render_timeline_page(std::span<const event> events)
{
    std::map<std::string, int> lanes;
    for (const event& item : events)
    {
        lanes.try_emplace(item.process, 0);
    }
    int lane_count = 0;
    for (auto& [process, lane] : lanes)
    {
        lane = lane_count++;
    }
    const std::uint64_t start_ms =
        events.empty() ? 0 : events.front().stamp.milliseconds();
    const std::uint64_t end = events.empty() ? 1 : events.back().stamp.milliseconds();
    const double duration_ms = std::max<double>(1, static_cast<double>(end - start_ms));
    std::ostringstream page;
    page << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
            "<title>agateseam timeline</title><style>body{font:13px sans-serif}"
            "text{font-size:11px}</style><h1>Timeline</h1><p>"
         << events.size() << " events, " << lanes.size() << " processes, "
         << end - start_ms << " ms. Point at a mark to see its event.</p><svg width=\""
         << plot_width_px + label_width_px + right_margin_px << "\" height=\""
         << (lane_count + 1) * lane_height_px << "\">";
    for (const auto& [process, lane] : lanes)
    {
        const int center_y = lane * lane_height_px + lane_height_px / 2;
        page << "<text x=\"0\" y=\"" << center_y << "\">" << escape_html(process)
             << "</text><line x1=\"" << label_width_px << "\" x2=\""
             << plot_width_px + label_width_px << "\" y1=\"" << center_y << "\" y2=\""
             << center_y << "\" stroke=\"#ccc\"/>";
    }
    for (const event& item : events)
    {
        const double position =
            static_cast<double>(item.stamp.milliseconds() - start_ms) / duration_ms;
        const int center_y = lanes[item.process] * lane_height_px + lane_height_px / 2;
        page << "<circle cx=\"" << label_width_px + position * plot_width_px << "\" cy=\""
             << center_y << "\" r=\"5\" fill=\"hsl(" << hue_of_request(item)
             << ",70%,45%)\"><title>" << make_tooltip(item, start_ms)
             << "</title></circle>";
    }
    page << "</svg></html>\n";
    return page.str();
}

} // namespace agateseam
