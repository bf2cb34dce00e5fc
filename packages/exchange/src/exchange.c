#include "ending.h"
#include "exchange_private.h"

#include "lacewing/log.h"
#include <string.h>

/* Deadline of a caller that tells none. */
#define _XC_DEADLINE_MS 30000
/* A load is asked for again when nothing was heard: the datagram or the
   order may be lost. */
#define _XC_ASK_AGAIN_US 200000
/* The same adapter at a further server, at most this often. */
#define _XC_MORE_COPIES_US 400000
/* A plain answer that takes this many times its usual time, and at least
   some time, is looked for elsewhere if it may run twice. */
#define _XC_SLOW_TIMES 8.0
#define _XC_SLOW_LEAST_US 700000
/* A resumable stream without a first event by this many times its target. */
#define _XC_SLOW_STREAM_TIMES 2
/* A resumable stream whose pause is this many times its target. */
#define _XC_SLOW_GAP_TIMES 4
#define _XC_SLOW_GAP_LEAST_US 800000
/* Where nothing can be expected soon, a request waits this long only: a
   server's entry or a lease may just be changing. */
#define _XC_NO_SERVER_US 300000
/* For an adapter that is to be loaded it waits so many times its route's
   target: a load takes 250 ms, a queue of them some times that. */
#define _XC_WAIT_TIMES 1
#define _XC_WAIT_LEAST_US 600000
/* Refused callers come back after this and up to as much more by chance;
   after four times that where a lease has lapsed: about a lease's time. */
#define _XC_BACK_MS 400
#define _XC_NO_PLACE_TIMES 4
/* Tokens of a stream whose caller tells no limit. */
#define _XC_TOKENS_MOST 1000
/* Another instance can take it at once. */
#define _XC_ELSEWHERE_MS 20
/* All instances leave, or all servers of a service do: one is back in about
   this time. */
#define _XC_RESTART_MS 1500
/* Callers come back by chance within this share of what a pause lasts, and at
   most within this time. */
#define _XC_BACK_SPREAD 0.5
#define _XC_BACK_SPREAD_MS 1000.0

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
xc_budget(xc_core *core, const char *service)
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
    if (exchange->state == XC_WAITS_COPY) {
        g_queue_unlink(&exchange->adapter->waiting, &exchange->wait_link);
    }
    else if (exchange->state == XC_WAITS_ROOM) {
        g_queue_unlink(&exchange->core->crowded, &exchange->wait_link);
    }
    exchange->state = XC_NEW;
}

/* Frees an exchange that is not among the active ones. */
static void
_xc_release(xc_exchange *exchange)
{
    xc_stop_waiting(exchange);
    ct_add(CT_OPEN_REQUESTS, -1);
    rc_unref(exchange->table);
    if (exchange->answer_headers) {
        g_string_free(exchange->answer_headers, TRUE);
    }
    g_clear_pointer(&exchange->answer, g_byte_array_unref);
    g_clear_pointer(&exchange->event, g_byte_array_unref);
    g_free(exchange->last_event);
    g_free(exchange);
}

void
xc_free(xc_exchange *exchange)
{
    g_queue_unlink(&exchange->core->active, &exchange->link);
    _xc_release(exchange);
}

static uint32_t
_xc_back_ms(xc_core *core)
{
    return _XC_BACK_MS +
           (uint32_t)g_rand_int_range(core->random, 0, _XC_BACK_MS);
}

/* How long a request waits before it is sent. */
static uint64_t
_xc_patience_us(const xc_exchange *exchange, fl_choice_status why)
{
    uint64_t target_us = exchange->route->latency_target_ms * 1000ULL;
    switch (why) {
    case FL_NO_SERVER:
        return _XC_NO_SERVER_US;
    case FL_NO_COPY:
        /* Nobody can have it loaded now: waiting helps no one. */
        return exchange->no_place
                   ? _XC_NO_SERVER_US
                   : MAX(target_us * _XC_WAIT_TIMES, _XC_WAIT_LEAST_US);
    case FL_ALL_FULL:
        return target_us;
    default:
        return MAX(target_us * _XC_WAIT_TIMES, _XC_WAIT_LEAST_US);
    }
}

/* The caller may come back after that. */
static void
_xc_send_back(xc_exchange *exchange, uint32_t back_ms, ct_end why)
{
    if (exchange->may_have_run || exchange->begun) {
        xc_fail(exchange, 502, why);
    }
    else {
        xc_refuse(exchange, 503, back_ms, why);
    }
}

