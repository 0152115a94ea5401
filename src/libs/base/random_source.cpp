#include "base/random_source.h"

namespace crocuslane {

std::uint64_t random_source::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double random_source::unit()
{
    // 53 bits fill the mantissa of a double exactly, so the result can't be rounded up to 1.0.
    constexpr int mantissaBits = 53;
    return static_cast<double>(next() >> (64 - mantissaBits)) / static_cast<double>(1ULL << mantissaBits);
}

seeded_random::seeded_random(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t seeded_random::next()
{
    return m_engine();
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace crocuslane
