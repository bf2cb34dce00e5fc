#include "limit_share.h"

#include <string.h>

/* Seconds of the limit that the bucket holds, and its least size. */
#define _LS_BUCKET_S 0.25
#define _LS_MIN_BUCKET 2.0
/* An ask is repeated every 100 ms while it holds. */
#define _LS_ASK_LIFETIME_US 400000
/* Weight of instances whose requests no other server can serve. */
#define _LS_URGENT_FACTOR 8.0

typedef struct _ls_asker {
    char *instance;
    uint32_t wanted;
    double weight;
    double credit;
    uint32_t granted; /* in this run */
    uint64_t asked_us;
} _ls_asker;

struct ls_share {
    GPtrArray *askers; /* _ls_asker */
    double tokens;
    uint64_t filled_us; /* when the tokens were computed */
    uint64_t asked_us;
};

/* -- private -------------------------------------------------------------- */

static void
_ls_free_asker(void *data)
{
    g_free(((_ls_asker *)data)->instance);
    g_free(data);
}

static _ls_asker *
_ls_get_asker(ls_share *share, const char *instance)
{
    for (guint i = 0; i < share->askers->len; i++) {
        _ls_asker *asker = share->askers->pdata[i];
        if (strcmp(asker->instance, instance) == 0) {
            return asker;
        }
    }
    _ls_asker *asker = g_new0(_ls_asker, 1);
    asker->instance = g_strdup(instance);
    g_ptr_array_add(share->askers, asker);
    return asker;
}

static double
_ls_query_bucket(double rate)
{
    return MAX(_LS_MIN_BUCKET, rate * _LS_BUCKET_S);
}

static void
_ls_fill(ls_share *share, double rate, uint64_t now_us)
{
    if (now_us > share->filled_us) {
        double elapsed_s =
            (double)(now_us - share->filled_us) / G_USEC_PER_SEC;
        share->tokens += elapsed_s * rate;
        share->filled_us = now_us;
    }
    share->tokens = MIN(share->tokens, _ls_query_bucket(rate));
}

static void
_ls_drop_old_asks(ls_share *share, uint64_t now_us)
{
    for (guint i = share->askers->len; i > 0; i--) {
        const _ls_asker *asker = share->askers->pdata[i - 1];
        if (now_us >= asker->asked_us + _LS_ASK_LIFETIME_US) {
            g_ptr_array_remove_index(share->askers, i - 1);
        }
    }
}

/* Returns the instance that gets the next permit, by smooth weighted round
   robin; NULL: none wants one. */
static _ls_asker *
_ls_choose(ls_share *share)
{
    _ls_asker *chosen = NULL;
    double total = 0;
    for (guint i = 0; i < share->askers->len; i++) {
        _ls_asker *asker = share->askers->pdata[i];
        if (asker->wanted == 0) {
            continue;
        }
        asker->credit += asker->weight;
        total += asker->weight;
        if (!chosen || asker->credit > chosen->credit) {
            chosen = asker;
        }
    }
    if (chosen) {
        chosen->credit -= total;
    }
    return chosen;
}

/* -- public --------------------------------------------------------------- */

ls_share *
ls_create(const ls_desc *desc)
{
    ls_share *share = g_new0(ls_share, 1);
    share->askers = g_ptr_array_new_with_free_func(_ls_free_asker);
    share->filled_us = desc->now_us + desc->delay_us;
    share->asked_us = desc->now_us;
    return share;
}

void
ls_destroy(ls_share *share)
{
    if (share) {
        g_ptr_array_unref(share->askers);
        g_free(share);
    }
}

void
ls_feed_ask(ls_share *share, const char *instance, const pm_ask *ask,
            uint64_t now_us)
{
    _ls_asker *asker = _ls_get_asker(share, instance);
    asker->wanted = ask->wanted;
    asker->weight = ask->weight * (ask->urgent ? _LS_URGENT_FACTOR : 1.0);
    asker->asked_us = now_us;
    share->asked_us = now_us;
    share->tokens += ask->expired;
}

void
ls_grant(ls_share *share, double per_s, uint64_t now_us, ls_callback call,
         void *user_data)
{
    _ls_fill(share, MAX(per_s, LS_MIN_PER_S), now_us);
    _ls_drop_old_asks(share, now_us);
    _ls_asker *asker;
    while (share->tokens >= 1.0 && (asker = _ls_choose(share))) {
        share->tokens -= 1.0;
        asker->wanted--;
        asker->granted++;
    }
    for (guint i = 0; i < share->askers->len; i++) {
        asker = share->askers->pdata[i];
        if (asker->granted) {
            call(asker->instance, asker->granted, user_data);
            asker->granted = 0;
        }
    }
}

uint64_t
ls_query_asked_us(const ls_share *share)
{
    return share->asked_us;
}