void
xc_give_up(xc_exchange *exchange, ct_end why)
{
    /* A lease that lapsed is another's some seconds later. */
    uint32_t back_ms = _xc_back_ms(exchange->core) *
                       (exchange->no_place ? _XC_NO_PLACE_TIMES : 1);
    _xc_send_back(exchange, back_ms, why);
}

/* Time of a whole answer at a server, as far as it is known. */
static uint64_t
_xc_usual_us(const xc_exchange *exchange, const fl_server *server)
{
    double usual_ms = server->latency_ms;
    if (exchange->adapter) {
        usual_ms = fl_query_prefill_ms(server, exchange->prompt_tokens,
                                       xc_now_us(exchange)) +
                   (exchange->route->kind == RC_STREAM
                        ? server->event_ms * exchange->most_tokens
                        : 0);
    }
    return (uint64_t)(usual_ms * 1000.0);
}

/* All that could serve it asked for a pause. The first of them is back before
   it is late, and then its answer comes in time. */
static bool
_xc_may_wait(const xc_exchange *exchange, const fl_choice *choice)
{
    uint64_t since_us = exchange->waits_since_us ? exchange->waits_since_us
                        : exchange->sends        ? xc_now_us(exchange)
                                                 : exchange->begun_us;
    uint64_t patience_us = _xc_patience_us(exchange, choice->status);
    return choice->resume_us < since_us + patience_us &&
           choice->resume_us + _xc_usual_us(exchange, choice->server) <
               exchange->end_us;
}

/* Ends what is known not to be served by what servers said of themselves. */
static bool
_xc_end_known(xc_exchange *exchange, const fl_choice *choice)
{
    xc_core *core = exchange->core;
    if (choice->status == FL_ALL_LEAVING) {
        _xc_send_back(exchange, _XC_RESTART_MS + _xc_back_ms(core),
                      CT_END_ALL_LEAVE);
        return true;
    }
    if (choice->status == FL_ALL_PAUSED && !_xc_may_wait(exchange, choice)) {
        uint64_t left_us = choice->resume_us - xc_now_us(exchange);
        double left_ms = MAX((double)left_us / 1000.0, _XC_BACK_MS);
        double spread_ms = MIN(left_ms * _XC_BACK_SPREAD, _XC_BACK_SPREAD_MS);
        double back_ms = left_ms + spread_ms * g_rand_double(core->random);
        _xc_send_back(exchange, (uint32_t)back_ms, CT_END_ALL_PAUSED);
        return true;
    }
    return false;
}

static void
_xc_wait(xc_exchange *exchange, fl_choice_status why)
{
    uint64_t now_us = xc_now_us(exchange);
    uint64_t patience_us = _xc_patience_us(exchange, why);
    if (exchange->waits_since_us == 0) {
        exchange->waits_since_us =
            exchange->sends ? now_us : exchange->begun_us;
    }
    if (now_us >= exchange->waits_since_us + patience_us) {
        xc_give_up(exchange, why == FL_NO_COPY      ? CT_END_NO_COPY
                             : why == FL_ALL_FULL   ? CT_END_FULL
                             : why == FL_ALL_PAUSED ? CT_END_ALL_PAUSED
                                                    : CT_END_NO_SERVER);
        return;
    }
    exchange->wait_link.data = exchange;
    if (why == FL_NO_COPY && exchange->adapter) {
        exchange->state = XC_WAITS_COPY;
        g_queue_push_tail_link(&exchange->adapter->waiting,
                               &exchange->wait_link);
    }
    else {
        exchange->state = XC_WAITS_ROOM;
        g_queue_push_tail_link(&exchange->core->crowded, &exchange->wait_link);
    }
}

static void
_xc_ask(xc_exchange *exchange, uint64_t again_us)
{
    fl_adapter *adapter = exchange->adapter;
    uint64_t now_us = xc_now_us(exchange);
    if (!adapter->name || now_us < adapter->last_load_request_us + again_us) {
        return;
    }
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (fl_query_load_worth_waiting(exchange->core->desc.fleet, copy,
                                        now_us)) {
            return; /* on its way already */
        }
    }
    fl_server *server = fl_choose_load_server(
        exchange->core->desc.fleet, exchange->service->name, adapter, now_us);
    exchange->no_place = server == NULL;
    if (server) {
        adapter->last_load_request_us = now_us;
        adapter->last_load_server = server;
        if (exchange->told) {
            lg_write(LG_ASKED, "request", exchange->id, "adapter",
                     adapter->key, "server", server->id, NULL);
        }
        exchange->core->desc.calls->ask(server, adapter,
                                        exchange->told ? exchange->id : NULL,
                                        exchange->core->desc.user_data);
    }
}

