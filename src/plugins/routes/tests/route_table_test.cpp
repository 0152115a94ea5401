#include "plugins/routes/route_table.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class route_table_fixture
{
protected:
    route_table_fixture()
    {
        auto configuration = std::make_shared<forward_configuration>();
        configuration->needsKeys = true;
        for (const char *prefix : {"/a/", "/a/b/", "/open/"}) {
            forward_route route;
            route.name = prefix;
            route.host = "models.example";
            route.pathPrefix = prefix;
            route.priority = 2;
            route.isAnonymous = std::string(prefix) == "/open/";
            configuration->routes.push_back(route);
        }
        configuration->organisations.push_back({organisation_id("farm"), {"key-1", "key-2"}, 0, {}});
        m_table.emplace(configuration);
    }

    std::string nameOf(const std::string &host, const std::string &path, const std::string &key = "key-1")
    {
        const auto found = m_table->match(host, path, key);
        if (const auto *reason = std::get_if<refusal_reason>(&found)) {
            return std::string(toName(*reason));
        }
        return std::get<route_match>(found).route->name;
    }

    std::optional<route_table> m_table;
};

} // namespace

// Guards against a request that matches a shorter prefix instead of the longest one.
TEST_CASE_METHOD(route_table_fixture, "route, several prefixes match, longest wins", "[routes]")
{
    CHECK(nameOf("models.example", "/a/b/c") == "/a/b/");
    CHECK(nameOf("models.example", "/a/b/") == "/a/b/");
    CHECK(nameOf("models.example", "/a/b") == "/a/");
    CHECK(nameOf("models.example", "/a/bc/d") == "/a/");
    CHECK(nameOf("models.example", "/a") == "no_route");
    CHECK(nameOf("models.example", "/") == "no_route");
    CHECK(nameOf("other.example", "/a/b/") == "no_route");
}

// Guards against requests that are accepted for an organisation without one of its keys.
TEST_CASE_METHOD(route_table_fixture, "key, unknown or missing, refused unless the route is anonymous", "[routes]")
{
    CHECK(nameOf("models.example", "/a/x", "key-2") == "/a/");
    CHECK(nameOf("models.example", "/a/x", "other") == "unknown_key");
    CHECK(nameOf("models.example", "/a/x", "") == "unknown_key");
    CHECK(nameOf("models.example", "/open/x", "") == "/open/");
}

// Guards against an organisation's priority that has no effect.
TEST_CASE_METHOD(route_table_fixture, "priority, organisation has one, overrides the route's", "[routes]")
{
    CHECK(std::get<route_match>(m_table->match("models.example", "/a/x", "key-1")).priority() == 0);
    CHECK(std::get<route_match>(m_table->match("models.example", "/open/x", "")).priority() == 2);
}

// Guards against a restriction that is lost where the route and the organisation both have one, or only one of them.
TEST_CASE("home regions, of route and organisation, both hold", "[routes]")
{
    auto configuration = std::make_shared<forward_configuration>();
    for (const auto &[prefix, regions] : std::map<std::string, std::set<std::string>>{
             {"/free/", {}}, {"/bound/", {"north", "south"}}, {"/west/", {"west", "south"}}}) {
        forward_route route;
        route.host = "models.example";
        route.pathPrefix = prefix;
        route.homeRegions = regions;
        configuration->routes.push_back(route);
    }
    configuration->organisations.push_back({organisation_id("farm"), {"key"}, {}, {"north"}});
    const route_table table(configuration);
    const auto regionsOf = [&table](const std::string &path, const std::string &key) {
        return std::get<route_match>(table.match("models.example", path, key)).homeRegions;
    };
    using regions = std::set<std::string>;
    CHECK_FALSE(regionsOf("/free/", ""));
    CHECK(regionsOf("/free/", "key") == regions{"north"});
    CHECK(regionsOf("/bound/", "") == regions{"north", "south"});
    CHECK(regionsOf("/bound/", "key") == regions{"north"});
    CHECK(regionsOf("/west/", "key") == regions{});
    CHECK(table.homeRegionsOf("models.example") == regions{"south"});
    CHECK(table.homeRegionsOf("other.example").empty());
}
