/*
 * load_run.h: executes a workload and evaluates the answers (prefix lo_).
 *
 * A latency counts from the time at which the workload schedules the request,
 * not from the time of sending: a sender that falls behind would otherwise
 * hide delays (coordinated omission).
 *
 *     lo_run *run = lo_create(&(lo_desc){.work = work, .targets = urls,
 *         .seconds = 10});
 *     lo_execute(run);
 *     lo_check_bookings(run, services);
 *     lo_print(run);
 *     lo_destroy(run);
 *
 * Limits: one main context; requests that are still open LO_DRAIN_S seconds
 * after sending has stopped count as lost.
 */
#ifndef LACEWING_STANDIN_LOAD_RUN_H
#define LACEWING_STANDIN_LOAD_RUN_H

#include "load_client.h"
#include "workload.h"

#define LO_DRAIN_S 60

typedef struct lo_desc {
    wl_desc work;
    const char *const *targets;  /* URLs, ended by NULL; at least one */
    const char *const *services; /* with direct: URLs of services, ended by
                                    NULL; required if work has calls */
    bool direct;                 /* targets are stand-ins, not daemons */
    double seconds;              /* time of sending; default 10 */
    uint64_t requests_max;       /* resends included; default 1000000 */
    uint32_t deadline_ms;        /* of each request; default 0: none */
    const char *secret;          /* key of a team; default none */
    const char *lookup;          /* idempotent operation; default "lookup" */
    const char *booking; /* at-most-once operation; default "booking" */
} lo_desc;

typedef struct lo_run lo_run;

lo_run *lo_create(const lo_desc *desc);
void lo_destroy(lo_run *run);
/* With direct: loads version 1 of every adapter on every target; prints
   failures. */
void lo_preload(lo_run *run);
/* Sends all requests and waits for their answers. */
void lo_execute(lo_run *run);
/* Compares the answers with the histories of the services at these URLs;
   returns false if a history can't be read. */
bool lo_check_bookings(lo_run *run, const char *const *services);
/* Prints percentiles, a histogram and the line "summary: ...". */
void lo_print(lo_run *run);

/* queries */
/* Sum of the requests and bookings that were lost or wrong, ran twice, ran
   despite "not_run", or got differing answers. */
uint64_t lo_query_violations(const lo_run *run);

#endif
