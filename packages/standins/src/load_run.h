/*
 * load_run.h: carries a workload out and judges the answers (prefix lo_).
 *
 * Latencies count from the intended start of a request, so that a sender
 * that falls behind does not hide it (coordinated omission).
 *
 *     lo_run *run = lo_create(&(lo_desc){.work = work, .targets = urls,
 *         .seconds = 10});
 *     lo_wait(run);
 *     lo_check(run, histories);
 *     lo_print(run);
 *
 * Limits: one main context; requests still open LO_DRAIN_S seconds after the
 * last start are counted as lost.
 */
#ifndef LACEWING_STANDIN_LOAD_RUN_H
#define LACEWING_STANDIN_LOAD_RUN_H

#include "load_client.h"
#include "workload.h"

#define LO_DRAIN_S 60

typedef struct lo_desc {
    wl_desc work;
    const char *const *targets;  /* URLs, ended by NULL; at least one */
    const char *const *services; /* direct: URLs of services; default none */
    bool direct;                 /* straight to stand-ins */
    double seconds;              /* default 10 */
    uint64_t requests_max;       /* default 1000000 */
    uint32_t deadline_ms;        /* default 0: none sent */
    const char *secret;          /* key of a team; default none */
    const char *lookup;          /* operation; default "lookup" */
    const char *booking;         /* operation; default "booking" */
} lo_desc;

typedef struct lo_run lo_run;

lo_run *lo_create(const lo_desc *desc);
void lo_destroy(lo_run *run);
/* Direct: loads every adapter on every target first. */
void lo_preload(lo_run *run);
/* Sends all and waits for the answers. */
void lo_wait(lo_run *run);
/* Reads what the services truly ran at these URLs; false when one of them
   does not answer. */
bool lo_check(lo_run *run, const char *const *services);
/* Table, histogram and the line "summary: ...". */
void lo_print(lo_run *run);

/* queries */
/* Requests lost, wrong or doubled. */
uint64_t lo_query_violations(const lo_run *run);

#endif
