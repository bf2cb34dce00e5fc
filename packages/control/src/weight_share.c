#include "lacewing/weight_share.h"

#include "support.h"

#include <string.h>

#define _WS_TICK_US UINT64_C(250000)
#define _WS_SPARE_PCT 50 /* most of an idle daemon's share that it lends */

/* -- private: state ------------------------------------------------------- */

typedef struct _ws_loan {
    uint32_t rate_milli; /* 0: free */
    uint64_t end_us;
} _ws_loan;

typedef struct _ws_peer {
    char *instance;
    uint64_t asked_us; /* when we last asked it */
    uint64_t served;   /* highest number of its asks that was answered */
} _ws_peer;

struct ws_machine {
    ws_desc desc; /* resolved */
    char *instance;
    GRand *rand;
    _co_outbox *box;
    GPtrArray *peers; /* _ws_peer, those that are there */
    _ws_loan *lent;
    _ws_loan *borrowed;
    uint32_t demand;
    uint64_t next_number;
    uint64_t ask_number; /* open ask; 0 none */
    uint64_t ask_sent_us;
    uint64_t work_us;
    uint64_t start_us; /* first work; 0: none yet */
    uint64_t raise_us; /* a larger total counts from here; 0: it does */
    uint32_t share_milli;
    uint32_t wanted_share_milli;
    uint32_t told_milli;
    uint32_t told_transit;
    bool told;
};

/* -- private: sums -------------------------------------------------------- */

static uint32_t
_ws_sum(const ws_machine *ws, const _ws_loan *loans, uint64_t now_us)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < ws->desc.loan_capacity; i++) {
        sum += now_us < loans[i].end_us ? loans[i].rate_milli : 0;
    }
    return sum;
}

static bool
_ws_add(const ws_machine *ws, _ws_loan *loans, uint64_t now_us,
        uint32_t rate_milli, uint64_t end_us)
{
    for (uint32_t i = 0; i < ws->desc.loan_capacity; i++) {
        if (now_us >= loans[i].end_us) {
            loans[i] = (_ws_loan){rate_milli, end_us};
            return true;
        }
    }
    return false;
}

/* What an earlier life of this daemon may have lent is still in use. */
static bool
_ws_is_new(const ws_machine *ws, uint64_t now_us)
{
    uint64_t loan_us = _co_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
    return !ws->desc.unsafe_full_start &&
           (ws->start_us == 0 || now_us < ws->start_us + loan_us);
}

static uint32_t
_ws_rate(const ws_machine *ws, uint64_t now_us)
{
    uint32_t lent = _ws_is_new(ws, now_us)
                        ? ws->share_milli / 100 * _WS_SPARE_PCT
                        : _ws_sum(ws, ws->lent, now_us);
    uint32_t kept = ws->share_milli > lent ? ws->share_milli - lent : 0;
    return kept + _ws_sum(ws, ws->borrowed, now_us);
}

static void
_ws_tell(ws_machine *ws, uint64_t now_us)
{
    uint32_t rate = _ws_rate(ws, now_us);
    uint32_t transit = MAX(1, ws->desc.loads_in_transit / ws->desc.instances);
    if (ws->told && rate == ws->told_milli && transit == ws->told_transit) {
        return;
    }
    ws->told = true;
    ws->told_milli = rate;
    ws->told_transit = transit;
    ws_action *action = _co_outbox_push(ws->box);
    action->type = WS_ACTION_SHARE;
    action->rate_milli = rate;
    action->in_transit = transit;
}

/* -- private: asking and lending ------------------------------------------ */

/* The peer that was not asked for the longest time. */
static _ws_peer *
_ws_next_peer(const ws_machine *ws)
{
    _ws_peer *best = NULL;
    for (guint i = 0; i < ws->peers->len; i++) {
        _ws_peer *peer = ws->peers->pdata[i];
        if (!best || peer->asked_us < best->asked_us) {
            best = peer;
        }
    }
    return best;
}

