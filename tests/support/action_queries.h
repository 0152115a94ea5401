#pragma once

#include "kernel/action.h"

#include <catch2/catch.hpp>

#include <vector>

namespace crocuslane {

/// All actions of one type, in order.
template<typename wanted>
std::vector<wanted> all(const action_list &actions)
{
    std::vector<wanted> found;
    for (const action &each : actions) {
        if (const auto *match = std::get_if<wanted>(&each)) {
            found.push_back(*match);
        }
    }
    return found;
}

/// The only action of one type; fails the test unless there is exactly one.
template<typename wanted>
wanted one(const action_list &actions)
{
    const std::vector<wanted> found = all<wanted>(actions);
    REQUIRE(found.size() == 1);
    return found.front();
}

} // namespace crocuslane
