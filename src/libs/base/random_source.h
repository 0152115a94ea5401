#pragma once

#include <cstdint>
#include <random>

namespace crocuslane {

/// Source of random numbers. It is passed to the code that uses it, so that a run can be repeated from its seed.
class random_source
{
public:
    virtual ~random_source() = default;
    virtual std::uint64_t next() = 0;

    /// Uniform in [0, bound); 0 when @p bound is 0.
    std::uint64_t below(std::uint64_t bound);
    /// Uniform in [0, 1).
    double unit();
};

/// Repeatable pseudo-random numbers.
class seeded_random : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// A random seed from the operating system.
std::uint64_t systemSeed();

} // namespace crocuslane