static fl_request
_xc_want(const xc_exchange *exchange)
{
    fl_request want = {
        .service = exchange->service->name,
        .adapter = exchange->adapter,
        .zone = exchange->core->desc.zone,
        .prompt_tokens = exchange->prompt_tokens,
        .now_us = xc_now_us(exchange),
        .tried_count = exchange->tried_count,
    };
    memcpy(want.tried, exchange->tried, sizeof(want.tried));
    return want;
}

/* Another server could take over what the present one is late with. */
static bool
_xc_has_other(const xc_exchange *exchange)
{
    fl_request want = _xc_want(exchange);
    fl_choice choice;
    if (want.tried_count == FL_MAX_TRIED) {
        return false;
    }
    want.tried[want.tried_count++] = exchange->server;
    return fl_choose_server(exchange->core->desc.fleet, &want, &choice);
}

/* Counts each request once. */
static void
_xc_count_held(xc_exchange *exchange, const fl_choice *choice)
{
    ct_add(CT_HELD_LEAVING,
           choice->skipped_leaving && !exchange->held_leaving);
    ct_add(CT_HELD_PAUSED, choice->skipped_paused && !exchange->held_paused);
    exchange->held_leaving = exchange->held_leaving || choice->skipped_leaving;
    exchange->held_paused = exchange->held_paused || choice->skipped_paused;
}

static bool
_xc_choose(xc_exchange *exchange, const fl_request *want, fl_choice *choice)
{
    bool chosen = fl_choose_server(exchange->core->desc.fleet, want, choice);
    _xc_count_held(exchange, choice);
    return chosen;
}

void
xc_dispatch(xc_exchange *exchange)
{
    fl_request want = _xc_want(exchange);
    fl_choice choice;
    while (_xc_choose(exchange, &want, &choice)) {
        if (choice.needs_another_copy) {
            _xc_ask(exchange, _XC_MORE_COPIES_US);
        }
        if (xc_send(exchange, choice.server, choice.version)) {
            return;
        }
        if (want.tried_count == FL_MAX_TRIED) {
            choice.status = FL_ALL_FULL;
            break;
        }
        want.tried[want.tried_count++] = choice.server;
    }
    if (_xc_end_known(exchange, &choice)) {
        return;
    }
    if (choice.status == FL_NO_COPY || choice.needs_another_copy) {
        _xc_ask(exchange, _XC_ASK_AGAIN_US);
    }
    if (exchange->tried_count && choice.status != FL_NO_COPY) {
        /* All were tried: from the next time on each may be again. */
        exchange->tried_count = 0;
    }
    _xc_wait(exchange, choice.status);
}

/* -- private: from the caller's connection -------------------------------- */

static uint32_t
_xc_number(const char *text, uint32_t fallback)
{
    guint64 number = 0;
    return text && g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &number,
                                              NULL)
               ? (uint32_t)number
               : fallback;
}

static bool
_xc_find_route(xc_core *core, cr_conn *caller, const h1_head *head,
               const rc_route **route)
{
    static const char back[] = "Retry-After: 0.5\r\n";
    const char *host = h1_query_header(head, "host");
    *route = core->table && host
                 ? rc_query_route(core->table, host, head->target)
                 : NULL;
    if (*route) {
        return true;
    }
    /* Without a configuration, or with one that may be old, it is not known
       that the route does not exist. */
    bool known =
        core->table && core->desc.calls->config_fresh(core->desc.user_data);
    uint32_t status = !known ? 503 : host ? 404 : 400;
    cr_respond(caller, &(cr_answer){.status = status,
                                    .headers = status == 503 ? back : NULL});
    ct_refused(status == 503 ? ER_NOT_READY : ER_NOT_FOUND);
    lg_write(LG_REFUSED, "why", known ? "no such route" : "no configuration",
             "target", head->target, NULL);
    return false;
}

static fl_adapter *
_xc_adapter(xc_core *core, const rc_service *service, const h1_head *head)
{
    const char *key =
        h1_query_header(head, core->desc.dialect->headers[DL_MODEL]);
    return service && service->engine && key ? fl_intern(core->desc.fleet, key)
                                             : NULL;
}

static bool
_xc_ends_in_time(const xc_exchange *exchange)
{
    const xc_core *core = exchange->core;
    en_answer answer = {
        .stream = exchange->route->kind == RC_STREAM,
        .most_tokens = exchange->most_tokens,
        .hint_tokens = exchange->hint_tokens,
        .patience_us = exchange->end_us - exchange->begun_us,
    };
    return core->leave_us == 0 ||
           (exchange->begun_us < core->leave_us &&
            en_query_fits(&answer, core->leave_us - exchange->begun_us,
                          core->others_only));
}

