#include "timeline.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <map>
#include <tuple>

namespace crocuslane {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

// Lengths in the picture, in SVG user units.
constexpr double laneHeight = 70.0;
constexpr double marginLeft = 150.0;
constexpr double marginRight = 40.0;
constexpr double marginTop = 50.0;
constexpr double plotWidth = 1200.0;
constexpr double markRadius = 5.0;
constexpr int tickCount = 8;
/// Distances of the label rows from the centre line of a lane.
constexpr std::array labelOffsets{-10.0, 18.0, -22.0, 30.0};

auto orderOf(const timeline_event &event)
{
    return std::tie(event.unixMilliseconds, event.logical, event.vm, event.kind, event.request, event.detail);
}

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            // XML allows no control characters.
            result += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
        }
    }
    return result;
}

/// Separate colours for failures and retries, changes of the deployment, completed work, and all other events.
std::string_view colourOf(std::string_view kind)
{
    constexpr std::array failures{"request_refused", "retried", "hedged", "escalated"};
    constexpr std::array deploymentChanges{
        "configuration_accepted", "freshness_changed", "duty_changed", "order_sent", "member_changed", "stopping"};
    constexpr std::array completions{"answer_finished", "bill_durable", "claim_decided"};
    const auto isIn = [kind](const auto &names) { return std::find(names.begin(), names.end(), kind) != names.end(); };
    if (isIn(failures)) {
        return "#c0392b";
    }
    if (isIn(deploymentChanges)) {
        return "#8e44ad";
    }
    return isIn(completions) ? "#27ae60" : "#2980b9";
}

class svg_picture
{
public:
    explicit svg_picture(const std::vector<timeline_event> &events)
        : m_events(events)
    {
        for (const timeline_event &event : events) {
            m_lanes.emplace(event.vm, 0);
        }
        std::size_t index = 0;
        for (auto &[vm, lane] : m_lanes) {
            lane = index++;
        }
        if (!events.empty()) {
            m_begin = events.front().unixMilliseconds;
            m_end = std::max(events.back().unixMilliseconds, m_begin + 1);
        }
    }

    std::string draw()
    {
        const double width = marginLeft + plotWidth + marginRight;
        const double height = marginTop + laneHeight * static_cast<double>(std::max<std::size_t>(m_lanes.size(), 1));
        m_text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" height=\"{1:.0f}\" "
                             "viewBox=\"0 0 {0:.0f} {1:.0f}\" font-family=\"sans-serif\" font-size=\"12\">\n"
                             "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
                             width,
                             height);
        drawAxis(height);
        for (const auto &[vm, lane] : m_lanes) {
            const double y = laneY(lane);
            m_text += fmt::format("<line x1=\"{0}\" y1=\"{2}\" x2=\"{1}\" y2=\"{2}\" stroke=\"#999\"/>\n"
                                  "<text x=\"10\" y=\"{3}\">{4}</text>\n",
                                  marginLeft,
                                  marginLeft + plotWidth,
                                  y,
                                  y + 4,
                                  escaped(vm));
        }
        drawRequests();
        for (const timeline_event &event : m_events) {
            drawMark(event);
        }
        return m_text + "</svg>\n";
    }

