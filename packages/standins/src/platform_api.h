/*
 * platform_api.h: the stand-in for the platform's HTTP API (prefix pa_), as
 * described in docs/PLATFORM_API.md.
 *
 * It serves the table, the objects, the weight fetches and the list of
 * instances. Besides the orders of the shell, POST /control takes:
 *
 *     fail_loads  count            the next weight fetches fail
 *     instance    name zone address kind [lag_ms]
 *                                  adds or changes an entry of the list of
 *                                  instances, after the lag
 *     leaving     name [lag_ms]    marks the entry as leaving, after the lag
 *     gone        name [lag_ms]    removes the entry, after the lag
 *
 *     pa_platform *platform = pa_create(&(pa_desc){.shell = ...}, &status);
 *     pa_run(platform);
 *     pa_destroy(platform);
 *
 * The history gets one event per weight fetch. GET /control/stats returns
 * the number of table commits, table reads and weight fetches.
 */
#ifndef LACEWING_STANDIN_PLATFORM_API_H
#define LACEWING_STANDIN_PLATFORM_API_H

#include "shell.h"
#include "weights.h"

typedef struct pa_desc {
    sh_desc shell; /* set listen, port_file, history and max_seconds */
    wt_desc weights;
    /* Initial list: "NAME,ZONE,ADDRESS,KIND" each, ended by NULL. */
    const char *const *instances;
} pa_desc;

typedef struct pa_platform pa_platform;

/* Returns NULL and sets the status if it can't listen or an instance is
   malformed. */
pa_platform *pa_create(const pa_desc *desc, er_status *status);
void pa_destroy(pa_platform *platform);
/* Serves until the time limit or SIGTERM. */
void pa_run(pa_platform *platform);

#endif
