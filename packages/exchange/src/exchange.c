#include "answer_estimate.h"
#include "exchange_private.h"

#include "lacewing/hash.h"
#include "lacewing/log.h"
#include <string.h>

/* Deadline of a request that carries none. */
#define _XC_DEFAULT_DEADLINE_MS 30000
/* A load that has not shown up is requested again after this time: the
   datagram or the order may be lost. */
#define _XC_LOAD_RETRY_US 200000
/* Shortest time between requests for further copies of one adapter. */
#define _XC_EXTRA_COPY_INTERVAL_US 400000
/* A plain answer that takes longer than this many times the server's usual
   latency, and than the minimum, is requested from another server if the
   request may run twice. */
#define _XC_SLOW_ANSWER_FACTOR 8.0
#define _XC_SLOW_ANSWER_MIN_US 700000
/* A resumable stream goes on elsewhere if its first event takes longer than
   this many times the route's target. */
#define _XC_SLOW_FIRST_EVENT_FACTOR 2
/* The same for a gap between two pieces of it that is longer than this many
   times the route's gap target, and than the minimum. */
#define _XC_SLOW_GAP_FACTOR 4
#define _XC_SLOW_GAP_MIN_US 800000
/* Longest wait when no server can be expected soon; long enough for a server's
   entry or a lease that is just changing. */
#define _XC_NO_SERVER_WAIT_US 300000
/* Share of the retry budget that is kept for streams that go on, while servers
   of several software versions serve. */
#define _XC_RESENDS_KEPT 0.4
/* Longest wait of a stream that goes on, as its caller would lose the rest:
   callers leave a stream after a gap of two seconds or more. */
#define _XC_BEGUN_WAIT_US 2000000
/* Longest wait for a load, in multiples of the route's target, and at least
   the minimum: a load takes 250 ms, a queue of loads several times that. */
#define _XC_LOAD_WAIT_FACTOR 1
#define _XC_LOAD_WAIT_MIN_US 600000
/* Refused callers may retry after XC_RETRY_AFTER_MS plus a random time of up
   to the same length. Where no server can take the load, usually because a
   lease has lapsed, it is four times that: about the duration of a lease. */
#define _XC_NO_LOAD_TARGET_FACTOR 4
/* Requests that have waited for a pause to end wait so much longer for the
   answer to the first request after it, as the server gets only that one. */
#define _XC_PROBE_WAIT_US 300000
/* Most tokens of a stream whose caller gives no limit. */
#define _XC_DEFAULT_MAX_TOKENS 1000
/* Retry time when another instance can take the request at once. */
#define _XC_RETRY_ELSEWHERE_MS 20
/* Retry time when all instances, or all servers of a service, are leaving:
   about the time until one is back. */
#define _XC_RESTART_MS 1500
/* Retry time for a prompt that fits no server: those of a service are alike
   until the operator changes them. */
#define _XC_PROMPT_TOO_LARGE_RETRY_MS 10000
/* After a pause of all servers, callers' retries are spread at random over
   this share of the pause that is left, and over no more than the maximum. */
#define _XC_RETRY_SPREAD_SHARE 0.5
#define _XC_RETRY_SPREAD_MAX_MS 1000.0

/* Why a send of an outdated adapter version ended, for the log. */
#define _XC_OUTDATED "no answer before a new adapter version was due"

/* Default of xc_desc.max_answer_bytes. */
#define _XC_ANSWER_BYTES (64 * 1024 * 1024)

/* -- private: core -------------------------------------------------------- */

uint64_t
xc_now_us(const xc_exchange *exchange)
{
    return lp_query_now_us(exchange->core->desc.loop);
}

hg_label
xc_query_label(const xc_exchange *exchange)
{
    const rc_route *route = exchange->route;
    if (route->kind == RC_STREAM) {
        return route->resumable ? HG_RESUMABLE : HG_STREAM;
    }
    return route->kind == RC_SAFE ? HG_SAFE : HG_UNSAFE;
}

bg_budget *
xc_get_retry_budget(xc_core *core, const char *service)
{
    bg_budget *budget = g_hash_table_lookup(core->budgets, service);
    if (!budget) {
        budget =
            bg_create(&(bg_desc){.ratio = core->desc.retry_ratio,
                                 .slack = core->desc.retry_slack,
                                 .window_ms = core->desc.retry_window_ms});
        g_hash_table_insert(core->budgets, g_strdup(service), budget);
    }
    return budget;
}

/* -- private: one exchange ------------------------------------------------ */

