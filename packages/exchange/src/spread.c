#include "spread.h"

#include <glib.h>

/* Steps of the search for the level; each halves the interval. */
#define _SD_LEVEL_STEPS 30

/* Returns the requests that raise all candidates below the level to it. */
static double
_sd_room_below(const sd_candidate *candidates, uint32_t count, double level)
{
    double room = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (level > candidates[i].cost) {
            room += (level - candidates[i].cost) / candidates[i].slope;
        }
    }
    return room;
}

/* Returns the level that so many requests raise the candidates to. */
static double
_sd_find_level(const sd_candidate *candidates, uint32_t count, double requests,
               double lowest_cost, double lowest_slope)
{
    /* Alone, the cheapest candidate would be raised to the upper end. */
    double low = lowest_cost;
    double high = lowest_cost + requests * lowest_slope;
    for (int i = 0; i < _SD_LEVEL_STEPS; i++) {
        double middle = (low + high) / 2;
        if (_sd_room_below(candidates, count, middle) < requests) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return high;
}

uint32_t
sd_choose(const sd_candidate *candidates, uint32_t count, double unseen,
          double draw)
{
    g_assert(count > 0);
    uint32_t best = 0;
    for (uint32_t i = 1; i < count; i++) {
        best = candidates[i].cost < candidates[best].cost ? i : best;
    }
    if (unseen <= 0) {
        return best;
    }
    double requests = unseen + 1;
    double level =
        _sd_find_level(candidates, count, requests, candidates[best].cost,
                       candidates[best].slope);
    double left = draw * _sd_room_below(candidates, count, level);
    for (uint32_t i = 0; i < count; i++) {
        if (level > candidates[i].cost) {
            left -= (level - candidates[i].cost) / candidates[i].slope;
            if (left < 0) {
                return i;
            }
        }
    }
    return best;
}
