/*
 * limit_share.h: divides a server's rate limit among the instances
 * (prefix ls_).
 *
 * One instance, the same in the eyes of all, divides the limit of a server: a
 * token bucket that fills at the limit, whose tokens it grants as permits to
 * the instances that ask for them. Those that would use more get more; those
 * whose requests no other server can serve come first. What was granted and
 * not used is put back.
 *
 *     ls_share *share = ls_create(&(ls_desc){.now_us = now_us});
 *     ls_feed_ask(share, "entry-1", &ask, now_us);
 *     ls_grant(share, 9.4, now_us, call, user_data);
 *
 * In any time t, at most the limit x (t + 2 s) + the bucket's size is used:
 * two permits, or a quarter of a second of the limit if that is more. Of a
 * limit below LS_MIN_PER_S, also of 0, that much is granted, as only an answer
 * of the server shows that the limit is over.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_LIMIT_SHARE_H
#define LACEWING_LIMIT_SHARE_H

#include "permits.h"

#define LS_MIN_PER_S 0.2

typedef struct ls_share ls_share;

typedef struct ls_desc {
    uint64_t now_us;
    uint64_t delay_us; /* nothing is granted for this long, as another instance
                          may still do; default 0 */
} ls_desc;

ls_share *ls_create(const ls_desc *desc);
void ls_destroy(ls_share *share);

/* Takes in the ask of an instance, in place of its ask before. */
void ls_feed_ask(ls_share *share, const char *instance, const pm_ask *ask,
                 uint64_t now_us);
typedef void (*ls_callback)(const char *instance, uint32_t count,
                            void *user_data);
/* Grants what the limit allows by now; calls back once for each instance that
   gets permits. Call it about every 50 ms. */
void ls_grant(ls_share *share, double per_s, uint64_t now_us, ls_callback call,
              void *user_data);

/* queries */
/* Returns when an instance last asked. */
uint64_t ls_query_asked_us(const ls_share *share);

#endif