void
xc_stop_waiting(xc_exchange *exchange)
{
    if (exchange->state == XC_WAITING_COPY) {
        g_queue_unlink(&exchange->adapter->waiting, &exchange->wait_link);
    }
    else if (exchange->state == XC_WAITING_CAPACITY) {
        g_queue_unlink(&exchange->core->waiting_capacity,
                       &exchange->wait_link);
    }
    else if (exchange->state == XC_WAITING_ORIGIN) {
        g_queue_unlink(&exchange->core->waiting_origin, &exchange->wait_link);
    }
    exchange->state = XC_NEW;
}

/* Frees an exchange that is not in core->active. */
static void
_xc_release(xc_exchange *exchange)
{
    xc_stop_waiting(exchange);
    ct_add(CT_OPEN_REQUESTS, -1);
    rc_unref(exchange->table);
    xc_drop_answer_body(exchange);
    xc_clear_send(exchange, &exchange->send);
    xc_clear_send(exchange, &exchange->other);
    sp_destroy(exchange->position);
    g_free(exchange->media_type);
    g_free(exchange);
}

void
xc_free(xc_exchange *exchange)
{
    g_queue_unlink(&exchange->core->active, &exchange->link);
    _xc_release(exchange);
}

/* Returns a random time after which a refused caller may retry. */
static uint32_t
_xc_retry_after_ms(xc_core *core)
{
    return XC_RETRY_AFTER_MS +
           (uint32_t)g_rand_int_range(core->random, 0, XC_RETRY_AFTER_MS);
}

/* Returns the longest time that a request waits for a server. */
static uint64_t
_xc_max_wait_us(const xc_exchange *exchange, fl_choice_status why)
{
    uint64_t target_us = exchange->route->latency_target_ms * 1000ULL;
    if (exchange->answer_begun || exchange->slot_wait_until_us) {
        return _XC_BEGUN_WAIT_US;
    }
    switch (why) {
    case FL_NO_SERVER:
        return _XC_NO_SERVER_WAIT_US;
    case FL_NO_COPY:
        /* No server can load it now, so a longer wait is of no use. */
        return exchange->no_load_target ? _XC_NO_SERVER_WAIT_US
                                        : MAX(target_us * _XC_LOAD_WAIT_FACTOR,
                                              _XC_LOAD_WAIT_MIN_US);
    case FL_ALL_FULL:
        return target_us;
    default:
        return MAX(target_us * _XC_LOAD_WAIT_FACTOR, _XC_LOAD_WAIT_MIN_US) +
               (exchange->waiting_since_us && why == FL_ALL_PAUSED
                    ? _XC_PROBE_WAIT_US
                    : 0);
    }
}

void
xc_refuse_or_fail(xc_exchange *exchange, uint32_t retry_after_ms,
                  ct_unserved_reason why)
{
    if (exchange->may_have_run || exchange->answer_begun) {
        xc_fail(exchange, 502, why);
    }
    else {
        xc_refuse(exchange, 503, retry_after_ms, why);
    }
}

void
xc_give_up(xc_exchange *exchange, ct_unserved_reason why)
{
    /* A lapsed lease has a new holder some seconds later. */
    uint32_t retry_after_ms =
        _xc_retry_after_ms(exchange->core) *
        (exchange->no_load_target ? _XC_NO_LOAD_TARGET_FACTOR : 1);
    xc_refuse_or_fail(exchange, retry_after_ms, why);
}

/* Estimates the time of a whole answer at a server. With an adapter, it is the
   time to read the prompt and, for a stream, to produce the most tokens. */
static uint64_t
_xc_expected_answer_us(const xc_exchange *exchange, const fl_server *server)
{
    double expected_ms = server->latency_ms;
    if (exchange->adapter) {
        expected_ms = fl_query_prefill_ms(server, exchange->prompt_tokens,
                                          xc_now_us(exchange)) +
                      (exchange->route->kind == RC_STREAM
                           ? server->event_ms * exchange->max_tokens
                           : 0);
    }
    return (uint64_t)(expected_ms * 1000.0);
}

/* Returns true if the first pause to end, where all eligible servers are
   paused, ends within the longest wait and early enough for the answer to meet
   the deadline. */
static bool
_xc_can_outwait_pause(const xc_exchange *exchange, const fl_choice *choice)
{
    uint64_t since_us = exchange->waiting_since_us ? exchange->waiting_since_us
                        : exchange->send_count     ? xc_now_us(exchange)
                                                   : exchange->received_us;
    uint64_t max_wait_us = _xc_max_wait_us(exchange, choice->status);
    return choice->resume_us < since_us + max_wait_us &&
           choice->resume_us +
                   _xc_expected_answer_us(exchange, choice->server) <
               exchange->deadline_us;
}

static uint32_t
_xc_count_waiting(const xc_exchange *exchange)
{
    uint32_t count = 0;
    for (GList *at = exchange->core->waiting_capacity.head; at;
         at = at->next) {
        count += ((const xc_exchange *)at->data)->service == exchange->service;
    }
    return count;
}

