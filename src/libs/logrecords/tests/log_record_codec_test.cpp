#include "logrecords/log_record_codec.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

std::vector<log_entry> oneOfEach()
{
    const claim_key key{organisation_id("rimal"), operation_id("tanker-dispatch"), "1750000000-a"};
    const claimant by{vm_id("vm1"), 7, request_id("r1"), 9};
    bill charge;
    charge.request = request_id("r2");
    charge.usage = {10, 4, 20};
    charge.cost = 99;
    return {publication_entry{3, request_id("r0"), vm_id("vm1"), 7, "[service a]\n", "hash"},
            snapshot_entry{4, 17, "text", "hash"},
            claim_entry{key, by, "body"},
            outcome_entry{key, by, execution_state::ran, 200, std::string("a\0b", 3)},
            lease_entry{"orders", vm_id("vm1"), 7, 2, 12, 10'000},
            charge};
}

} // namespace

// Guards against a field that is lost or stored in another field.
TEST_CASE("log record codec, one entry of each type, returns them unchanged", "[logrecords]")
{
    const auto decoded = decodeEntries(encodeEntries(oneOfEach()));
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 6);
    CHECK(std::get<publication_entry>(decoded->at(0)).replacesVersion == 3);
    CHECK(std::get<snapshot_entry>(decoded->at(1)).asOf == 17);
    CHECK(std::get<claim_entry>(decoded->at(2)).key.idempotencyKey == "1750000000-a");
    CHECK(std::get<claim_entry>(decoded->at(2)).by == claimant{vm_id("vm1"), 7, request_id("r1"), 9});
    CHECK(std::get<outcome_entry>(decoded->at(3)).body == std::string("a\0b", 3));
    CHECK(std::get<outcome_entry>(decoded->at(3)).execution == execution_state::ran);
    CHECK(std::get<lease_entry>(decoded->at(4)).replaces == 12);
    CHECK(std::get<bill>(decoded->at(5)).usage.cachedPromptTokens == 4);
}

// Guards against crashes and reads out of bounds on damaged records; the latter are only detected with sanitizers.
TEST_CASE("log record codec, damaged bytes, fails or decodes without a crash", "[logrecords]")
{
    const std::string valid = encodeEntries(oneOfEach());
    seeded_random random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = valid.substr(0, round % 2 == 0 ? valid.size() : random.below(valid.size() + 1));
        for (std::uint64_t change = random.below(4); change > 0 && !damaged.empty(); --change) {
            damaged[random.below(damaged.size())] = static_cast<char>(random.next());
        }
        (void)decodeEntries(damaged);
    }
    CHECK_FALSE(decodeEntries(""));
    CHECK_FALSE(decodeEntries("CLR1"));
    CHECK_FALSE(decodeEntries(std::string(64, '\xff')));
}
