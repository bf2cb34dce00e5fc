/* fleet_private.h: shared by the source files of the fleet (prefix fl_). */
#ifndef LACEWING_FL_PRIVATE_H
#define LACEWING_FL_PRIVATE_H

#include "fleet.h"
#include "spread.h"

/* Time between events where none is known yet; only ratios to other servers
   matter. */
#define FL_DEFAULT_EVENT_MS 40.0

/* Time of a load from the weight store before one was seen, and of a load
   from the server's own cache. */
#define FL_DEFAULT_FETCH_MS 250.0
#define FL_CACHED_LOAD_MS 25.0

struct fl_fleet {
    GHashTable *servers;       /* id -> fl_server */
    GHashTable *services;      /* name -> GPtrArray of fl_server */
    GHashTable *adapters;      /* key -> fl_adapter */
    GPtrArray *retired;        /* fl_server: gone, kept for references to it */
    GPtrArray *unreported;     /* fl_adapter with unreported requests */
    GHashTable *early_notices; /* id -> _fl_early_notice */
    nt_rules rules;
    uint64_t rollout_us;           /* a new version is in use within this */
    uint64_t old_version_grace_us; /* older copies are still chosen for this */
    double fetch_ms;      /* moving average of loads from the weight store */
    double report_age_ms; /* mean age of what is known of other instances */
    GArray *spread;       /* sd_candidate, of the choice that is being made */
    GPtrArray *spread_servers; /* fl_server of each of them */
    GRand *random;
};

/* Far in the future, but sums with it do not wrap. */
#define FL_NOT_REPLACED (UINT64_MAX / 2)

/* Returns when the first version newer than this one was declared, or
   FL_NOT_REPLACED. */
uint64_t fl_query_replaced_us(const fl_adapter *adapter, uint64_t version);
/* Returns the cost of a load from the weight store: its own time, and the time
   by which it delays other loads. */
uint64_t fl_query_load_cost_us(const fl_fleet *fleet);
/* Returns whether all ready servers of the service have rate limits. */
bool fl_query_all_limited(const fl_fleet *fleet, const char *service);
/* Returns the factor by which the server now works slower than usual, as it
   reported last; the deviation from 1 decays with time. */
double fl_query_slowness(const fl_server *server, uint64_t now_us);

#endif