/* Returns whether the request waits for a permit, where all eligible servers
   are limited. One that waits already stays. */
static lw_verdict
_xc_decide_limited_wait(const xc_exchange *exchange, const fl_choice *choice)
{
    if (exchange->waiting_since_us) {
        return (lw_verdict){.waits = true};
    }
    xc_core *core = exchange->core;
    const char *service = exchange->service->name;
    lw_returns *returns = g_hash_table_lookup(core->returns, service);
    if (!returns) {
        returns = g_new0(lw_returns, 1);
        g_hash_table_insert(core->returns, g_strdup(service), returns);
    }
    uint64_t now_us = xc_now_us(exchange);
    uint64_t left_us =
        exchange->deadline_us > now_us ? exchange->deadline_us - now_us : 0;
    return lw_decide(
        returns,
        &(lw_load){
            .permits_per_s = choice->permits_per_s,
            .limit_per_s = choice->limit_per_s,
            .instances =
                MAX(core->desc.callbacks->count_live(core->desc.user_data), 1),
            .waiting = _xc_count_waiting(exchange),
            .max_wait_us =
                MIN(left_us, _xc_max_wait_us(exchange, choice->status)),
            .now_us = now_us});
}

/* Ends a request that no server will serve in time because all eligible
   servers leave, have asked for a pause or are limited, or none has the
   software version that began its stream. Returns false if it may still be
   served. */
static bool
_xc_end_unservable(xc_exchange *exchange, const fl_choice *choice)
{
    xc_core *core = exchange->core;
    if (choice->status == FL_NO_SOFTWARE) {
        xc_refuse_or_fail(exchange, _XC_RESTART_MS + _xc_retry_after_ms(core),
                          CT_UNSERVED_SOFTWARE);
        return true;
    }
    if (choice->status == FL_ALL_LEAVING) {
        xc_refuse_or_fail(exchange, _XC_RESTART_MS + _xc_retry_after_ms(core),
                          CT_UNSERVED_SERVERS_LEAVE);
        return true;
    }
    if (choice->status == FL_ALL_PAUSED &&
        !_xc_can_outwait_pause(exchange, choice)) {
        uint64_t left_us = choice->resume_us - xc_now_us(exchange);
        double left_ms = MAX((double)left_us / 1000.0, XC_RETRY_AFTER_MS);
        double spread_ms =
            MIN(left_ms * _XC_RETRY_SPREAD_SHARE, _XC_RETRY_SPREAD_MAX_MS);
        double retry_after_ms =
            left_ms + spread_ms * g_rand_double(core->random);
        xc_refuse_or_fail(exchange, (uint32_t)retry_after_ms,
                          CT_UNSERVED_SERVERS_PAUSED);
        return true;
    }
    if (choice->status == FL_ALL_LIMITED) {
        lw_verdict verdict = _xc_decide_limited_wait(exchange, choice);
        if (!verdict.waits) {
            xc_refuse_or_fail(exchange,
                              (uint32_t)(verdict.retry_after_us / 1000),
                              CT_UNSERVED_SERVERS_LIMITED);
            return true;
        }
    }
    return false;
}

/* Queues the request for a copy of its adapter or for capacity, or gives it up
   if it has waited long enough. */
static void
_xc_wait(xc_exchange *exchange, fl_choice_status why)
{
    uint64_t now_us = xc_now_us(exchange);
    uint64_t max_wait_us = _xc_max_wait_us(exchange, why);
    if (exchange->waiting_since_us == 0) {
        exchange->waiting_since_us =
            exchange->send_count ? now_us : exchange->received_us;
    }
    if (now_us >= exchange->waiting_since_us + max_wait_us) {
        xc_give_up(exchange,
                   why == FL_NO_COPY       ? CT_UNSERVED_NO_COPY
                   : why == FL_ALL_FULL    ? CT_UNSERVED_SERVERS_FULL
                   : why == FL_ALL_PAUSED  ? CT_UNSERVED_SERVERS_PAUSED
                   : why == FL_ALL_LIMITED ? CT_UNSERVED_SERVERS_LIMITED
                                           : CT_UNSERVED_NO_SERVER);
        return;
    }
    exchange->wait_link.data = exchange;
    if (why == FL_NO_COPY && exchange->adapter) {
        exchange->state = XC_WAITING_COPY;
        g_queue_push_tail_link(&exchange->adapter->waiting,
                               &exchange->wait_link);
    }
    else {
        exchange->state = XC_WAITING_CAPACITY;
        g_queue_push_tail_link(&exchange->core->waiting_capacity,
                               &exchange->wait_link);
    }
}

/* Returns the software version whose servers alone may get the request; 0:
   any. A stream that others may have to go on with begins only where they can
   learn of it, see stream_origins.h. */
