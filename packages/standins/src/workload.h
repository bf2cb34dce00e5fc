/*
 * workload.h: a generator of requests and their times (prefix wl_).
 *
 * The load is an open loop: arrivals are a Poisson process, independent of the
 * answers. The items are short and long drafts, some of them streamed, whose
 * adapters follow Zipf's law; lookups; and bookings, some of them sent again.
 * The same description, with the same seed, gives the same sequence.
 *
 *     wl_workload *work = wl_create(&(wl_desc){.seed = 7, .rate = 100});
 *     wl_item item;
 *     wl_next(work, &item);
 *
 * Limits: names longer than WL_TEXT_BYTES - 1 are truncated.
 */
#ifndef LACEWING_STANDIN_WORKLOAD_H
#define LACEWING_STANDIN_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#define WL_TEXT_BYTES 96

typedef enum wl_kind {
    WL_KIND_DEFAULT = 0, /* draft */
    WL_LOOKUP,           /* idempotent call */
    WL_BOOKING,          /* runs at most once */
    WL_KIND_NUM
} wl_kind;

typedef struct wl_item {
    uint64_t at_us;  /* from the start */
    uint64_t number; /* starts at 0 */
    wl_kind kind;
    char model[WL_TEXT_BYTES];  /* of a draft: ADAPTER@VERSION */
    char prompt[WL_TEXT_BYTES]; /* of a draft */
    char key[WL_TEXT_BYTES];    /* of a booking */
    uint32_t max_tokens;        /* of a draft */
    bool is_long;               /* of a draft */
    bool stream;                /* of a draft */
    bool resend;                /* send the booking again, to another target */
    uint32_t resend_ms;         /* delay of the second request */
    uint32_t target; /* random number below 2^20 that selects the target */
} wl_item;

typedef struct wl_desc {
    uint64_t seed;          /* default 1 */
    double rate;            /* requests per second; default 10 */
    uint32_t adapters;      /* default 64 */
    uint32_t versions;      /* of each adapter; default 1 */
    double zipf;            /* exponent of the popularity; default 1.0 */
    const char *prefix;     /* of adapters' names; default "adapter-" */
    const char *key_prefix; /* of bookings' keys; default "booking" */
    /* means of max_tokens, which is drawn evenly from 0.5 to 1.5 times them */
    uint32_t short_tokens; /* default 20 */
    uint32_t long_tokens;  /* default 400 */
    /* shares from 0 to 1; default 0 */
    double long_share;    /* of drafts */
    double stream_share;  /* of drafts */
    double lookup_share;  /* of all items */
    double booking_share; /* of all items */
    double resend_share;  /* of bookings */
} wl_desc;

typedef struct wl_workload wl_workload;

/* The strings of desc must outlive the workload. */
wl_workload *wl_create(const wl_desc *desc);
void wl_destroy(wl_workload *work);
/* Generates the next item, in the order of at_us. */
void wl_next(wl_workload *work, wl_item *item);

/* queries */
/* ADAPTER@VERSION; adapters are numbered from 0, versions from 1. */
void wl_query_model(const wl_workload *work, uint32_t adapter,
                    uint32_t version, char model[WL_TEXT_BYTES]);

#endif