static void
_ws_ask(ws_machine *ws, uint64_t now_us)
{
    bool due = now_us >= ws->ask_sent_us + _co_us(ws->desc.ask_ms) ||
               ws->ask_sent_us == 0;
    /* Worth asking: more waits than the rate does within a second. */
    bool short_of = ws->demand * 1000 > _ws_rate(ws, now_us);
    _ws_peer *peer = due && short_of ? _ws_next_peer(ws) : NULL;
    if (!peer) {
        return;
    }
    peer->asked_us = now_us;
    ws->ask_sent_us = now_us;
    ws->ask_number = ws->next_number++;
    ws_action *action = _co_outbox_push(ws->box);
    action->type = WS_ACTION_ASK;
    action->instance = _co_outbox_text(ws->box, peer->instance);
    action->number = ws->ask_number;
    action->rate_milli = ws->demand * 1000 - _ws_rate(ws, now_us);
}

static uint32_t
_ws_spare(const ws_machine *ws, uint64_t now_us)
{
    uint32_t most = ws->share_milli / 100 * _WS_SPARE_PCT;
    uint32_t lent = _ws_sum(ws, ws->lent, now_us);
    bool lends = ws->demand == 0 && ws->raise_us == 0 &&
                 !_ws_is_new(ws, now_us) &&
                 ws->wanted_share_milli == ws->share_milli;
    return lends && most > lent ? most - lent : 0;
}

static _ws_peer *
_ws_find(const ws_machine *ws, const char *instance)
{
    for (guint i = 0; i < ws->peers->len; i++) {
        _ws_peer *peer = ws->peers->pdata[i];
        if (g_str_equal(peer->instance, instance)) {
            return peer;
        }
    }
    return NULL;
}

static void
_ws_lend(ws_machine *ws, uint64_t now_us, const ws_event *event)
{
    _ws_peer *peer = _ws_find(ws, event->instance);
    if (!peer || event->number <= peer->served) {
        return; /* a doubled or late ask */
    }
    peer->served = event->number;
    uint32_t rate = MIN(event->rate_milli, _ws_spare(ws, now_us));
    uint64_t end_us =
        now_us + _co_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
    /* Given up here before the grant leaves. */
    if (rate > 0 && !_ws_add(ws, ws->lent, now_us, rate, end_us)) {
        rate = 0;
    }
    _ws_tell(ws, now_us);
    ws_action *action = _co_outbox_push(ws->box);
    action->type = WS_ACTION_GRANT;
    action->instance = _co_outbox_text(ws->box, event->instance);
    action->number = event->number;
    action->rate_milli = rate;
    action->duration_ms = ws->desc.loan_ms;
}

static void
_ws_borrow(ws_machine *ws, uint64_t now_us, const ws_event *event)
{
    if (event->number == 0 || event->number != ws->ask_number) {
        return;
    }
    ws->ask_number = 0;
    /* The lender counts from later than we asked, and for longer. */
    uint64_t from_us =
        ws->desc.unsafe_count_from_grant ? now_us : ws->ask_sent_us;
    uint64_t end_us = from_us + _co_us(event->duration_ms);
    if (event->rate_milli > 0 && now_us < end_us) {
        _ws_add(ws, ws->borrowed, now_us, event->rate_milli, end_us);
    }
}

/* -- private: the whole --------------------------------------------------- */

static void
_ws_set_share(ws_machine *ws, uint64_t now_us)
{
    uint32_t share = ws->desc.loads_per_s_milli / ws->desc.instances;
    ws->wanted_share_milli = share;
    if (share <= ws->share_milli) {
        ws->share_milli = share;
        ws->raise_us = 0;
        return;
    }
    /* Others may still use a larger part than theirs is now. */
    ws->raise_us = now_us + _co_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
}

static void
_ws_work(ws_machine *ws, uint64_t now_us)
{
    ws->work_us = now_us;
    ws->start_us = ws->start_us ? ws->start_us : now_us;
    if (ws->raise_us != 0 && now_us >= ws->raise_us) {
        ws->share_milli = ws->wanted_share_milli;
        ws->raise_us = 0;
    }
    _ws_ask(ws, now_us);
    _ws_tell(ws, now_us);
}

/* -- commands ------------------------------------------------------------- */

static void
_ws_peer_free(void *data)
{
    _ws_peer *peer = data;
    g_free(peer->instance);
    g_free(peer);
}