static uint64_t
_xc_query_software(const xc_exchange *exchange)
{
    if (exchange->software_hash || !exchange->position) {
        return exchange->software_hash;
    }
    return so_query_begin_software(exchange->core->desc.origins,
                                   hs_u64(exchange->service->name));
}

static fl_request
_xc_make_criteria(const xc_exchange *exchange)
{
    fl_request criteria = {
        .service = exchange->service->name,
        .adapter = exchange->adapter,
        .zone = exchange->core->desc.zone,
        .prompt_tokens = exchange->prompt_tokens,
        .software_hash = _xc_query_software(exchange),
        .needs_slot = xc_now_us(exchange) < exchange->slot_wait_until_us,
        .now_us = xc_now_us(exchange),
        .tried_count = exchange->tried_count,
    };
    memcpy(criteria.tried, exchange->tried, sizeof(criteria.tried));
    if (xc_query_has_other(exchange) && criteria.tried_count < FL_MAX_TRIED) {
        criteria.tried[criteria.tried_count++] = exchange->other.server;
    }
    return criteria;
}

/* Returns whether the server has the software version that the request needs.
 */
static bool
_xc_may_use(const xc_exchange *exchange, const fl_server *server)
{
    uint64_t software = _xc_query_software(exchange);
    return software == 0 || (server && server->software_hash == software);
}

/* Asks for a further copy of the adapter, unless it was asked for less than
   min_interval_us ago or a copy is being loaded. */
static void
_xc_request_load(xc_exchange *exchange, uint64_t min_interval_us)
{
    fl_adapter *adapter = exchange->adapter;
    uint64_t now_us = xc_now_us(exchange);
    bool requested =
        now_us < adapter->last_load_request_us + min_interval_us &&
        _xc_may_use(exchange, adapter->last_load_server);
    if (!adapter->name || requested) {
        return;
    }
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (_xc_may_use(exchange, copy->server) &&
            fl_query_load_worth_waiting(exchange->core->desc.fleet, copy,
                                        now_us)) {
            return; /* being loaded already */
        }
    }
    fl_request criteria = _xc_make_criteria(exchange);
    fl_server *server =
        fl_choose_load_server_for(exchange->core->desc.fleet, &criteria);
    exchange->no_load_target = server == NULL;
    if (server) {
        adapter->last_load_request_us = now_us;
        adapter->last_load_server = server;
        if (exchange->logged) {
            lg_write(LG_REQUEST_LOAD, "request", exchange->id, "adapter",
                     adapter->key, "server", server->id, NULL);
        }
        exchange->core->desc.callbacks->request_load(
            server, adapter, exchange->logged ? exchange->id : NULL,
            exchange->core->desc.user_data);
    }
}

/* Returns true if another server could serve the request now. */
static bool
_xc_has_alternative(const xc_exchange *exchange)
{
    fl_request criteria = _xc_make_criteria(exchange);
    fl_choice choice;
    if (criteria.tried_count == FL_MAX_TRIED) {
        return false;
    }
    criteria.tried[criteria.tried_count++] = exchange->send.server;
    return fl_choose_server(exchange->core->desc.fleet, &criteria, &choice);
}

/* Counts each request once, however often a server was skipped for it. */
static void
_xc_count_skipped(xc_exchange *exchange, const fl_choice *choice)
{
    ct_add(CT_HELD_LEAVING,
           choice->skipped_leaving && !exchange->skipped_leaving);
    ct_add(CT_HELD_PAUSED,
           choice->skipped_paused && !exchange->skipped_paused);
    exchange->skipped_leaving =
        exchange->skipped_leaving || choice->skipped_leaving;
    exchange->skipped_paused =
        exchange->skipped_paused || choice->skipped_paused;
    ct_add(CT_HELD_LIMITED,
           choice->skipped_limited && !exchange->skipped_limited);
    exchange->skipped_limited =
        exchange->skipped_limited || choice->skipped_limited;
}

static bool
_xc_choose_server(xc_exchange *exchange, const fl_request *criteria,
                  fl_choice *choice)
{
    bool chosen =
        fl_choose_server(exchange->core->desc.fleet, criteria, choice);
    if (choice->status == FL_NO_SOFTWARE && !exchange->software_hash) {
        choice->status = FL_NO_SERVER; /* it may begin at others soon */
    }
    _xc_count_skipped(exchange, choice);
    return chosen;
}