private:
    double timeX(std::int64_t milliseconds) const
    {
        return marginLeft
            + plotWidth * static_cast<double>(milliseconds - m_begin) / static_cast<double>(m_end - m_begin);
    }

    static double laneY(std::size_t lane)
    {
        return marginTop + laneHeight * (static_cast<double>(lane) + 0.5);
    }

    void drawAxis(double height)
    {
        m_text +=
            fmt::format("<text x=\"10\" y=\"18\">{} (UTC), {} events</text>\n", formatTime(m_begin), m_events.size());
        for (int tick = 0; tick <= tickCount; ++tick) {
            const std::int64_t time = m_begin + (m_end - m_begin) * tick / tickCount;
            m_text += fmt::format("<line x1=\"{0:.1f}\" y1=\"{1}\" x2=\"{0:.1f}\" y2=\"{2}\" stroke=\"#eee\"/>\n"
                                  "<text x=\"{0:.1f}\" y=\"{3}\" text-anchor=\"middle\">+{4} ms</text>\n",
                                  timeX(time),
                                  marginTop,
                                  height,
                                  marginTop - 8,
                                  time - m_begin);
        }
    }

    void drawRequests()
    {
        std::map<std::string, const timeline_event *> lastEvents;
        for (const timeline_event &event : m_events) {
            if (event.request.empty()) {
                continue;
            }
            const timeline_event *&previous = lastEvents[event.request];
            if (previous != nullptr) {
                m_text += fmt::format("<line x1=\"{:.1f}\" y1=\"{}\" x2=\"{:.1f}\" y2=\"{}\" stroke=\"#f39c12\" "
                                      "stroke-opacity=\"0.6\"/>\n",
                                      timeX(previous->unixMilliseconds),
                                      laneY(m_lanes.at(previous->vm)),
                                      timeX(event.unixMilliseconds),
                                      laneY(m_lanes.at(event.vm)));
            }
            previous = &event;
        }
    }

    void drawMark(const timeline_event &event)
    {
        const double x = timeX(event.unixMilliseconds);
        const double y = laneY(m_lanes.at(event.vm));
        m_text += fmt::format("<g><title>{} +{} {} {} {}</title><circle cx=\"{:.1f}\" cy=\"{}\" r=\"{}\" fill=\"{}\"/>",
                              formatTime(event.unixMilliseconds),
                              event.logical,
                              escaped(event.kind),
                              escaped(event.request),
                              escaped(event.detail),
                              x,
                              y,
                              markRadius,
                              colourOf(event.kind));
        drawLabel(event, x, y);
        m_text += "</g>\n";
    }

    /// Writes the kind of the event into the first row where it overlaps no other label. If there is none, only the
    /// title of the mark shows the kind.
    void drawLabel(const timeline_event &event, double x, double y)
    {
        constexpr double characterWidth = 5.5;
        constexpr double gap = 6.0;
        auto &rowEnds = m_labelEnds[event.vm];
        for (std::size_t row = 0; row < rowEnds.size(); ++row) {
            if (x < rowEnds[row]) {
                continue;
            }
            rowEnds[row] = x + characterWidth * static_cast<double>(event.kind.size()) + gap;
            m_text += fmt::format(
                "<text x=\"{:.1f}\" y=\"{}\" font-size=\"9\">{}</text>", x, y + labelOffsets[row], escaped(event.kind));
            return;
        }
    }

    const std::vector<timeline_event> &m_events;
    std::map<std::string, std::size_t> m_lanes;
    /// Horizontal end of the last label in each row of a lane, by VM.
    std::map<std::string, std::array<double, labelOffsets.size()>> m_labelEnds;
    std::int64_t m_begin = 0;
    std::int64_t m_end = 1;
    std::string m_text;
};

std::optional<std::int64_t> parseTimestamp(const std::string &text)
{
    std::tm fields{};
    const char *end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &fields);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(timegm(&fields)) * millisecondsPerSecond;
}

} // namespace

std::vector<timeline_event> mergeTimelines(const std::vector<std::vector<timeline_event>> &lists)
{
    std::vector<timeline_event> merged;
    for (const auto &list : lists) {
        merged.insert(merged.end(), list.begin(), list.end());
    }
    std::sort(merged.begin(), merged.end(), [](const auto &left, const auto &right) {
        return orderOf(left) < orderOf(right);
    });
    merged.erase(std::unique(merged.begin(),
                             merged.end(),
                             [](const auto &left, const auto &right) { return orderOf(left) == orderOf(right); }),
                 merged.end());
    return merged;
}

std::string timelineText(const std::vector<timeline_event> &events)
{
    std::size_t vmWidth = 0;
    std::size_t kindWidth = 0;
    for (const timeline_event &event : events) {
        vmWidth = std::max(vmWidth, event.vm.size());
        kindWidth = std::max(kindWidth, event.kind.size());
    }
    std::string text;
    for (const timeline_event &event : events) {
        std::string line = fmt::format("{} +{:<3} {:<{}}  {:<{}}  {} {}",
                                       formatTime(event.unixMilliseconds),
                                       event.logical,
                                       event.vm,
                                       vmWidth,
                                       event.kind,
                                       kindWidth,
                                       event.request,
                                       event.detail);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string timelineSvg(const std::vector<timeline_event> &events)
{
    return svg_picture(events).draw();
}

std::optional<std::int64_t> parseSince(std::string_view text, std::int64_t nowMilliseconds)
{
    // Keeps the multiplications below within 64 bits.
    constexpr std::int64_t maximumAmount = 100'000'000;
    std::int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (error != std::errc{} || amount < 0 || unit.size() != 1 || amount > maximumAmount) {
        return parseTimestamp(std::string(text));
    }
    switch (unit.front()) {
    case 's':
        return nowMilliseconds - amount * millisecondsPerSecond;
    case 'm':
        return nowMilliseconds - amount * millisecondsPerSecond * 60;
    case 'h':
        return nowMilliseconds - amount * millisecondsPerSecond * 3600;
    case 'd':
        return nowMilliseconds - amount * millisecondsPerSecond * 86'400;
    default:
        return std::nullopt;
    }
}

std::string formatTime(std::int64_t unixMilliseconds)
{
    const std::time_t seconds = unixMilliseconds / millisecondsPerSecond;
    std::tm fields{};
    if (gmtime_r(&seconds, &fields) == nullptr) {
        return std::to_string(unixMilliseconds);
    }
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fields, unixMilliseconds % millisecondsPerSecond);
}

} // namespace crocuslane
