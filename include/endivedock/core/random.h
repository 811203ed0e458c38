#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace endivedock {

/** A source of random numbers for decisions: any uniform random bit generator. */
template <typename R>
concept RandomSource = std::uniform_random_bit_generator<R>;

/** The generator of the daemons, seeded by the operating system, and of tests, with fixed seeds. */
using Random = pcg64;

/** @return a uniformly distributed number from 0 to @p bound - 1; @p bound must not be 0 */
template <RandomSource R>
std::uint64_t drawBelow(R &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/** @return a uniformly distributed number in [0, 1) */
template <RandomSource R>
double drawUnitInterval(R &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/** @return a generator seeded by the operating system */
inline Random systemRandom()
{
    pcg_extras::seed_seq_from<std::random_device> source;
    return Random(source);
}

} // namespace endivedock
