/*
 * random.c: seeded random numbers by SplitMix64. rd_mix() is its output
 * function, used as a hash too.
 */
#include "state.h"

uint64_t
rd_mix(uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

uint64_t
rd_next(dp_policy *policy, uint64_t bound)
{
    policy->random += 0x9e3779b97f4a7c15U;
    return rd_mix(policy->random) % bound;
}
