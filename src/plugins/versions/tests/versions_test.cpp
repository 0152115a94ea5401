#include "plugins/versions/session_token_signer.h"
#include "plugins/versions/version_monitor.h"
#include "plugins/versions/version_selector.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

// Guards against an edited token that gives access to the session of another organisation or to another version.
TEST_CASE("session token, other organisation or edited version, is refused", "[versions]")
{
    const session_token_signer signer("key");
    const organisation_id organisation("first");
    const service_id service("advice");
    const std::string token = signer.sign(organisation, service, version_id("small@1.2"));
    CHECK(signer.verify(token, organisation, service) == version_id("small@1.2"));
    CHECK_FALSE(signer.verify(token, organisation_id("second"), service));
    CHECK_FALSE(signer.verify("large" + token.substr(5), organisation, service));
    CHECK_FALSE(signer.verify("", organisation, service));
    CHECK_FALSE(session_token_signer("other").verify(token, organisation, service));
}

namespace {

class version_selector_fixture
{
protected:
    quality_estimate qualityOf(double score, int ratings)
    {
        quality_estimator estimator;
        for (int rating = 0; rating < ratings; ++rating) {
            estimator.add(kind_id("kind"), version_id("v"), score);
        }
        return estimator.estimate(kind_id("kind"), version_id("v"));
    }

    /// Share of 10,000 choices that start at the version.
    double shareOf(const std::string &version, const std::vector<version_option> &options, double target)
    {
        int count = 0;
        for (int choice = 0; choice < 10000; ++choice) {
            count += m_selector.order(options, target).front() == version_id(version) ? 1 : 0;
        }
        return count / 10000.0;
    }

    seeded_random m_random{1};
    version_selector m_selector{m_random};
};

} // namespace

// Guards against a cheap version that is chosen although it misses the quality target, and against an expensive one
// that is chosen although a cheap one meets the target.
TEST_CASE_METHOD(version_selector_fixture,
                 "selector, cheap version rated, is taken only when it meets the target",
                 "[versions]")
{
    const version_option good{version_id("large@1"), 10.0, qualityOf(0.95, 400), 0.0};
    CHECK(shareOf("small@1", {{version_id("small@1"), 1.0, qualityOf(0.9, 400), 0.0}, good}, 0.8) > 0.99);
    CHECK(shareOf("small@1", {{version_id("small@1"), 1.0, qualityOf(0.5, 400), 0.0}, good}, 0.8) < 0.01);
}

// Guards against a cheap version that never gets ratings, and against one that gets most requests without ratings.
TEST_CASE_METHOD(version_selector_fixture,
                 "selector, cheap version without ratings, is explored within its share",
                 "[versions]")
{
    const std::vector<version_option> options = {{version_id("small@1"), 1.0, {}, 0.0},
                                                 {version_id("large@1"), 10.0, qualityOf(0.95, 400), 0.0}};
    const double target = 0.8;
    const double share = shareOf("small@1", options, target);
    CHECK(share > 0.01);
    // Even if the quality of the version without ratings is only 0.2, the mean meets the target, up to sampling error.
    CHECK(share * 0.2 + (1.0 - share) * options[1].quality.lower > target - 0.01);
}

// Guards against starting at a cheap version when escalating its weak answers costs more than starting at the next one.
TEST_CASE_METHOD(version_selector_fixture, "selector, cheap version mostly weak, starts at the next", "[versions]")
{
    const std::vector<version_option> options = {{version_id("small@1"), 6.0, qualityOf(0.9, 400), 0.6},
                                                 {version_id("large@1"), 10.0, qualityOf(0.95, 400), 0.0}};
    CHECK(shareOf("large@1", options, 0.8) > 0.9);
}

// Guards against a version whose answers become empty, failed, slow or badly rated without a fault being detected.
TEST_CASE("version monitor, answers turn bad, finds the fault", "[versions]")
{
    answer_observation good;
    good.timePerToken = std::chrono::milliseconds(20);
    answer_observation empty = good;
    empty.wasEmpty = true;
    answer_observation failed = good;
    failed.hasFailed = true;
    answer_observation slow = good;
    slow.timePerToken = std::chrono::milliseconds(60);
    const std::pair<answer_observation, version_fault> cases[] = {
        {empty, version_fault::empty_answers}, {failed, version_fault::failures}, {slow, version_fault::slow_answers}};
    for (const auto &[bad, fault] : cases) {
        version_monitor monitor;
        for (int answer = 0; answer < 200; ++answer) {
            monitor.addAnswer(good);
        }
        CHECK_FALSE(monitor.fault());
        for (int answer = 0; answer < 20; ++answer) {
            monitor.addAnswer(bad);
        }
        CHECK(monitor.fault() == fault);
    }
    version_monitor monitor;
    const quality_estimate reference{0.9, 0.88, 0.92, 500.0, 0.04};
    for (int rating = 0; rating < 30; ++rating) {
        monitor.addRating(0.4, reference);
    }
    CHECK(monitor.fault() == version_fault::low_ratings);
}