static void
_xc_read_tokens(xc_exchange *exchange)
{
    const char *name = exchange->core->desc.dialect->headers[DL_TOKENS];
    const char *tokens = h1_query_header(exchange->head, name);
    const char *comma = tokens ? strchr(tokens, ',') : NULL;
    exchange->prompt_tokens =
        tokens ? (uint32_t)g_ascii_strtoull(tokens, NULL, 10) : 0;
    exchange->most_tokens =
        comma ? (uint32_t)g_ascii_strtoull(comma + 1, NULL, 10)
              : _XC_TOKENS_MOST;
    const char *hint = h1_query_header(
        exchange->head, exchange->core->desc.dialect->headers[DL_LENGTH_HINT]);
    exchange->hint_tokens = MIN(_xc_number(hint, 0), exchange->most_tokens);
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
    exchange->begun_us = xc_now_us(exchange);
    const char *const *names = core->desc.dialect->headers;
    exchange->id = h1_query_header(head, names[DL_REQUEST_ID]);
    uint32_t wait_ms =
        _xc_number(h1_query_header(head, names[DL_DEADLINE]), _XC_DEADLINE_MS);
    if (route->timeout_ms) {
        wait_ms = MIN(wait_ms, route->timeout_ms);
    }
    exchange->end_us = exchange->begun_us + wait_ms * 1000ULL;
    exchange->may_repeat = route->kind == RC_SAFE;
    if (!exchange->service || !exchange->id) {
        xc_refuse(exchange, exchange->id ? 503 : 400, _xc_back_ms(core),
                  exchange->id ? CT_END_NO_SERVICE : CT_END_NO_ID);
        return NULL;
    }
    exchange->told = lg_sample(exchange->id);
    exchange->adapter = _xc_adapter(core, exchange->service, head);
    _xc_read_tokens(exchange);
    if (!_xc_ends_in_time(exchange)) {
        bool others = core->desc.calls->others(core->desc.user_data) > 0;
        xc_refuse(exchange, 503, others ? _XC_ELSEWHERE_MS : _XC_RESTART_MS,
                  CT_END_LEAVES);
        return NULL;
    }
    if (exchange->adapter) {
        fl_count_own_request(core->desc.fleet, exchange->adapter,
                             exchange->begun_us);
    }
    xc_dispatch(exchange);
    /* It may be answered and freed by now; then the caller's connection does
       not keep this. */
    return exchange;
}

static void
_xc_on_gone(void *request, void *user_data)
{
    (void)user_data;
    xc_exchange *exchange = request;
    ct_add(CT_CANCELLED, 1);
    xc_log(LG_LEFT, exchange, "caller left");
    xc_cancel_send(exchange, FL_OUTCOME_DEFAULT);
    xc_free(exchange);
}

static void
_xc_on_drained(void *request, void *user_data)
{
    (void)user_data;
    xc_exchange *exchange = request;
    if (exchange->line) {
        us_pause(exchange->line, false);
    }
}

static const cr_calls _xc_caller_calls = {
    .request = _xc_on_request, .gone = _xc_on_gone, .drained = _xc_on_drained};

const cr_calls *
xc_query_caller_calls(void)
{
    return &_xc_caller_calls;
}

/* -- private: time -------------------------------------------------------- */

static void
_xc_time_out(xc_exchange *exchange)
{
    if (exchange->state == XC_SENT) {
        xc_cancel_send(exchange, FL_FAILED);
    }
    if (exchange->may_have_run || exchange->begun) {
        xc_fail(exchange, 504, CT_END_TIME);
    }
    else {
        xc_give_up(exchange, CT_END_TIME);
    }
}

/* The server is late with the next part of what can be had elsewhere. */
static bool
_xc_slow(const xc_exchange *exchange, uint64_t now_us)
{
    const rc_route *route = exchange->route;
    if (exchange->state != XC_SENT || exchange->sends >= XC_SENDS ||
        exchange->ran_at >= route->max_servers) {
        return false;
    }
    uint64_t age_us = now_us - exchange->sent_us;
    if (route->kind == RC_SAFE) {
        double usual_us = exchange->server->latency_ms * 1000.0;
        return age_us > _XC_SLOW_LEAST_US &&
               (double)age_us > usual_us * _XC_SLOW_TIMES;
    }
    if (!route->resumable) {
        return false;
    }
    if (exchange->begun && exchange->last_us > exchange->sent_us) {
        return now_us - exchange->last_us >
               MAX(route->gap_target_ms * 1000ULL * _XC_SLOW_GAP_TIMES,
                   _XC_SLOW_GAP_LEAST_US);
    }
    return age_us > route->latency_target_ms * 1000ULL * _XC_SLOW_STREAM_TIMES;
}