void
xc_dispatch(xc_exchange *exchange)
{
    if (xc_end_if_blocked(exchange)) {
        return;
    }
    if (exchange->owes_resend &&
        !xc_take_resend(exchange, xc_now_us(exchange))) {
        _xc_wait(exchange, FL_ALL_FULL);
        return;
    }
    exchange->owes_resend = false;
    fl_request criteria = _xc_make_criteria(exchange);
    criteria.wants_permits = true;
    criteria.waited = exchange->wanted_permit;
    exchange->wanted_permit = true;
    fl_choice choice;
    while (_xc_choose_server(exchange, &criteria, &choice)) {
        if (choice.needs_another_copy) {
            _xc_request_load(exchange, _XC_EXTRA_COPY_INTERVAL_US);
        }
        if (xc_send(exchange, &choice)) {
            return;
        }
        if (criteria.tried_count == FL_MAX_TRIED) {
            choice.status = FL_ALL_FULL;
            break;
        }
        criteria.tried[criteria.tried_count++] = choice.server;
    }
    if (xc_continue_other(exchange)) {
        return;
    }
    if (_xc_end_unservable(exchange, &choice)) {
        return;
    }
    if (choice.status == FL_NO_COPY || choice.needs_another_copy) {
        _xc_request_load(exchange, _XC_LOAD_RETRY_US);
    }
    if (exchange->tried_count && choice.status != FL_NO_COPY) {
        /* All eligible servers were tried; the next dispatch may use each of
           them again. */
        exchange->tried_count = 0;
    }
    _xc_wait(exchange, choice.status);
}

/* -- private: from the caller's connection -------------------------------- */

static uint32_t
_xc_parse_u32(const char *text, uint32_t fallback)
{
    guint64 number = 0;
    return text && g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &number,
                                              NULL)
               ? (uint32_t)number
               : fallback;
}

/* Returns false if no route was found and the request is answered. */
static bool
_xc_find_route(xc_core *core, cr_conn *caller, const h1_head *head,
               const rc_route **route)
{
    static const char retry_header[] = "Retry-After: 0.5\r\n";
    const char *host = h1_query_header(head, "host");
    *route = core->table && host
                 ? rc_query_route(core->table, host, head->target)
                 : NULL;
    if (*route) {
        return true;
    }
    /* Without a configuration, or with one that may be stale, it is not known
       whether the route exists. */
    bool known = core->table &&
                 core->desc.callbacks->config_fresh(core->desc.user_data);
    uint32_t status = !known ? 503 : host ? 404 : 400;
    cr_respond(caller,
               &(cr_answer){.status = status,
                            .headers = status == 503 ? retry_header : NULL});
    ct_count_refused(status == 503 ? ER_NOT_READY : ER_NOT_FOUND);
    lg_write(LG_REQUEST_REFUSED, "why",
             known ? "no route for the host and path"
                   : "no configuration known to be current",
             "target", head->target, NULL);
    return false;
}

static fl_adapter *
_xc_find_adapter(xc_core *core, const rc_service *service, const h1_head *head)
{
    const char *key =
        h1_query_header(head, core->desc.dialect->headers[DL_MODEL]);
    return service && service->engine && key ? fl_intern(core->desc.fleet, key)
                                             : NULL;
}

/* Returns true unless this instance leaves before the answer would end. */
static bool
_xc_ends_before_leave(const xc_exchange *exchange)
{
    const xc_core *core = exchange->core;
    ae_answer answer = {
        .stream = exchange->route->kind == RC_STREAM,
        .max_tokens = exchange->max_tokens,
        .hint_tokens = exchange->hint_tokens,
        .timeout_us = exchange->deadline_us - exchange->received_us,
    };
    return core->leave_us == 0 ||
           (exchange->received_us < core->leave_us &&
            ae_query_fits(&answer, core->leave_us - exchange->received_us,
                          core->callers_redirected));
}

/* Returns the number that a text begins with, 0 for none; a greater number
   than 32 bits hold counts as their greatest. */
static uint32_t
_xc_parse_token_count(const char *text)
{
    return (uint32_t)MIN(g_ascii_strtoull(text, NULL, 10), UINT32_MAX);
}

static void
_xc_read_token_counts(xc_exchange *exchange)
{
    const char *name = exchange->core->desc.dialect->headers[DL_TOKENS];
    const char *tokens = h1_query_header(exchange->head, name);
    const char *comma = tokens ? strchr(tokens, ',') : NULL;
    exchange->prompt_tokens = tokens ? _xc_parse_token_count(tokens) : 0;
    exchange->max_tokens =
        comma ? _xc_parse_token_count(comma + 1) : _XC_DEFAULT_MAX_TOKENS;
    const char *hint = h1_query_header(
        exchange->head, exchange->core->desc.dialect->headers[DL_LENGTH_HINT]);
    exchange->hint_tokens = MIN(_xc_parse_u32(hint, 0), exchange->max_tokens);
}

/* Returns true if the prompt alone is larger than the memory of any server of
   the service: each of them would refuse it. */
