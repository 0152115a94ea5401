#include "measure/measurement.h"

#include "harness/version_world.h"

#include <fmt/core.h>

#include <cmath>
#include <deque>

namespace crocuslane {

namespace {

constexpr double target = 2.0;
constexpr double largestFalseShare = 0.01;
constexpr double requestsPerSecond = 30.0;
constexpr int requestsBefore = 20'000;
constexpr int requestsAfter = 20'000;
constexpr double goodQuality = 0.86;
const version_id watched("small@2");
const version_id sound("small@1");

enum class turn {
    wrong,
    slow,
    empty,
};

struct scenario {
    std::string name;
    turn way = turn::wrong;
    /// Share of the traffic of the version that turns bad; 1 for one in full service.
    double share = 1.0;
};

true_answer badAnswer(turn way)
{
    switch (way) {
    case turn::wrong:
        return {0.50, 0.01, 0.02};
    case turn::slow:
        // Slow answers are rated lower: the cook has left the hatch.
        return {0.65, 0.01, 0.06};
    case turn::empty:
        return {goodQuality, 0.40, 0.02};
    }
    return {};
}

version_world makeWorld(const scenario &scenario, std::uint64_t seed)
{
    const std::vector<world_kind> kinds = {{kind_id("seedling-care"), 0.75, 300, 160, 1.0}};
    const bool isCanary = scenario.share < 1.0;
    std::vector<world_version> versions(3);
    versions[0] = {sound, 60, 240, 0.0, {}, {{0.85, 0.01, 0.02}}};
    versions[1] = {watched,
                   60,
                   240,
                   isCanary ? 100.0 * scenario.share : 0.0,
                   isCanary ? std::optional(sound) : std::nullopt,
                   {{goodQuality, 0.01, 0.02}}};
    versions[2] = {version_id("large@1"), 900, 3600, 0.0, {}, {{0.95, 0.01, 0.03}}};
    if (!isCanary) {
        versions.erase(versions.begin());
    }
    return {kinds, versions, {}, seed};
}

/// Decides from ratings and answers when the watched version is out.
class judge
{
public:
    virtual ~judge() = default;
    virtual void addRating(const answer_rating &rating) = 0;
    virtual void addAnswer(bool wasEmpty) = 0;
    virtual void addRequest()
    {
    }
    virtual bool isOut() const = 0;
};

double betaLogDensity(double score, double mean, double concentration)
{
    const double first = mean * concentration;
    const double second = (1.0 - mean) * concentration;
    const double bounded = std::clamp(score, 1e-4, 1.0 - 1e-4);
    return std::lgamma(concentration) - std::lgamma(first) - std::lgamma(second) + (first - 1.0) * std::log(bounded)
        + (second - 1.0) * std::log(1.0 - bounded);
}

/// Sequential test on ratings that knows the moment of the turn and both distributions: no test on ratings needs less
/// at an error of 1%.
class best_rating_test : public judge
{
public:
    explicit best_rating_test(turn way)
        : m_bad(badAnswer(way))
    {
    }

    void addRating(const answer_rating &rating) override
    {
        const double concentration = rating_settings().concentration;
        constexpr double weakMean = 0.05;
        const double good = 0.99 * std::exp(betaLogDensity(rating.score, goodQuality, concentration))
            + 0.01 * std::exp(betaLogDensity(rating.score, weakMean, concentration));
        const double bad = (1.0 - m_bad.weakRate) * std::exp(betaLogDensity(rating.score, m_bad.quality, concentration))
            + m_bad.weakRate * std::exp(betaLogDensity(rating.score, weakMean, concentration));
        m_sum += std::log(bad / good);
    }

    void addAnswer(bool /*wasEmpty*/) override
    {
    }

    bool isOut() const override
    {
        return m_sum >= std::log(1.0 / largestFalseShare);
    }

private:
    true_answer m_bad;
    double m_sum = 0.0;
};

/// Out when the mean of the last 100 ratings falls by 0.1, or a tenth of the last 100 answers were empty.
class fixed_thresholds : public judge
{
public:
    void addRating(const answer_rating &rating) override
    {
        add(m_ratings, rating.score);
    }

    void addAnswer(bool wasEmpty) override
    {
        add(m_empty, wasEmpty ? 1.0 : 0.0);
    }

    bool isOut() const override
    {
        return (m_ratings.size() == window && mean(m_ratings) < goodQuality - 0.1)
            || (m_empty.size() == window && mean(m_empty) > 0.1);
    }

private:
    static constexpr std::size_t window = 100;

    static void add(std::deque<double> &values, double value)
    {
        values.push_back(value);
        if (values.size() > window) {
            values.pop_front();
        }
    }

    static double mean(const std::deque<double> &values)
    {
        double sum = 0.0;
        for (const double value : values) {
            sum += value;
        }
        return sum / static_cast<double>(values.size());
    }

    std::deque<double> m_ratings;
    std::deque<double> m_empty;
};

/// Looks at the mean of the ratings of each stage of ten minutes at its end.
class fixed_stages : public judge
{
public:
    void addRating(const answer_rating &rating) override
    {
        m_sum += rating.score;
        m_count += 1.0;
    }

    void addAnswer(bool /*wasEmpty*/) override
    {
    }

    void addRequest() override
    {
        constexpr int requestsPerStage = 18'000;
        if (++m_requests % requestsPerStage == 0) {
            m_isOut = m_count > 0.0 && m_sum / m_count < goodQuality - 0.1;
            m_sum = 0.0;
            m_count = 0.0;
        }
    }

