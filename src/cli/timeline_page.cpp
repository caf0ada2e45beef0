#include "timeline_page.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace agateseam
{

namespace
{

constexpr int lane_height = 46;  // pixels
constexpr int name_width = 140;  // pixels
constexpr int page_width = 1400; // pixels
constexpr int page_margin = 30;  // pixels

std::string escaped(std::string_view text)
{
    std::string safe;
    for (const char character : text)
    {
        switch (character)
        {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

std::string title_of(const event& item, std::uint64_t origin)
{
    std::ostringstream text;
    text << "+" << item.stamp.milliseconds() - origin << " ms " << to_string(item.kind);
    for (const std::string& part : {item.request, item.workspace, item.peer, item.detail})
    {
        text << (part.empty() ? "" : " ") << part;
    }
    text << (item.value != 0 ? " " + std::to_string(item.value) : "");
    return escaped(text.str());
}

/// Marks of one request have one colour.
unsigned hue_of(const event& item)
{
    unsigned hue = 0;
    for (const char character : item.request)
    {
        hue = (hue * 31 + static_cast<unsigned char>(character)) % 360;
    }
    return hue;
}

} // namespace

std::string timeline_page(std::span<const event> events)
{
    std::map<std::string, int> lanes;
    for (const event& item : events)
    {
        lanes.try_emplace(item.process, 0);
    }
    int next = 0;
    for (auto& [process, lane] : lanes)
    {
        lane = next++;
    }
    const std::uint64_t origin = events.empty() ? 0 : events.front().stamp.milliseconds();
    const std::uint64_t end = events.empty() ? 1 : events.back().stamp.milliseconds();
    const double span = std::max<double>(1, static_cast<double>(end - origin));
    std::ostringstream page;
    page << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
            "<title>agateseam time line</title><style>body{font:13px sans-serif}"
            "text{font-size:11px}</style><h1>Time line</h1><p>"
         << events.size() << " events, " << lanes.size() << " processes, " << end - origin
         << " ms. Hold the pointer over a mark for its event.</p><svg width=\""
         << page_width + name_width + page_margin << "\" height=\""
         << (next + 1) * lane_height << "\">";
    for (const auto& [process, lane] : lanes)
    {
        const int middle = lane * lane_height + lane_height / 2;
        page << "<text x=\"0\" y=\"" << middle << "\">" << escaped(process)
             << "</text><line x1=\"" << name_width << "\" x2=\""
             << page_width + name_width << "\" y1=\"" << middle << "\" y2=\"" << middle
             << "\" stroke=\"#ccc\"/>";
    }
    for (const event& item : events)
    {
        const double share =
            static_cast<double>(item.stamp.milliseconds() - origin) / span;
        const int middle = lanes[item.process] * lane_height + lane_height / 2;
        page << "<circle cx=\"" << name_width + share * page_width << "\" cy=\"" << middle
             << "\" r=\"5\" fill=\"hsl(" << hue_of(item) << ",70%,45%)\"><title>"
             << title_of(item, origin) << "</title></circle>";
    }
    page << "</svg></html>\n";
    return page.str();
}

} // namespace agateseam