static bool
_xc_fits_no_server(const xc_exchange *exchange)
{
    uint32_t kv_tokens = exchange->service->kv_tokens;
    return exchange->adapter && kv_tokens &&
           exchange->prompt_tokens > kv_tokens;
}

static void *
_xc_on_request(cr_conn *caller, const h1_head *head, const char *body,
               size_t body_count, void *user_data)
{
    xc_core *core = user_data;
    const rc_route *route;
    if (!_xc_find_route(core, caller, head, &route)) {
        return NULL;
    }
    ct_add(CT_REQUESTS, 1);
    ct_add(CT_OPEN_REQUESTS, 1);
    xc_exchange *exchange = g_new0(xc_exchange, 1);
    exchange->core = core;
    exchange->caller = caller;
    exchange->head = head;
    exchange->body = body;
    exchange->body_count = body_count;
    exchange->link.data = exchange;
    g_queue_push_tail_link(&core->active, &exchange->link);
    exchange->table = rc_ref(core->table);
    exchange->route = route;
    exchange->service = rc_query_service(
        core->table, rc_query_target(route, g_rand_int(core->random) >> 1));
    exchange->received_us = xc_now_us(exchange);
    const char *const *names = core->desc.dialect->headers;
    exchange->id = h1_query_header(head, names[DL_REQUEST_ID]);
    uint32_t timeout_ms = _xc_parse_u32(
        h1_query_header(head, names[DL_DEADLINE]), _XC_DEFAULT_DEADLINE_MS);
    exchange->caller_deadline_us =
        exchange->received_us + timeout_ms * 1000ULL;
    if (route->timeout_ms) {
        timeout_ms = MIN(timeout_ms, route->timeout_ms);
    }
    exchange->deadline_us = exchange->received_us + timeout_ms * 1000ULL;
    exchange->may_repeat = route->kind == RC_SAFE;
    if (route->kind == RC_STREAM && route->resumable) {
        xc_create_position(exchange);
    }
    if (!exchange->service || !exchange->id) {
        xc_refuse(exchange, exchange->id ? 503 : 400, _xc_retry_after_ms(core),
                  exchange->id ? CT_UNSERVED_NO_SERVICE
                               : CT_UNSERVED_NO_REQUEST_ID);
        return NULL;
    }
    exchange->logged = lg_sample(exchange->id);
    if (!xc_find_workspace(exchange)) {
        return NULL;
    }
    if (xc_query_unknown_adapter(exchange)) {
        xc_refuse(exchange, 404, _xc_retry_after_ms(core),
                  CT_UNSERVED_UNKNOWN_ADAPTER);
        return NULL;
    }
    exchange->adapter = _xc_find_adapter(core, exchange->service, head);
    _xc_read_token_counts(exchange);
    if (_xc_fits_no_server(exchange)) {
        xc_refuse(exchange, 503, _XC_PROMPT_TOO_LARGE_RETRY_MS,
                  CT_UNSERVED_PROMPT_TOO_LARGE);
        return NULL;
    }
    if (!_xc_ends_before_leave(exchange)) {
        bool others = core->desc.callbacks->count_staying_peers(
                          core->desc.user_data) > 0;
        xc_refuse(exchange, 503,
                  others ? _XC_RETRY_ELSEWHERE_MS : _XC_RESTART_MS,
                  CT_UNSERVED_INSTANCE_LEAVES);
        return NULL;
    }
    if (!xc_take_quota(exchange)) {
        return NULL;
    }
    if (exchange->adapter) {
        fl_count_own_request(core->desc.fleet, exchange->adapter,
                             exchange->received_us);
    }
    if (xc_find_origin(exchange)) {
        xc_dispatch(exchange);
    }
    /* The exchange may be answered and freed already; the caller's connection
       then ignores this pointer. */
    return exchange;
}

static void
_xc_on_gone(void *request, cr_gone_reason why, void *user_data)
{
    (void)user_data;
    xc_exchange *exchange = request;
    ct_add(CT_CANCELLED, 1);
    xc_log_outcome(LG_REQUEST_CANCELLED, exchange, cr_query_gone_text(why));
    xc_cancel_all_sends(exchange, FL_OUTCOME_DEFAULT);
    xc_free(exchange);
}

static void
_xc_on_drained(void *request, void *user_data)
{
    (void)user_data;
    xc_resume_reading(request);
}

static const cr_callbacks _xc_caller_callbacks = {
    .request = _xc_on_request, .gone = _xc_on_gone, .drained = _xc_on_drained};

const cr_callbacks *
xc_query_caller_callbacks(void)
{
    return &_xc_caller_callbacks;
}

/* -- private: time-outs --------------------------------------------------- */

