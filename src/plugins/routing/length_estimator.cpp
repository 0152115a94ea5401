#include "plugins/routing/length_estimator.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::size_t historyLength = 256;
constexpr std::size_t minimumAnswers = 16;
constexpr std::size_t maximumKinds = 1024;
constexpr unsigned answersPerRefresh = 8;
constexpr double typicalShare = 0.6;
// Lengths of reviews and plans have a long tail; a kind is long when its long answers are.
constexpr double upperShare = 0.9;
constexpr std::uint32_t defaultOutputTokens = 200;
constexpr double longOutputTokens = 400.0;
constexpr std::uint32_t longPromptTokens = 8000;

} // namespace

work_estimate length_estimator::estimate(const model_request &request, const kind_settings *settings) const
{
    work_estimate work;
    work.urgency = settings ? settings->urgency : request_class::standard;
    work.promptTokens = request.promptTokens;
    double typical = settings ? settings->expectedTokens : defaultOutputTokens;
    double upper = typical;
    const auto found = m_histories.find(request.kind);
    if (found != m_histories.end() && found->second.samples >= minimumAnswers) {
        typical = found->second.typical;
        upper = found->second.upper;
    }
    if (request.maximumTokens > 0) {
        typical = std::min(typical, static_cast<double>(request.maximumTokens));
        upper = std::min(upper, static_cast<double>(request.maximumTokens));
    }
    const auto whole = static_cast<std::uint32_t>(std::max(1.0, typical));
    work.outputTokens = whole > request.resumeFrom ? whole - request.resumeFrom : 1;
    work.isLong = upper >= longOutputTokens || request.promptTokens >= longPromptTokens;
    return work;
}

void length_estimator::addAnswer(const kind_id &kind, std::uint32_t outputTokens)
{
    if (!m_histories.contains(kind) && m_histories.size() >= maximumKinds) {
        return;
    }
    history &history =
        m_histories.try_emplace(kind, crocuslane::length_estimator::history{quantile_window(historyLength)})
            .first->second;
    history.outputTokens.add(outputTokens);
    ++history.samples;
    // Quantiles are kept ready, because they are needed for each request and change slowly.
    if (history.samples < minimumAnswers || history.samples - history.samplesAtRefresh < answersPerRefresh) {
        return;
    }
    history.samplesAtRefresh = history.samples;
    history.typical = history.outputTokens.quantile(typicalShare, 1).value_or(0.0);
    history.upper = history.outputTokens.quantile(upperShare, 1).value_or(0.0);
}

} // namespace crocuslane
