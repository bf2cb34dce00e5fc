/*
 * workload.h: what callers send, and when (prefix wl_).
 *
 * An open loop: arrivals are a Poisson process that takes no notice of the
 * answers. Adapters by Zipf's law, short and long drafts, some streamed,
 * look-ups and bookings, some bookings sent again. The same seed gives the
 * same work.
 *
 *     wl_workload *work = wl_create(&(wl_desc){.seed = 7, .rate = 100});
 *     wl_item item;
 *     wl_next(work, &item);
 *
 * Limits: times are microseconds from the start.
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
    uint64_t at_us;
    uint64_t number;
    wl_kind kind;
    char model[WL_TEXT_BYTES];
    char prompt[WL_TEXT_BYTES];
    char key[WL_TEXT_BYTES]; /* of a booking */
    uint32_t max_tokens;
    bool is_long;
    bool stream;
    bool resend;        /* send it again, elsewhere */
    uint32_t resend_ms; /* after this */
    uint32_t target;    /* a random number, for choosing one */
} wl_item;

typedef struct wl_desc {
    uint64_t seed;          /* default 1 */
    double rate;            /* a second; default 10 */
    uint32_t adapters;      /* default 64 */
    uint32_t versions;      /* of each adapter; default 1 */
    double zipf;            /* exponent; default 1.0 */
    const char *prefix;     /* of adapters' names; default "adapter-" */
    const char *key_prefix; /* of bookings' keys; default "booking" */
    uint32_t short_tokens;  /* mean; default 20 */
    uint32_t long_tokens;   /* mean; default 400 */
    double long_share;      /* of drafts */
    double stream_share;    /* of drafts */
    double lookup_share;    /* of all */
    double booking_share;   /* of all */
    double resend_share;    /* of bookings */
} wl_desc;

typedef struct wl_workload wl_workload;

wl_workload *wl_create(const wl_desc *desc);
void wl_destroy(wl_workload *work);
void wl_next(wl_workload *work, wl_item *item);

/* queries */
/* Name of an adapter and version; the numbers start at 0 and 1. */
void wl_query_model(const wl_workload *work, uint32_t adapter,
                    uint32_t version, char model[WL_TEXT_BYTES]);

#endif
