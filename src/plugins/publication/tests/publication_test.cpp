#include "plugins/appends/appends_plugin.h"
#include "plugins/publication/publication_plugin.h"
#include "support/log_harness.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

/// Accepts every text except "bad". The group with the key hash "op" is an operator group.
class test_parser : public configuration_parser
{
public:
    std::variant<std::shared_ptr<const configuration>, std::string> parse(const std::string &text) const override
    {
        if (text == "bad") {
            return std::string("line 1: bad");
        }
        auto read = std::make_shared<configuration>();
        const caller_group_id operators("o/operators");
        read->callerGroups[operators].isOperator = true;
        read->groupsByKeyHash["op"] = operators;
        read->text = text;
        return std::shared_ptr<const configuration>(read);
    }
};

class publication_fixture
{
protected:
    std::unique_ptr<log_harness> makeVm(const std::string &id)
    {
        auto vm = std::make_unique<log_harness>(m_clock, m_log, id);
        vm->kernel().services().offer<publication_settings>(m_settings);
        vm->kernel().add(std::make_unique<appends_plugin>());
        vm->kernel().add(std::make_unique<publication_plugin>(std::make_unique<test_parser>()));
        vm->start();
        return vm;
    }

    static const configuration_source &source(log_harness &vm)
    {
        return vm.kernel().services().find<configuration_source>();
    }

    static void publish(log_harness &vm, const std::string &text, std::uint64_t replaces, const std::string &key = "op")
    {
        vm.handle(publication_requested{request_id("p-" + text), key, text, replaces});
    }

    manual_clock m_clock;
    fake_log m_log{m_clock};
    publication_settings m_settings;
    std::unique_ptr<log_harness> m_vm = makeVm("vm1");
};

} // namespace

// Guards against a first text that never comes into force, and against an answer before the decision on it.
TEST_CASE_METHOD(publication_fixture, "publication, first text, accepted as version 1", "[publication]")
{
    CHECK_FALSE(source(*m_vm).mayTakeRequests());
    publish(*m_vm, "one", 0, "");
    CHECK(m_vm->takeActions<answer_call>().empty());
    m_vm->run(20ms);
    const auto answers = m_vm->takeActions<answer_call>();
    REQUIRE(answers.size() == 1);
    CHECK(nlohmann::json::parse(answers[0].body) == nlohmann::json{{"accepted", true}, {"version", 1}});
    CHECK(source(*m_vm).current()->text == "one");
    CHECK(source(*m_vm).mayTakeRequests());
}

// Guards against two concurrent publications that are both accepted as the replacement of the same version.
TEST_CASE_METHOD(publication_fixture, "publication, two operators race, one is accepted", "[publication]")
{
    const auto other = makeVm("vm2");
    publish(*m_vm, "one", 0);
    publish(*other, "two", 0);
    for (int step = 0; step < 30; ++step) {
        m_vm->run(1ms);
        other->step();
    }
    CHECK(m_vm->takeActions<answer_call>().size() == 1);
    const auto refused = other->takeActions<refuse_request>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.code == error_code::publication_conflict);
    CHECK(source(*other).current()->text == "one");
}

// Guards against publications by a caller who is not an operator, of a text with errors, or replacing an old version,
// that reach the log.
TEST_CASE_METHOD(publication_fixture, "publication, not allowed or not valid, refused before the log", "[publication]")
{
    publish(*m_vm, "one", 0);
    m_vm->run(20ms);
    const std::size_t appends = m_vm->appends;
    publish(*m_vm, "two", 1, "somebody");
    publish(*m_vm, "bad", 1);
    publish(*m_vm, "two", 0);
    const auto refused = m_vm->takeActions<refuse_request>();
    REQUIRE(refused.size() == 3);
    CHECK(refused[0].error.code == error_code::forbidden);
    CHECK(refused[1].error.code == error_code::publication_invalid);
    CHECK(refused[2].error.code == error_code::publication_conflict);
    m_vm->run(20ms);
    CHECK(m_vm->appends == appends);
}

// Guards against a starting VM that finds no configuration because retention has removed the publication from the log.
TEST_CASE_METHOD(publication_fixture, "publication, log truncated, starts from the snapshot", "[publication]")
{
    publish(*m_vm, "one", 0);
    m_vm->run(20ms);
    m_clock.advance(m_settings.retention * 2 / 3);
    m_vm->run(1s);
    m_clock.advance(m_settings.retention / 2);
    m_log.removeBefore(m_clock.systemNow() - m_settings.retention);
    CHECK(m_log.read("configuration", 0).firstOffset > 0);
    const auto started = makeVm("vm2");
    CHECK(source(*started).version() == 1);
    CHECK(source(*started).mayTakeRequests());
}

// Guards against a VM that accepts a later publication as the next version while records before it are missing.
TEST_CASE_METHOD(publication_fixture, "publication, log truncated without snapshot, decides nothing", "[publication]")
{
    publish(*m_vm, "one", 0);
    m_vm->run(20ms);
    m_clock.advance(1h);
    publish(*m_vm, "two", 1);
    m_vm->run(20ms);
    m_log.removeBefore(m_clock.systemNow() - 30min);
    const auto started = makeVm("vm2");
    CHECK(source(*started).version() == 0);
    started->handle(peer_connected{vm_id("vm1")});
    started->handle(peer_message_received{vm_id("vm1"), configuration_text{1, 0, "one"}});
    CHECK(source(*started).version() == 2);
    CHECK(source(*started).current()->text == "two");
}

// Guards against a VM that serves an old version although another VM has reported a newer one.
TEST_CASE_METHOD(publication_fixture, "publication, newer version reported, waits for its text", "[publication]")
{
    publish(*m_vm, "one", 0);
    m_vm->run(20ms);
    m_vm->isLogUp = false;
    m_vm->handle(peer_message_received{vm_id("vm2"), heartbeat{1, 2, false}});
    CHECK_FALSE(source(*m_vm).mayTakeRequests());
    CHECK(std::get<configuration_fetch>(m_vm->takeActions<send_to_peer>().at(0).message).knownVersion == 1);
    m_vm->handle(peer_message_received{vm_id("vm2"), configuration_text{2, 1, "two"}});
    CHECK(source(*m_vm).mayTakeRequests());
    CHECK(source(*m_vm).current()->text == "two");
}

// Guards against a second version from one publication that is sent again because the answer of the log was lost.
TEST_CASE_METHOD(publication_fixture, "publication, answers of the log lost, accepted once", "[publication]")
{
    m_vm->losesAnswers = true;
    publish(*m_vm, "one", 0);
    m_vm->run(3s);
    CHECK(m_vm->takeActions<answer_call>().size() == 1);
    CHECK(source(*m_vm).version() == 1);
}

// Guards against a default parser that accepts or refuses every text.
TEST_CASE("configuration parser, default, reads and refuses texts", "[publication]")
{
    const auto parser = makeConfigurationParser();
    const auto read = parser->parse("[organisation o]\n");
    const auto refused = parser->parse("[planet x]\n");
    CHECK(std::holds_alternative<std::string>(refused));
    CHECK(std::get<std::string>(refused).find("planet") != std::string::npos);
    (void)read;
}
