#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "kernel/kernel.h"
#include "services/configuration_source.h"
#include "services/version_chooser.h"

#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace crocuslane {

/// True behaviour of a version for one kind of request.
struct true_answer {
    /// Mean rating of an answer that is not weak, 0 to 1.
    double quality = 0.9;
    /// Share of answers that are empty.
    double weakRate = 0.01;
    double secondsPerToken = 0.02;
};

struct world_kind {
    kind_id id;
    double qualityTarget = 0.0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /// Share of all requests.
    double share = 0.0;
};

struct world_version {
    version_id id;
    std::uint64_t inputCost = 0;
    std::uint64_t outputCost = 0;
    /// In percent of new traffic; 0 for an active version.
    double canaryPercent = 0.0;
    std::optional<version_id> replaces;
    std::vector<true_answer> byKind;
};

struct rating_settings {
    /// Share of answers that are rated.
    double share = 0.1;
    duration shortestDelay = std::chrono::seconds(20);
    duration longestDelay = std::chrono::seconds(60);
    /// Larger means less noise: the sum of the two parameters of a beta distribution.
    double concentration = 8.0;
};

/// What one request cost and gave.
struct world_answer {
    std::size_t kind = 0;
    version_id version;
    double cost = 0.0;
    /// True mean rating of such an answer.
    double quality = 0.0;
    bool wasEscalated = false;
};

/// Versions, answers and ratings without runners or time in queues: what the choice of versions alone is worth.
class version_world
{
public:
    /// Chooses the order of versions for a request of a kind.
    using policy = std::function<std::vector<version_id>(const model_request &)>;

    version_world(std::vector<world_kind> kinds,
                  std::vector<world_version> versions,
                  rating_settings ratings,
                  std::uint64_t seed);
    ~version_world();

    /// Choice by the product's plug-in.
    policy productPolicy();
    /// Advances the time by @p gap, delivers ratings that are due, and runs one request.
    world_answer serveNext(const policy &choose, duration gap);
    void setAnswer(const version_id &version, std::size_t kind, const true_answer &answer);
    double answerCost(const version_id &version, std::size_t kind, bool isWeak) const;
    const true_answer &answerOf(const version_id &version, std::size_t kind) const;
    const std::vector<world_kind> &kinds() const;
    const std::vector<world_version> &versions() const;
    /// Ratings as they become known, for baselines that read them.
    std::function<void(const answer_rating &)> onRating;

private:
    class configuration_plugin;
    class null_timeline;
    struct due_rating {
        steady_time when;
        answer_rating rating;
        bool operator>(const due_rating &other) const;
    };

    void deliverRatings();
    double drawScore(double mean);
    std::size_t drawKind();
    const world_version &find(const version_id &version) const;

    std::vector<world_kind> m_kinds;
    std::vector<world_version> m_versions;
    rating_settings m_ratings;
    manual_clock m_clock;
    seeded_random m_random;
    seeded_random m_productRandom;
    std::unique_ptr<null_timeline> m_timeline;
    std::unique_ptr<kernel> m_kernel;
    version_chooser *m_chooser = nullptr;
    std::priority_queue<due_rating, std::vector<due_rating>, std::greater<>> m_due;
    std::uint64_t m_lastRequest = 0;
    std::mt19937_64 m_scores;
};

} // namespace crocuslane
