#include "plugins/backends/backend_table.h"
#include "plugins/backends/placement_filter.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class placement_filter_fixture
{
protected:
    placement_filter_fixture()
    {
        action_list log;
        m_evacuations.apply({{"zone-b"}, 0}, {}, log);
        m_requirements.excluded = &m_tried;
    }

    static backend_record runner(const std::string &id, const std::string &zone, const std::string &version = "v1")
    {
        backend_record record;
        record.entry.id = runner_id(id);
        record.entry.availabilityZone = zone;
        record.entry.version = version;
        return record;
    }

    std::string obstacle(const backend_record &record) const
    {
        const auto found = m_filter.obstacle(record, m_requirements);
        return found ? std::string(toName(*found)) : "none";
    }

    std::string refusal(const std::vector<const backend_record *> &runners) const
    {
        const auto found = m_filter.refusal(runners, m_requirements);
        return found ? std::string(toName(*found)) : "none";
    }

    zone_evacuations m_evacuations;
    placement_filter m_filter{m_evacuations, {{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}}};
    std::set<std::string> m_north{"north"};
    std::set<runner_id> m_tried{runner_id("tried")};
    backend_requirements m_requirements;
};

} // namespace

// Guards against an obstacle that is missed or reported under the name of another one.
TEST_CASE_METHOD(placement_filter_fixture, "runner, one obstacle each, is excluded for it", "[backends]")
{
    m_requirements.homeRegions = &m_north;
    m_requirements.versions = {version_rule::mode::only, "v1", false};
    CHECK(obstacle(runner("r", "zone-a")) == "none");
    CHECK(obstacle(runner("r", "zone-b")) == "evacuated_zone");
    CHECK(obstacle(runner("r", "zone-c")) == "not_in_home_region");
    CHECK(obstacle(runner("r", "zone-x")) == "not_in_home_region");
    CHECK(obstacle(runner("r", "")) == "not_in_home_region");
    CHECK(obstacle(runner("r", "zone-a", "v2")) == "other_version");
    CHECK(obstacle(runner("tried", "zone-a")) == "already_tried");
    backend_record leaving = runner("r", "zone-a");
    leaving.entry.condition = backend_condition::leaving;
    CHECK(obstacle(leaving) == "leaving");
    m_requirements.homeRegions = nullptr;
    CHECK(obstacle(runner("r", "zone-x")) == "none");
    const std::set<std::string> nowhere;
    m_requirements.homeRegions = &nowhere;
    CHECK(obstacle(runner("r", "zone-a")) == "not_in_home_region");
}

// Guards against a wait that can't succeed, and against a refusal while a runner is only busy, tried or of a version
// that the roll-out may allow soon.
TEST_CASE_METHOD(placement_filter_fixture,
                 "runners, combinations of obstacles, refused for the decisive one",
                 "[backends]")
{
    const backend_record home = runner("home", "zone-a");
    const backend_record tried = runner("tried", "zone-a");
    const backend_record evacuated = runner("evacuated", "zone-b");
    const backend_record abroad = runner("abroad", "zone-c");
    const backend_record newer = runner("newer", "zone-a", "v2");
    CHECK(refusal({}) == "no_runner");
    CHECK(refusal({&evacuated, &abroad}) == "none");
    CHECK(refusal({&evacuated}) == "runners_evacuated");
    m_requirements.homeRegions = &m_north;
    CHECK(refusal({&abroad, &home}) == "none");
    CHECK(refusal({&abroad}) == "no_runner_at_home");
    CHECK(refusal({&abroad, &evacuated}) == "runners_evacuated");
    CHECK(refusal({&tried}) == "no_runner");
    m_requirements.versions = {version_rule::mode::only, "v1", false};
    CHECK(refusal({&newer, &evacuated}) == "runners_evacuated");
    CHECK(refusal({&newer, &evacuated, &tried}) == "none");
    CHECK(refusal({&newer}) == "none");
    m_requirements.versions.isTrial = true;
    CHECK(refusal({&newer, &evacuated}) == "none");
}