/* A newer version of its adapter was declared so long ago that it must not
   begin any more where it waits now. */
static bool
_xc_outdated(const xc_exchange *exchange, uint64_t now_us)
{
    const fl_adapter *adapter = exchange->adapter;
    return exchange->state == XC_SENT && adapter && adapter->name &&
           exchange->first_us < exchange->sent_us &&
           exchange->version < adapter->version &&
           now_us >= fl_query_old_version_end_us(exchange->core->desc.fleet,
                                                 adapter);
}

/* Goes on elsewhere if it may, else fails. */
static void
_xc_end_outdated(xc_exchange *exchange)
{
    exchange->told = true;
    lg_write(LG_SEND_ENDED, "request", exchange->id, "why",
             "not begun when a new version was due", "server",
             exchange->server->id, NULL);
    xc_cancel_send(exchange, FL_OUTCOME_DEFAULT);
    if (exchange->route->resumable &&
        exchange->ran_at < exchange->route->max_servers) {
        exchange->resumed = exchange->begun;
        xc_dispatch(exchange);
    }
    else {
        xc_give_up(exchange, CT_END_VERSION);
    }
}

/* The server said since it was sent that it leaves, or asked for a pause. */
static bool
_xc_unwanted(const xc_exchange *exchange)
{
    const nt_notice *notice = &exchange->server->notice;
    return nt_query_reported_leaving(notice) ||
           notice->paused_us > exchange->sent_us;
}

static void
_xc_look(xc_exchange *exchange, uint64_t now_us)
{
    uint64_t leave_us = exchange->core->leave_us;
    if (now_us >= exchange->end_us || (leave_us && now_us >= leave_us)) {
        _xc_time_out(exchange);
        return;
    }
    if (exchange->state == XC_SENT && !us_query_connected(exchange->line)) {
        bool late = now_us >= exchange->connect_until_us;
        if (late || _xc_unwanted(exchange)) {
            xc_cancel_send(exchange,
                           late ? FL_UNREACHABLE : FL_OUTCOME_DEFAULT);
            xc_dispatch(exchange);
            return;
        }
    }
    if (exchange->state == XC_SENT && exchange->overrun) {
        xc_end_overrun(exchange);
        return;
    }
    if (_xc_outdated(exchange, now_us)) {
        _xc_end_outdated(exchange);
        return;
    }
    if (_xc_slow(exchange, now_us) && _xc_has_other(exchange) &&
        bg_take_resend(xc_budget(exchange->core, exchange->service->name),
                       now_us,
                       exchange->core->desc.calls->live(
                           exchange->core->desc.user_data))) {
        exchange->told = true;
        lg_write(LG_SEND_ENDED, "request", exchange->id, "why",
                 "no answer in time", "server", exchange->server->id, NULL);
        xc_cancel_send(exchange, FL_FAILED);
        exchange->resumed = exchange->begun;
        xc_dispatch(exchange);
        return;
    }
    if (exchange->state == XC_WAITS_COPY) {
        uint64_t patience_us = _xc_patience_us(exchange, FL_NO_COPY);
        if (now_us >= exchange->waits_since_us + patience_us ||
            now_us >=
                exchange->adapter->last_load_request_us + _XC_ASK_AGAIN_US) {
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
        _xc_look(at->data, now_us);
    }
    guint waiting = core->crowded.length;
    for (guint i = 0; i < waiting && core->crowded.head; i++) {
        xc_exchange *exchange = core->crowded.head->data;
        xc_stop_waiting(exchange);
        xc_dispatch(exchange);
    }
}

/* -- public --------------------------------------------------------------- */

xc_core *
xc_create(const xc_desc *desc)
{
    g_assert(desc->loop && desc->hub && desc->fleet && desc->dialect);
    xc_core *core = g_new0(xc_core, 1);
    core->desc = *desc;
    g_queue_init(&core->active);
    g_queue_init(&core->crowded);
    core->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)bg_destroy);
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
        xc_cancel_send(exchange, FL_OUTCOME_DEFAULT);
        _xc_release(exchange);
    }
    g_hash_table_unref(core->budgets);
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
xc_wake(xc_core *core, fl_adapter *adapter)
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
xc_set_leave(xc_core *core, uint64_t leave_us, bool others_only)
{
    core->leave_us = leave_us;
    core->others_only = others_only;
}

void
xc_drop_server(xc_core *core, fl_server *server)
{
    (void)core;
    if (server->pool) {
        us_drop_idle(server->pool);
    }
}
