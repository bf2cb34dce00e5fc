/*
 * platform_api.h: the stand-in platform's calls (prefix pa_), as in
 * docs/PLATFORM_API.md.
 *
 * Orders beside those of the shell:
 *
 *     fail_loads  count                   the next weight fetches fail
 *     instance    name zone address kind [lag_ms]   a new or changed entry
 *     leaving     name [lag_ms]           the list says that it leaves
 *     gone        name [lag_ms]           the list drops it
 *
 *     pa_platform *platform = pa_create(&(pa_desc){.shell = ...});
 *
 * The history holds each fetch; GET /control/stats counts table calls.
 */
#ifndef LACEWING_STANDIN_PLATFORM_API_H
#define LACEWING_STANDIN_PLATFORM_API_H

#include "shell.h"
#include "weights.h"

typedef struct pa_desc {
    sh_desc shell; /* listen, port_file, history, max_seconds */
    wt_desc weights;
    const char *const *instances; /* "NAME,ZONE,ADDRESS,KIND", ended by NULL */
} pa_desc;

typedef struct pa_platform pa_platform;

pa_platform *pa_create(const pa_desc *desc, er_status *status);
void pa_destroy(pa_platform *platform);
void pa_run(pa_platform *platform);

#endif
