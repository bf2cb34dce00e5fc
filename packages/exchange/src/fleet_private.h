/* fleet_private.h: what the parts of the fleet share (prefix fl_). */
#ifndef LACEWING_FL_PRIVATE_H
#define LACEWING_FL_PRIVATE_H

#include "fleet.h"

/* Time between events where none is known yet; only ratios count. */
#define FL_EVENT_MS 40.0

/* Of a load from the weight store where none was seen, and of one that is at
   hand. */
#define FL_FETCH_MS 250.0
#define FL_AT_HAND_MS 25.0

struct fl_fleet {
    GHashTable *servers;  /* id -> fl_server */
    GHashTable *services; /* name -> GPtrArray of fl_server */
    GHashTable *adapters; /* key -> fl_adapter */
    GPtrArray *retired;   /* fl_server: gone, kept for what refers to them */
    GPtrArray *used;      /* fl_adapter with uses to tell */
    GHashTable *words;    /* id -> _fl_word */
    nt_rules rules;
    uint64_t version_us;     /* a new version is used within */
    uint64_t old_version_us; /* older copies are still chosen within */
    double fetch_ms;         /* of loads from the weight store lately */
    GRand *random;
};

/* What a load from the weight store costs: its own time, and what it takes
   from others. */
uint64_t fl_query_load_us(const fl_fleet *fleet);
/* Time of work now against the usual, as the server told it, fading. */
double fl_query_slowness(const fl_server *server, uint64_t now_us);

#endif
