#include "logrecords/log_record_codec.h"
#include "logstream/group_writer.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class logstream_fixture
{
protected:
    std::vector<append_record> send()
    {
        action_list actions;
        m_writer.send(m_clock.steadyNow(), actions);
        std::vector<append_record> appends;
        for (const action &sent : actions) {
            appends.push_back(std::get<append_record>(sent));
        }
        return appends;
    }

    entry_ticket add()
    {
        return m_writer.add(snapshot_entry{}, m_clock.steadyNow());
    }

    append_record sendOne()
    {
        m_clock.advance(10ms);
        const auto sent = send();
        REQUIRE(sent.size() == 1);
        return sent.front();
    }

    log_records_read read(const std::vector<append_record> &appends, log_offset first)
    {
        log_records_read read;
        read.stream = std::string("s");
        read.firstOffset = 0;
        for (const append_record &append : appends) {
            read.records.push_back({first++, append.recordId, m_clock.systemNow(), append.payload});
        }
        read.endOffset = first;
        read.queryTime = m_clock.steadyNow();
        return read;
    }

    manual_clock m_clock;
    append_budget m_budget;
    node_identity m_node{vm_id("vm/1"), 5, {}, {}, {}, {}};
    group_writer m_writer{m_node, "s", m_budget};
    stream_reader m_reader{"s"};
};

} // namespace

// Guards against one append per call, which would exceed the append rate limit of the log service.
TEST_CASE_METHOD(logstream_fixture, "group writer, entries within 10 ms, are sent as one append", "[logstream]")
{
    add();
    m_clock.advance(9ms);
    add();
    CHECK(send().empty());
    m_clock.advance(1ms);
    const auto sent = send();
    REQUIRE(sent.size() == 1);
    CHECK(decodeEntries(sent[0].payload)->size() == 2);
    add();
    m_clock.advance(1h);
    CHECK(send().empty());
    CHECK(m_writer.handle(record_appended{sent[0].recordId, 0}, m_clock.steadyNow()).size() == 2);
    CHECK(send().size() == 1);
}

// Guards against a retry with another id for entries that may already be in the log, which readers would process twice.
TEST_CASE_METHOD(logstream_fixture, "group writer, answer lost, retries with the same id and payload", "[logstream]")
{
    const entry_ticket ticket = add();
    const append_record first = sendOne();
    m_writer.handle(append_failed{first.recordId, false}, m_clock.steadyNow());
    CHECK_FALSE(m_writer.withdraw(ticket));
    m_clock.advanceTo(m_writer.nextDeadline(m_clock.steadyNow()));
    const auto second = send();
    REQUIRE(second.size() == 1);
    CHECK(second[0].recordId == first.recordId);
    CHECK(second[0].payload == first.payload);
    const auto batch = m_reader.handle(read({first, second[0]}, 0));
    CHECK(batch->entries.size() == 1);
    CHECK(m_writer.handleRead(*batch) == std::vector<entry_ticket>{ticket});
}

// Guards against reporting "not run" for an entry that is in the log, and "unknown" for an entry that can't be in it.
TEST_CASE_METHOD(logstream_fixture, "group writer, append rejected, allows withdrawal of an entry", "[logstream]")
{
    const entry_ticket ticket = add();
    add();
    const append_record first = sendOne();
    CHECK_FALSE(m_writer.withdraw(ticket));
    m_writer.handle(append_failed{first.recordId, true}, m_clock.steadyNow());
    CHECK(m_writer.withdraw(ticket));
    CHECK(m_writer.pendingEntries() == 1);
    const auto second = send();
    REQUIRE(second.size() == 1);
    CHECK(second[0].recordId != first.recordId);
}

// Guards against exceeding the append rate that the log service accepts from all VMs.
TEST_CASE_METHOD(logstream_fixture, "group writer, append budget exhausted, delays the group", "[logstream]")
{
    int sent = 0;
    const steady_time end = m_clock.steadyNow() + 10s;
    add();
    while (m_clock.steadyNow() < end) {
        for (const append_record &append : send()) {
            ++sent;
            m_writer.handle(record_appended{append.recordId, 0}, m_clock.steadyNow());
            add();
        }
        m_clock.advance(1ms);
    }
    CHECK(sent > 490);
    CHECK(sent <= 505);
}

// Guards against a reader that regards records removed by retention as read, or reports the end too early.
TEST_CASE_METHOD(logstream_fixture, "stream reader, log truncated past its position, reports the gap", "[logstream]")
{
    add();
    log_records_read later = read({sendOne()}, 7);
    later.firstOffset = 7;
    later.endOffset = 9;
    const auto batch = m_reader.handle(later);
    CHECK(batch->hasGap);
    CHECK_FALSE(batch->isAtEnd);
    CHECK_FALSE(m_reader.endReadTime());
    CHECK(m_reader.position() == 8);
    CHECK(batch->appendTimeAfterGap == m_clock.systemNow());
}
