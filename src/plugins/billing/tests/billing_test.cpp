#include "plugins/appends/appends_plugin.h"
#include "plugins/billing/billing_plugin.h"
#include "support/log_harness.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

/// Collects the requests whose bills became durable.
class durable_collector : public plugin
{
public:
    explicit durable_collector(std::vector<request_id> &durable)
        : m_durable(durable)
    {
    }

    std::string_view name() const override
    {
        return "collector";
    }

    void initialize(plugin_context & /*context*/) override
    {
    }

    void handle(const event &event, action_list & /*actions*/) override
    {
        if (const auto *noted = std::get_if<bill_durable>(&event)) {
            m_durable.push_back(noted->request);
        }
    }

private:
    std::vector<request_id> &m_durable;
};

/// The billing plug-in of vm1 in zone a, connected to vm2 and vm3 in zone a and vm4 in zone b.
class billing_fixture
{
protected:
    billing_fixture()
    {
        auto billing = std::make_unique<billing_plugin>();
        m_billing = billing.get();
        m_vm.kernel().add(std::make_unique<appends_plugin>());
        m_vm.kernel().add(std::move(billing));
        m_vm.kernel().add(std::make_unique<durable_collector>(m_durable));
        m_vm.start();
        m_vm.handle(vm_list_read{{entryVm("vm2", "a"), entryVm("vm3", "a"), entryVm("vm4", "b")}});
        for (const char *peer : {"vm2", "vm3", "vm4"}) {
            m_vm.handle(peer_connected{vm_id(peer)});
        }
    }

    static vm_entry entryVm(const std::string &id, const std::string &zone)
    {
        vm_entry entry;
        entry.id = id;
        entry.availabilityZone = zone;
        return entry;
    }

    static bill makeBill(const std::string &request)
    {
        bill made;
        made.request = request_id(request);
        made.organisation = organisation_id("o");
        made.cost = 5;
        return made;
    }

    void charge(const std::string &request)
    {
        m_billing->charge(makeBill(request));
        m_vm.handle(timer_expired{});
    }

    std::uint64_t counted() const
    {
        const auto &sums = m_billing->totals().byOrganisation();
        const auto found = sums.find(organisation_id("o"));
        return found == sums.end() ? 0 : found->second.bills;
    }

    void acknowledge(const std::string &peer, const std::string &request)
    {
        m_vm.handle(peer_message_received{vm_id(peer), bill_copy_acknowledged{request_id(request)}});
    }

    manual_clock m_clock;
    fake_log m_log{m_clock};
    log_harness m_vm{m_clock, m_log, "vm1", "a"};
    billing_plugin *m_billing = nullptr;
    std::vector<request_id> m_durable;
};

} // namespace

// Guards against an answer that ends before its bill is in the log, and against copies while the log works.
TEST_CASE_METHOD(billing_fixture, "billing, log works, durable by the log without copies", "[billing]")
{
    charge("r1");
    CHECK(m_durable.empty());
    m_vm.run(30ms);
    CHECK(m_durable == std::vector<request_id>{request_id("r1")});
    CHECK(m_vm.takeActions<send_to_peer>().empty());
    CHECK(counted() == 1);
    CHECK(m_billing->isIdle());
}

// Guards against a bill that counts as durable while all its copies are in one availability zone.
TEST_CASE_METHOD(billing_fixture, "billing, log down, durable by two copies in two zones", "[billing]")
{
    m_vm.isLogUp = false;
    charge("r1");
    m_vm.run(200ms);
    const auto copies = m_vm.takeActions<send_to_peer>();
    REQUIRE(copies.size() == 2);
    CHECK(std::any_of(copies.begin(), copies.end(), [](const auto &sent) { return sent.peer == vm_id("vm4"); }));
    acknowledge(copies[0].peer.value(), "r1");
    CHECK(m_durable.empty());
    acknowledge(copies[0].peer.value(), "r1");
    CHECK(m_durable.empty());
    acknowledge(copies[1].peer.value(), "r1");
    CHECK(m_durable.size() == 1);
    m_vm.isLogUp = true;
    m_vm.run(3s);
    CHECK(m_vm.takeActions<send_to_peer>().size() == 2);
    CHECK(counted() == 1);
}

// Guards against a bill that is lost with its origin during a log outage, and against one that counts twice.
TEST_CASE_METHOD(billing_fixture, "billing, origin lost, holder appends the copy once", "[billing]")
{
    m_vm.handle(peer_message_received{vm_id("vm2"), bill_copy{makeBill("r9")}});
    m_vm.handle(peer_message_received{vm_id("vm3"), bill_copy{makeBill("r9")}});
    CHECK(m_vm.takeActions<send_to_peer>().size() == 2);
    m_vm.run(4s);
    CHECK(counted() == 0);
    m_vm.handle(peer_disconnected{vm_id("vm2")});
    m_vm.handle(peer_disconnected{vm_id("vm3")});
    CHECK_FALSE(m_vm.kernel().isIdle());
    m_vm.run(6s);
    CHECK(counted() == 1);
    CHECK(m_vm.kernel().isIdle());
}

// Guards against a copy that is never appended because its origin has restarted and lost the bill.
TEST_CASE_METHOD(billing_fixture, "billing, origin restarted, holder appends the copy", "[billing]")
{
    m_vm.handle(peer_message_received{vm_id("vm2"), bill_copy{makeBill("r9")}});
    m_vm.run(31s);
    CHECK(counted() == 1);
}

// Guards against copies that are appended although the origin has written the bill to the log.
TEST_CASE_METHOD(billing_fixture, "billing, copy released, not appended", "[billing]")
{
    m_vm.handle(peer_message_received{vm_id("vm2"), bill_copy{makeBill("r9")}});
    m_vm.handle(peer_message_received{vm_id("vm2"), bill_copy_released{request_id("r9")}});
    m_vm.handle(peer_disconnected{vm_id("vm2")});
    m_vm.run(6s);
    CHECK(m_vm.appends == 0);
}
