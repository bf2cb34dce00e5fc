#include "lacewing/weight_share.h"

#include "support.h"

#include <string.h>

#define _WS_TICK_US UINT64_C(250000) /* interval of ticks */
/* Upper limit of what an idle daemon lends of its share. */
#define _WS_LENDABLE_PCT 50

/* -- private: state ------------------------------------------------------- */

typedef struct _ws_loan {
    uint32_t rate_milli;
    uint64_t end_us; /* the slot is free from then on */
} _ws_loan;

typedef struct _ws_peer {
    char *instance;
    uint64_t last_request_us;      /* when we last sent it a request */
    uint64_t last_answered_number; /* of its requests; drops duplicates */
} _ws_peer;

struct ws_machine {
    ws_desc desc; /* defaults filled in */
    char *instance;
    GRand *rand;
    _co_outbox *outbox;
    GPtrArray *peers; /* _ws_peer, those that are alive */
    _ws_loan *lent;
    _ws_loan *borrowed;
    uint32_t demand; /* loads that wait */
    uint64_t next_number;
    uint64_t request_number; /* of the open request; 0: none */
    uint64_t request_sent_us;
    uint64_t last_work_us;
    uint64_t start_us;    /* time of the first event; 0: none yet */
    uint64_t raise_at_us; /* when a larger share takes effect; 0: none due */
    uint32_t share_milli; /* own share in effect */
    uint32_t configured_share_milli;
    uint32_t reported_rate_milli; /* in the last WS_ACTION_RATE_CHANGED */
    uint32_t reported_in_transit;
    bool reported;
};

/* -- private: rates ------------------------------------------------------- */

/* Returns the total rate of the loans that have not ended. */
static uint32_t
_ws_sum_active(const ws_machine *ws, const _ws_loan *loans, uint64_t now_us)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < ws->desc.loan_capacity; i++) {
        sum += now_us < loans[i].end_us ? loans[i].rate_milli : 0;
    }
    return sum;
}

