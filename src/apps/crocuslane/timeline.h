#pragma once

#include "operator_client.h"

namespace crocuslane {

/// One list in order of hybrid logical time, from the lists of several VMs. An event in several lists is kept once.
std::vector<timeline_event> mergeTimelines(const std::vector<std::vector<timeline_event>> &lists);
/// One line per event: time, logical part, VM, kind, request, detail.
std::string timelineText(const std::vector<timeline_event> &events);
/// SVG picture with one lane per VM. Lines connect consecutive events of one request.
std::string timelineSvg(const std::vector<timeline_event> &events);
/// Unix milliseconds from "90s", "10m", "2h", "1d" (before @p nowMilliseconds) or "2026-12-04T10:00:00Z".
std::optional<std::int64_t> parseSince(std::string_view text, std::int64_t nowMilliseconds);
/// "2026-12-04T10:00:00.123Z"
std::string formatTime(std::int64_t unixMilliseconds);

} // namespace crocuslane