static void
_xc_time_out(xc_exchange *exchange)
{
    xc_cancel_all_sends(exchange, FL_FAILED);
    if (exchange->may_have_run || exchange->answer_begun) {
        xc_fail(exchange, 504, CT_UNSERVED_TIME_OVER);
    }
    else {
        xc_give_up(exchange, CT_UNSERVED_TIME_OVER);
    }
}

/* Returns true if the server is slow with the next part of an answer that
   another server may produce instead. */
static bool
_xc_is_slow(const xc_exchange *exchange, uint64_t now_us)
{
    const rc_route *route = exchange->route;
    if (exchange->state != XC_SENT || exchange->send_count >= XC_MAX_SENDS ||
        exchange->possible_runs >= route->max_servers) {
        return false;
    }
    uint64_t age_us = now_us - exchange->send.sent_us;
    if (route->kind == RC_SAFE) {
        double expected_us = exchange->send.server->latency_ms * 1000.0;
        return age_us > _XC_SLOW_ANSWER_MIN_US &&
               (double)age_us > expected_us * _XC_SLOW_ANSWER_FACTOR;
    }
    if (!xc_query_can_resume(exchange) || exchange->send.paused) {
        return false;
    }
    if (exchange->send.piece_count > 0) {
        return now_us -
                   MAX(exchange->last_piece_us, exchange->send.unpaused_us) >
               MAX(route->gap_target_ms * 1000ULL * _XC_SLOW_GAP_FACTOR,
                   _XC_SLOW_GAP_MIN_US);
    }
    return age_us >
           route->latency_target_ms * 1000ULL * _XC_SLOW_FIRST_EVENT_FACTOR;
}

/* Returns true if the server of a send has not begun with the answer, or with
   the rest of it, and must not begin any more, as a newer version of the
   adapter was declared too long ago. */
static bool
_xc_is_outdated(const xc_exchange *exchange, const xc_send_state *send,
                uint64_t now_us)
{
    const fl_adapter *adapter = exchange->adapter;
    return send->upstream && adapter && adapter->name &&
           send->piece_count == 0 &&
           now_us >= fl_query_old_version_end_us(exchange->core->desc.fleet,
                                                 adapter, send->copy_version);
}

bool
xc_take_resend(const xc_exchange *exchange, uint64_t now_us)
{
    xc_core *core = exchange->core;
    /* Streams that go on where only some servers can are refused more often
       than others, and their callers lose more. */
    bool keeps = !exchange->slot_wait_until_us &&
                 so_query_mixed(core->desc.origins,
                                hs_u64(exchange->service->name), now_us);
    return bg_take_resend(
        xc_get_retry_budget(core, exchange->service->name), now_us,
        core->desc.callbacks->count_live(core->desc.user_data),
        keeps ? _XC_RESENDS_KEPT : 0);
}

/* Cancels the send, then goes on with the other one, or sends the request
   elsewhere if it is resumable and the retry budget allows it, else fails it.
 */
static void
_xc_end_outdated(xc_exchange *exchange, uint64_t now_us)
{
    xc_log_send_ended(exchange, _XC_OUTDATED);
    xc_cancel_send(exchange, FL_OUTCOME_DEFAULT);
    if (xc_continue_other(exchange)) {
        return;
    }
    if (xc_query_can_resume(exchange) &&
        exchange->possible_runs < exchange->route->max_servers &&
        xc_take_resend(exchange, now_us)) {
        xc_dispatch(exchange);
    }
    else {
        xc_give_up(exchange, CT_UNSERVED_VERSION);
    }
}

/* Returns true if the server said that it leaves, or since the send asked for
   a pause. */
static bool
_xc_server_withdrew(const xc_exchange *exchange)
{
    const nt_notice *notice = &exchange->send.server->notice;
    return nt_query_reported_leaving(notice) ||
           notice->paused_us > exchange->send.sent_us;
}

/* Sends the request to another server as well, as its server is silent. Of two
   sends, the later one, which has brought nothing, ends. */
static void
_xc_ask_another(xc_exchange *exchange)
{
    if (xc_query_has_other(exchange)) {
        xc_log_send_ended(exchange, "no answer in time");
        xc_cancel_send(exchange, FL_FAILED);
    }
    else {
        exchange->logged = true;
        lg_write(LG_REQUEST_SEND_KEPT, "request", exchange->id, "server",
                 exchange->send.server_id, NULL);
        xc_keep_send(exchange);
    }
    xc_dispatch(exchange);
}