/* Returns false when loan_capacity loans are active. */
static bool
_ws_add_loan(const ws_machine *ws, _ws_loan *loans, uint64_t now_us,
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

/* Returns true while loans that this daemon may have granted before a restart
   can still be in use. */
static bool
_ws_recently_started(const ws_machine *ws, uint64_t now_us)
{
    uint64_t loan_us =
        _co_ms_to_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
    return !ws->desc.unsafe_full_start &&
           (ws->start_us == 0 || now_us < ws->start_us + loan_us);
}

/* Returns the rate this daemon may use: its share, less what is lent, plus
   what is borrowed. */
static uint32_t
_ws_rate(const ws_machine *ws, uint64_t now_us)
{
    uint32_t lent = _ws_recently_started(ws, now_us)
                        ? ws->share_milli / 100 * _WS_LENDABLE_PCT
                        : _ws_sum_active(ws, ws->lent, now_us);
    uint32_t kept = ws->share_milli > lent ? ws->share_milli - lent : 0;
    return kept + _ws_sum_active(ws, ws->borrowed, now_us);
}

static void
_ws_report_rate(ws_machine *ws, uint64_t now_us)
{
    uint32_t rate = _ws_rate(ws, now_us);
    uint32_t transit = MAX(1, ws->desc.loads_in_transit / ws->desc.instances);
    if (ws->reported && rate == ws->reported_rate_milli &&
        transit == ws->reported_in_transit) {
        return;
    }
    ws->reported = true;
    ws->reported_rate_milli = rate;
    ws->reported_in_transit = transit;
    ws_action *action = _co_outbox_push(ws->outbox);
    action->type = WS_ACTION_RATE_CHANGED;
    action->rate_milli = rate;
    action->in_transit = transit;
}

/* -- private: loans ------------------------------------------------------- */

/* Returns the peer whose last request is the longest ago; NULL: no peers. */
static _ws_peer *
_ws_least_recently_asked(const ws_machine *ws)
{
    _ws_peer *best = NULL;
    for (guint i = 0; i < ws->peers->len; i++) {
        _ws_peer *peer = ws->peers->pdata[i];
        if (!best || peer->last_request_us < best->last_request_us) {
            best = peer;
        }
    }
    return best;
}

/* Requests a loan from one peer if the rate does not meet the demand and the
   last request is long enough ago. */
static void
_ws_request_loan(ws_machine *ws, uint64_t now_us)
{
    bool due = now_us >= ws->request_sent_us +
                             _co_ms_to_us(ws->desc.request_interval_ms) ||
               ws->request_sent_us == 0;
    /* More loads wait than the rate allows in one second. */
    bool short_of_rate = ws->demand * 1000 > _ws_rate(ws, now_us);
    _ws_peer *peer =
        due && short_of_rate ? _ws_least_recently_asked(ws) : NULL;
    if (!peer) {
        return;
    }
    peer->last_request_us = now_us;
    ws->request_sent_us = now_us;
    ws->request_number = ws->next_number++;
    ws_action *action = _co_outbox_push(ws->outbox);
    action->type = WS_ACTION_REQUEST_LOAN;
    action->instance = _co_outbox_copy_text(ws->outbox, peer->instance);
    action->number = ws->request_number;
    action->rate_milli = ws->demand * 1000 - _ws_rate(ws, now_us);
}

/* Returns the rate that can be lent now. A daemon lends only while it has no
   demand, is not recently started and has no change of share pending. */
static uint32_t
_ws_lendable(const ws_machine *ws, uint64_t now_us)
{
    uint32_t most = ws->share_milli / 100 * _WS_LENDABLE_PCT;
    uint32_t lent = _ws_sum_active(ws, ws->lent, now_us);
    bool lends = ws->demand == 0 && ws->raise_at_us == 0 &&
                 !_ws_recently_started(ws, now_us) &&
                 ws->configured_share_milli == ws->share_milli;
    return lends && most > lent ? most - lent : 0;
}

static _ws_peer *
_ws_find_peer(const ws_machine *ws, const char *instance)
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
_ws_on_loan_request(ws_machine *ws, uint64_t now_us, const ws_event *event)
{
    _ws_peer *peer = _ws_find_peer(ws, event->instance);
    if (!peer || event->number <= peer->last_answered_number) {
        return; /* a duplicate or late request */
    }
    peer->last_answered_number = event->number;
    uint32_t rate = MIN(event->rate_milli, _ws_lendable(ws, now_us));
    uint64_t end_us =
        now_us + _co_ms_to_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
    /* The lender gives up the rate before the grant is sent. */
    if (rate > 0 && !_ws_add_loan(ws, ws->lent, now_us, rate, end_us)) {
        rate = 0;
    }
    _ws_report_rate(ws, now_us);
    ws_action *action = _co_outbox_push(ws->outbox);
    action->type = WS_ACTION_GRANT_LOAN;
    action->instance = _co_outbox_copy_text(ws->outbox, event->instance);
    action->number = event->number;
    action->rate_milli = rate;
    action->duration_ms = ws->desc.loan_ms;
}

static void
_ws_on_loan_grant(ws_machine *ws, uint64_t now_us, const ws_event *event)
{
    if (event->number == 0 || event->number != ws->request_number) {
        return;
    }
    ws->request_number = 0;
    /* The lender counts from a later time and for longer, so the loan ends
       here first. */
    uint64_t from_us =
        ws->desc.unsafe_count_from_grant ? now_us : ws->request_sent_us;
    uint64_t end_us = from_us + _co_ms_to_us(event->duration_ms);
    if (event->rate_milli > 0 && now_us < end_us) {
        _ws_add_loan(ws, ws->borrowed, now_us, event->rate_milli, end_us);
    }
}

/* -- private: own share --------------------------------------------------- */

/* Computes the share from the limits of the store. A smaller one takes effect
   at once, a larger one at raise_at_us. */
static void
_ws_update_share(ws_machine *ws, uint64_t now_us)
{
    uint32_t share = ws->desc.loads_per_s_milli / ws->desc.instances;
    ws->configured_share_milli = share;
    if (share <= ws->share_milli) {
        ws->share_milli = share;
        ws->raise_at_us = 0;
        return;
    }
    /* Other daemons may still use their old, larger shares or loans of them.
     */
    ws->raise_at_us =
        now_us + _co_ms_to_us(ws->desc.loan_ms + ws->desc.loan_margin_ms);
}

/* Does what is due: raises the share, requests a loan, reports a changed
   rate. */
static void
_ws_work(ws_machine *ws, uint64_t now_us)
{
    ws->last_work_us = now_us;
    ws->start_us = ws->start_us ? ws->start_us : now_us;
    if (ws->raise_at_us != 0 && now_us >= ws->raise_at_us) {
        ws->share_milli = ws->configured_share_milli;
        ws->raise_at_us = 0;
    }
    _ws_request_loan(ws, now_us);
    _ws_report_rate(ws, now_us);
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
_ws_on_peer(ws_machine *ws, const ws_event *event)
{
    _ws_peer *peer = _ws_find_peer(ws, event->instance);
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
        _ws_on_peer(ws, event);
        break;
    case WS_EVENT_LOAN_REQUEST:
        _ws_on_loan_request(ws, now_us, event);
        break;
    case WS_EVENT_LOAN_GRANT:
        _ws_on_loan_grant(ws, now_us, event);
        break;
    default:
        return ER_BAD_REQUEST;
    }
    _ws_work(ws, now_us);
    return ER_OK;
}

void
ws_set_store_limits(ws_machine *ws, uint64_t now_us,
                    uint32_t loads_per_s_milli, uint32_t loads_in_transit,
                    uint32_t instances)
{
    ws->desc.loads_per_s_milli = loads_per_s_milli;
    ws->desc.loads_in_transit = loads_in_transit;
    ws->desc.instances = MAX(1, instances);
    _ws_update_share(ws, now_us);
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
    return _co_outbox_pop(ws->outbox, action);
}

/* -- creation ------------------------------------------------------------- */

ws_machine *
ws_create(const ws_desc *desc)
{
    if (!desc->instance) {
        return NULL;
    }
    ws_machine *ws = g_new0(ws_machine, 1);
    ws->desc = *desc;
    ws->desc.loads_per_s_milli = _co_or_default(desc->loads_per_s_milli, 1000);
    ws->desc.loads_in_transit = _co_or_default(desc->loads_in_transit, 2);
    ws->desc.instances = _co_or_default(desc->instances, 1);
    ws->desc.loan_ms = _co_or_default(desc->loan_ms, 5000);
    ws->desc.loan_margin_ms = _co_or_default(desc->loan_margin_ms, 500);
    ws->desc.request_interval_ms =
        _co_or_default(desc->request_interval_ms, 500);
    ws->desc.loan_capacity = _co_or_default(desc->loan_capacity, 64);
    ws->instance = g_strdup(desc->instance);
    ws->rand =
        g_rand_new_with_seed((guint32)_co_or_default((uint32_t)desc->seed, 1));
    ws->outbox = _co_outbox_new(sizeof(ws_action));
    ws->peers = g_ptr_array_new_with_free_func(_ws_peer_free);
    ws->lent = g_new0(_ws_loan, ws->desc.loan_capacity);
    ws->borrowed = g_new0(_ws_loan, ws->desc.loan_capacity);
    ws->share_milli = ws->desc.loads_per_s_milli / ws->desc.instances;
    ws->configured_share_milli = ws->share_milli;
    /* Starts at a random number, so that a late grant for a request from
       before a restart matches no request. */
    ws->next_number =
        ((uint64_t)g_rand_int(ws->rand) << 32 | g_rand_int(ws->rand)) / 2 + 1;
    return ws;
}

void
ws_destroy(ws_machine *ws)
{
    if (ws) {
        g_ptr_array_unref(ws->peers);
        _co_outbox_free(ws->outbox);
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
    return ws->last_work_us + _WS_TICK_US;
}

uint32_t
ws_query_rate_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_rate(ws, now_us);
}

uint32_t
ws_query_lent_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_sum_active(ws, ws->lent, now_us);
}

uint32_t
ws_query_borrowed_milli(const ws_machine *ws, uint64_t now_us)
{
    return _ws_sum_active(ws, ws->borrowed, now_us);
}