static void
_ws_feed_peer(ws_machine *ws, const ws_event *event)
{
    _ws_peer *peer = _ws_find(ws, event->instance);
    if (event->alive && !peer && !g_str_equal(event->instance, ws->instance)) {
        peer = g_new0(_ws_peer, 1);
        peer->instance = g_strdup(event->instance);
        g_ptr_array_add(ws->peers, peer);
    }
    if (!event->alive && peer) {
        g_ptr_array_remove_fast(ws->peers, peer);
    }
}

er_code
ws_feed(ws_machine *ws, uint64_t now_us, const ws_event *event)
{
    if (event->type != WS_EVENT_TICK && !event->instance) {
        return ER_BAD_REQUEST;
    }
    switch (event->type) {
    case WS_EVENT_TICK:
        break;
    case WS_EVENT_PEER:
        _ws_feed_peer(ws, event);
        break;
    case WS_EVENT_ASK:
        _ws_lend(ws, now_us, event);
        break;
    case WS_EVENT_GRANT:
        _ws_borrow(ws, now_us, event);
        break;
    default:
        return ER_BAD_REQUEST;
    }
    _ws_work(ws, now_us);
    return ER_OK;
}

void
ws_set_total(ws_machine *ws, uint64_t now_us, uint32_t loads_per_s_milli,
             uint32_t loads_in_transit, uint32_t instances)
{
    ws->desc.loads_per_s_milli = loads_per_s_milli;
    ws->desc.loads_in_transit = loads_in_transit;
    ws->desc.instances = MAX(1, instances);
    _ws_set_share(ws, now_us);
    _ws_work(ws, now_us);
}

void
ws_set_demand(ws_machine *ws, uint64_t now_us, uint32_t waiting)
{
    ws->demand = waiting;
    _ws_work(ws, now_us);
}

bool
ws_next_action(ws_machine *ws, ws_action *action)
{
    return _co_outbox_pop(ws->box, action);
}

/* -- life ----------------------------------------------------------------- */

ws_machine *
ws_create(const ws_desc *desc)
{
    if (!desc->instance) {
        return NULL;
    }
    ws_machine *ws = g_new0(ws_machine, 1);
    ws->desc = *desc;
    ws->desc.loads_per_s_milli = _co_or(desc->loads_per_s_milli, 1000);
    ws->desc.loads_in_transit = _co_or(desc->loads_in_transit, 2);
    ws->desc.instances = _co_or(desc->instances, 1);
    ws->desc.loan_ms = _co_or(desc->loan_ms, 5000);
    ws->desc.loan_margin_ms = _co_or(desc->loan_margin_ms, 500);
    ws->desc.ask_ms = _co_or(desc->ask_ms, 500);
    ws->desc.loan_capacity = _co_or(desc->loan_capacity, 64);
    ws->instance = g_strdup(desc->instance);
    ws->rand = g_rand_new_with_seed((guint32)_co_or((uint32_t)desc->seed, 1));
    ws->box = _co_outbox_new(sizeof(ws_action));
    ws->peers = g_ptr_array_new_with_free_func(_ws_peer_free);
    ws->lent = g_new0(_ws_loan, ws->desc.loan_capacity);
    ws->borrowed = g_new0(_ws_loan, ws->desc.loan_capacity);
    ws->share_milli = ws->desc.loads_per_s_milli / ws->desc.instances;
    ws->wanted_share_milli = ws->share_milli;
    /* A late grant for an earlier life's ask must not fit. */
    ws->next_number =
        ((uint64_t)g_rand_int(ws->rand) << 32 | g_rand_int(ws->rand)) / 2 + 1;
    return ws;
}

void
ws_destroy(ws_machine *ws)
{
    if (ws) {
        g_ptr_array_unref(ws->peers);
        _co_outbox_free(ws->box);
        g_rand_free(ws->rand);
        g_free(ws->lent);
        g_free(ws->borrowed);
        g_free(ws->instance);
        g_free(ws);
    }
}

/* -- queries -------------------------------------------------------------- */

uint64_t
ws_query_wakeup_us(const ws_machine *ws)
{
    return ws->work_us + _WS_TICK_US;
}

uint32_t
ws_query_rate_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_rate(ws, now_us);
}

uint32_t
ws_query_lent_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_sum(ws, ws->lent, now_us);
}

uint32_t
ws_query_borrowed_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_sum(ws, ws->borrowed, now_us);
}