/* Ends, resends or dispatches the request if a time limit of it is past. */
static void
_xc_check(xc_exchange *exchange, uint64_t now_us)
{
    uint64_t leave_us = exchange->core->leave_us;
    if (now_us >= exchange->deadline_us || (leave_us && now_us >= leave_us)) {
        _xc_time_out(exchange);
        return;
    }
    if (xc_end_origin_wait(exchange, now_us)) {
        return;
    }
    xc_select_latest_send(exchange);
    if (exchange->state == XC_SENT &&
        !us_query_connected(exchange->send.upstream)) {
        bool late = now_us >= exchange->send.connect_deadline_us;
        if (late || _xc_server_withdrew(exchange)) {
            xc_cancel_send(exchange,
                           late ? FL_UNREACHABLE : FL_OUTCOME_DEFAULT);
            xc_dispatch(exchange);
            return;
        }
    }
    if (exchange->state == XC_SENT && exchange->send.answer_too_long) {
        xc_end_long_answer(exchange);
        return;
    }
    if (_xc_is_outdated(exchange, &exchange->other, now_us)) {
        xc_cancel_other(exchange, _XC_OUTDATED);
    }
    if (_xc_is_outdated(exchange, &exchange->send, now_us)) {
        _xc_end_outdated(exchange, now_us);
        return;
    }
    if (_xc_is_slow(exchange, now_us) && _xc_has_alternative(exchange) &&
        xc_take_resend(exchange, now_us)) {
        _xc_ask_another(exchange);
        return;
    }
    if (exchange->state == XC_WAITING_COPY) {
        uint64_t max_wait_us = _xc_max_wait_us(exchange, FL_NO_COPY);
        if (now_us >= exchange->waiting_since_us + max_wait_us ||
            now_us >=
                exchange->adapter->last_load_request_us + _XC_LOAD_RETRY_US) {
            xc_stop_waiting(exchange);
            xc_dispatch(exchange);
        }
    }
}

void
xc_tick(xc_core *core)
{
    uint64_t now_us = lp_query_now_us(core->desc.loop);
    GList *next;
    for (GList *at = core->active.head; at; at = next) {
        next = at->next;
        _xc_check(at->data, now_us);
    }
    xc_dispatch_waiting_capacity(core);
}

/* -- public --------------------------------------------------------------- */

xc_core *
xc_create(const xc_desc *desc)
{
    g_assert(desc->loop && desc->hub && desc->fleet && desc->suspects &&
             desc->quotas && desc->origins && desc->dialect);
    xc_core *core = g_new0(xc_core, 1);
    core->desc = *desc;
    g_queue_init(&core->active);
    g_queue_init(&core->waiting_capacity);
    g_queue_init(&core->waiting_origin);
    core->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)bg_destroy);
    core->returns =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->answer_bytes.max_bytes =
        desc->max_answer_bytes ? desc->max_answer_bytes : _XC_ANSWER_BYTES;
    core->random = g_rand_new();
    return core;
}

void
xc_destroy(xc_core *core)
{
    if (!core) {
        return;
    }
    GList *link;
    while ((link = g_queue_pop_head_link(&core->active))) {
        xc_exchange *exchange = link->data;
        xc_cancel_all_sends(exchange, FL_OUTCOME_DEFAULT);
        _xc_release(exchange);
    }
    g_hash_table_unref(core->budgets);
    g_hash_table_unref(core->returns);
    g_rand_free(core->random);
    rc_unref(core->table);
    g_free(core);
}

void
xc_set_table(xc_core *core, rc_table *table)
{
    rc_unref(core->table);
    core->table = rc_ref(table);
}

void
xc_dispatch_waiting(xc_core *core, fl_adapter *adapter)
{
    (void)core;
    guint waiting = adapter->waiting.length;
    for (guint i = 0; i < waiting && adapter->waiting.head; i++) {
        xc_exchange *exchange = adapter->waiting.head->data;
        xc_stop_waiting(exchange);
        xc_dispatch(exchange);
    }
}

void
xc_dispatch_waiting_capacity(xc_core *core)
{
    guint waiting = core->waiting_capacity.length;
    for (guint i = 0; i < waiting && core->waiting_capacity.head; i++) {
        xc_exchange *exchange = core->waiting_capacity.head->data;
        xc_stop_waiting(exchange);
        xc_dispatch(exchange);
    }
}

void
xc_set_leave_time(xc_core *core, uint64_t leave_us, bool callers_redirected)
{
    core->leave_us = leave_us;
    core->callers_redirected = callers_redirected;
}

void
xc_close_idle_connections(xc_core *core, fl_server *server)
{
    (void)core;
    if (server->pool) {
        us_close_idle(server->pool);
    }
}

cw_listens
xc_check_listens(xc_core *core, fl_server *server, uint64_t since_us)
{
    (void)core;
    if (!server->pool) {
        return CW_LISTENS_DEFAULT;
    }
    if (us_query_established_count(server->pool) > 0) {
        return CW_LISTENS_YES;
    }
    if (us_query_refused_us(server->pool) >= since_us) {
        return CW_LISTENS_NO;
    }
    us_open_idle(server->pool);
    return CW_LISTENS_DEFAULT;
}
