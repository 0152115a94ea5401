#include "ratings/rating_standin.h"

#include "enginemodel/answer_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr double wrongAnswerScore = 0.1;
constexpr std::size_t maximumRatingsPerRead = 10000;

} // namespace

rating_standin::rating_standin(standin_loop &loop, const clock &clock, const rating_standin_settings &settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_initialSettings(settings)
    , m_settings(settings)
    , m_random(settings.seed)
{
}

void rating_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const standin_request &request = exchange->request();
    if (request.path == "/answers" && request.method == "POST") {
        receiveAnswer(*exchange);
    } else if (request.path == "/ratings") {
        answerRatings(*exchange);
    } else {
        answerError(*exchange, 404, "not_found", "expected /answers or /ratings");
    }
}

void rating_standin::receiveAnswer(standin_exchange &exchange)
{
    rating newRating;
    try {
        const json body = json::parse(exchange.request().body);
        newRating.requestId = body.at("request_id").get<std::string>();
        newRating.version = body.at("version").get<std::string>();
        newRating.kind = body.value("kind", "");
        newRating.score = quality(newRating.version, newRating.kind) + (2.0 * m_random.unit() - 1.0) * m_settings.noise;
        const std::string text = body.value("text", "-");
        if (text.empty()) {
            newRating.score = 0.0;
        } else if (text.find(wrongTokenPrefix) != std::string::npos) {
            newRating.score = wrongAnswerScore;
        }
    } catch (const json::exception &error) {
        answerError(exchange, 400, "bad_request", error.what());
        return;
    }
    newRating.score = std::clamp(newRating.score, 0.0, 1.0);
    // Both random numbers are drawn for every answer, so that the share of rated answers doesn't affect the delays.
    const bool isRated = m_random.unit() < m_settings.share;
    const double delay = -std::log(1.0 - m_random.unit()) * toSeconds(m_settings.meanDelay);
    if (isRated) {
        m_loop.callAt(m_clock.steadyNow() + fromSeconds(delay), [this, newRating] { m_ratings.push_back(newRating); });
    }
    exchange.answer(202, json{{"received", true}}.dump() + "\n");
}

void rating_standin::answerRatings(standin_exchange &exchange) const
{
    const std::size_t from = std::min<std::uint64_t>(exchange.request().number("from", 0), m_ratings.size());
    const std::size_t end = std::min(m_ratings.size(), from + maximumRatingsPerRead);
    json ratings = json::array();
    for (std::size_t index = from; index < end; ++index) {
        const rating &entry = m_ratings[index];
        ratings.push_back({{"request_id", entry.requestId},
                           {"version", entry.version},
                           {"kind", entry.kind},
                           {"score", entry.score}});
    }
    exchange.answer(200, json{{"ratings", ratings}, {"next", end}}.dump() + "\n");
}

double rating_standin::quality(const std::string &version, const std::string &kind) const
{
    std::string nameWithKind = version;
    nameWithKind += '/';
    nameWithKind += kind;
    for (const std::string &name : {nameWithKind, version}) {
        const auto found = m_settings.quality.find(name);
        if (found != m_settings.quality.end()) {
            return found->second;
        }
    }
    return m_settings.otherQuality;
}

bool rating_standin::setFault(const std::string &key, const json &value)
{
    if (key == "quality") {
        for (const auto &[name, score] : value.items()) {
            m_settings.quality[name] = score.get<double>();
        }
    } else if (key == "share") {
        m_settings.share = value.get<double>();
    } else if (key == "mean_delay_ms") {
        m_settings.meanDelay = std::chrono::milliseconds(value.get<std::uint32_t>());
    } else {
        return false;
    }
    return true;
}

void rating_standin::clearFaults()
{
    m_settings = m_initialSettings;
}

void rating_standin::describeFaults(json &faults) const
{
    faults["quality"] = m_settings.quality;
    faults["share"] = m_settings.share;
    faults["ratings"] = m_ratings.size();
}

} // namespace crocuslane
