#pragma once

#include "base/random_source.h"
#include "http/standin.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslane {

struct rating_standin_settings {
    /// Share of the answers that are rated.
    double share = 0.1;
    /// Mean of the exponentially distributed time until a rating is readable.
    duration meanDelay = std::chrono::seconds(5);
    /// Mean score by "model@version" or "model@version/kind".
    std::map<std::string, double> quality;
    /// Mean score of all versions and kinds that aren't in quality.
    double otherQuality = 0.85;
    /// Maximum deviation from the mean score, by uniformly distributed noise.
    double noise = 0.15;
    std::uint64_t seed = 1;
};

/// Stand-in for the rating service: `POST /answers` submits an answer, `GET /ratings?from=N` returns the ratings that
/// are readable. Ratings are delayed, and only a share of the answers has one.
class rating_standin : public standin
{
public:
    rating_standin(standin_loop &loop, const clock &clock, const rating_standin_settings &settings);

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

private:
    struct rating {
        std::string requestId;
        std::string version;
        std::string kind;
        double score = 0.0;
    };

    void receiveAnswer(standin_exchange &exchange);
    void answerRatings(standin_exchange &exchange) const;
    double quality(const std::string &version, const std::string &kind) const;

    standin_loop &m_loop;
    const clock &m_clock;
    rating_standin_settings m_initialSettings;
    rating_standin_settings m_settings;
    seeded_random m_random;
    std::vector<rating> m_ratings;
};

} // namespace crocuslane
