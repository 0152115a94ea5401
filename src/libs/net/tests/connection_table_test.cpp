#include "net/connection_table.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class connection_table_fixture
{
protected:
    steady_time at(int seconds) const
    {
        return steady_time() + std::chrono::seconds(seconds);
    }

    connection_table m_table;
    const connection_timeouts m_timeouts{std::chrono::seconds(30), std::chrono::seconds(4), std::chrono::seconds(20)};
};

} // namespace

// Guards against the eviction of a connection whose request is being processed, or that makes progress.
TEST_CASE_METHOD(connection_table_fixture, "connection table, evicts the one without progress for longest", "[net]")
{
    for (int socket = 1; socket <= 4; ++socket) {
        m_table.open(socket, at(socket));
    }
    m_table.setPhase(1, connection_phase::processing, at(5));
    m_table.setPhase(2, connection_phase::reading_body, at(5));
    m_table.addBytes(2, 2000, at(9));
    CHECK(m_table.longestWithoutProgress() == 3);
    m_table.setPhase(3, connection_phase::closing, at(10));
    CHECK(m_table.longestWithoutProgress() == 4);
    CHECK(m_table.openCount() == 3);
    m_table.close(3);
    CHECK(m_table.openCount() == 3);
}

// Guards against a body that single bytes keep alive, and against one that is slow and cut off.
TEST_CASE_METHOD(connection_table_fixture, "connection table, body in single bytes, expires", "[net]")
{
    m_table.open(1, at(0));
    m_table.open(2, at(0));
    m_table.setPhase(1, connection_phase::reading_body, at(0));
    m_table.setPhase(2, connection_phase::reading_body, at(0));
    for (int second = 1; second <= 20; ++second) {
        m_table.addBytes(1, 1, at(second));
        m_table.addBytes(2, 100, at(second));
    }
    CHECK(m_table.expired(m_timeouts, at(20)) == std::vector<int>{1});
    CHECK(m_table.stalledBody(at(10)) == 1);
}

// Guards against clients that never end their head, and against a limit met by a head of three seconds.
TEST_CASE_METHOD(connection_table_fixture, "connection table, head unfinished for four seconds, expires", "[net]")
{
    m_table.open(1, at(0));
    m_table.setPhase(1, connection_phase::reading_head, at(10));
    CHECK(m_table.expired(m_timeouts, at(13)).empty());
    CHECK(m_table.expired(m_timeouts, at(14)) == std::vector<int>{1});
}
