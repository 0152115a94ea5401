#include "plugins/versions/session_token.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

// Guards against a session that moves to another organisation or version by an edited token.
TEST_CASE("session token, other organisation or edited version, is refused", "[versions]")
{
    const session_token tokens("key");
    const organisation_id organisation("first");
    const service_id service("advice");
    const std::string token = tokens.sign(organisation, service, version_id("small@1.2"));
    CHECK(tokens.verify(token, organisation, service) == version_id("small@1.2"));
    CHECK_FALSE(tokens.verify(token, organisation_id("second"), service));
    CHECK_FALSE(tokens.verify("large" + token.substr(5), organisation, service));
    CHECK_FALSE(tokens.verify("", organisation, service));
    CHECK_FALSE(session_token("other").verify(token, organisation, service));
}
