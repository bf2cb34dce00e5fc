/* fleet_private.h: what the parts of the fleet share (prefix fl_). */
#ifndef LACEWING_FL_PRIVATE_H
#define LACEWING_FL_PRIVATE_H

#include "fleet.h"

/* Time between events where none is known yet; only ratios count. */
#define FL_EVENT_MS 40.0

struct fl_fleet {
    GHashTable *servers;  /* id -> fl_server */
    GHashTable *services; /* name -> GPtrArray of fl_server */
    GHashTable *adapters; /* key -> fl_adapter */
    GPtrArray *retired;   /* fl_server: gone, kept for what refers to them */
    GPtrArray *used;      /* fl_adapter with uses to tell */
    uint64_t old_version_us;
    GRand *random;
};

/* Time of work now against the usual, as the server told it, fading. */
double fl_query_slowness(const fl_server *server, uint64_t now_us);

#endif