    bool isOut() const override
    {
        return m_isOut;
    }

private:
    int m_requests = requestsBefore;
    double m_sum = 0.0;
    double m_count = 0.0;
    bool m_isOut = false;
};

/// Requests that the watched version got from its turn until it was out.
double runProduct(const scenario &scenario, std::uint64_t seed)
{
    version_world world = makeWorld(scenario, seed);
    const version_world::policy choose = world.productPolicy();
    const duration gap = fromSeconds(1.0 / requestsPerSecond);
    for (int request = 0; request < requestsBefore; ++request) {
        world.serveNext(choose, gap);
    }
    world.setAnswer(watched, 0, badAnswer(scenario.way));
    double exposed = 0.0;
    const version_world::policy counting = [&](const model_request &request) {
        std::vector<version_id> order = choose(request);
        exposed += order.front() == watched ? 1.0 : 0.0;
        return order;
    };
    for (int request = 0; request < requestsAfter; ++request) {
        world.serveNext(counting, gap);
    }
    return exposed;
}

double runJudge(const scenario &scenario, judge &judge, std::uint64_t seed)
{
    version_world world = makeWorld(scenario, seed);
    const duration gap = fromSeconds(1.0 / requestsPerSecond);
    seeded_random shares(seed + 7);
    double exposed = 0.0;
    bool hasTurned = false;
    world.onRating = [&](const answer_rating &rating) {
        // Ratings of answers from before the turn are still on their way; the best test knows which those are.
        const bool isAfter = std::stoul(rating.request.value()) > requestsBefore;
        if (rating.version == watched && hasTurned && isAfter) {
            judge.addRating(rating);
        }
    };
    const version_world::policy choose = [&](const model_request & /*request*/) {
        const bool isWatched = shares.unit() < scenario.share && !(hasTurned && judge.isOut());
        exposed += hasTurned && isWatched ? 1.0 : 0.0;
        return std::vector{isWatched ? watched : version_id("large@1")};
    };
    for (int request = 0; request < requestsBefore + requestsAfter; ++request) {
        if (request == requestsBefore) {
            hasTurned = true;
            world.setAnswer(watched, 0, badAnswer(scenario.way));
        }
        const world_answer answer = world.serveNext(choose, gap);
        if (hasTurned) {
            judge.addRequest();
            if (answer.version == watched) {
                judge.addAnswer(answer.quality < 0.1);
            }
        }
    }
    return exposed;
}

/// Whether a good version was taken out of service in a run without a turn.
bool hasFalseAlarm(const scenario &scenario, std::uint64_t seed)
{
    version_world world = makeWorld(scenario, seed);
    const version_world::policy choose = world.productPolicy();
    const duration gap = fromSeconds(1.0 / requestsPerSecond);
    constexpr int requests = 60'000;
    constexpr int lastPart = 3'000;
    int served = 0;
    for (int request = 0; request < requests; ++request) {
        const world_answer answer = world.serveNext(choose, gap);
        served += request >= requests - lastPart && answer.version == watched ? 1 : 0;
    }
    // A version that is out gets nothing at the end of the run.
    return served == 0;
}

measure_result measure(const measure_options &options)
{
    const std::vector<scenario> scenarios = {{"wrong, in service", turn::wrong, 1.0},
                                             {"wrong, canary 20%", turn::wrong, 0.2},
                                             {"slow, in service", turn::slow, 1.0},
                                             {"slow, canary 20%", turn::slow, 0.2},
                                             {"empty, in service", turn::empty, 1.0},
                                             {"empty, canary 20%", turn::empty, 0.2}};
    const std::vector<std::uint64_t> seeds = options.seeds(20, 3);
    report_table table("exposure", {"product", "best rating test", "fixed thresholds", "fixed stages", "product/best"});
    measure_result result{"exposure", 0.0, target, {}};
    for (const scenario &scenario : scenarios) {
        std::vector<std::vector<double>> figures(5);
        for (const std::uint64_t seed : seeds) {
            best_rating_test best(scenario.way);
            fixed_thresholds thresholds;
            fixed_stages stages;
            figures[0].push_back(runProduct(scenario, seed));
            figures[1].push_back(runJudge(scenario, best, seed));
            figures[2].push_back(runJudge(scenario, thresholds, seed));
            figures[3].push_back(runJudge(scenario, stages, seed));
            figures[4].push_back(figures[0].back() / std::max(1.0, figures[1].back()));
        }
        table.addRow(scenario.name, figures);
        result.ratio = std::max(result.ratio, spreadOf(figures[4]).median);
    }
    table.print();
    if (options.isPlotting) {
        table.plot();
    }
    int falseAlarms = 0;
    int runs = 0;
    for (const std::uint64_t seed : options.seeds(200, 4)) {
        for (const scenario &scenario : {scenarios[0], scenarios[1]}) {
            falseAlarms += hasFalseAlarm(scenario, seed) ? 1 : 0;
            ++runs;
        }
    }
    const double falseShare = static_cast<double>(falseAlarms) / runs;
    fmt::print("false withdrawals of a good version: {} of {} runs of 60000 requests, target under {}\n",
               falseAlarms,
               runs,
               largestFalseShare);
    if (falseShare >= largestFalseShare) {
        result.missed.push_back("false withdrawals not under 1%");
    }
    return result;
}

const measurement_registrar registrar("exposure", &measure);

} // namespace

} // namespace crocuslane
