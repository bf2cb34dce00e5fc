#include "orderer.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include "load_limit.h"
#include "notice_read.h"
#include <string.h>

/* Timeout of orders and reports, which are answered within some ms, unless the
   server is being emptied or is frozen. */
#define _OR_TIMEOUT_MS 700
/* Longest answer to them: reports list adapters and runs, some kB. */
#define _OR_MAX_ANSWER_BYTES (256 * 1024)
/* Model loads that one instance may send in a burst, besides its share of the
   rate; see _or_may_load_model(). */
#define _OR_MODEL_BURST_LOADS 1.0
/* Most steps of one server in a turn: a step that could not be sent is
   followed by the next one at once. */
#define _OR_STEPS_PER_TURN 4
/* Delay of the state query after an answer that contradicts the state. */
#define _OR_INVALIDATE_DELAY_US 250000
/* Revisions reserved for one plan, so that those of a new plan are higher. */
#define _OR_REVISIONS_PER_PLAN 1000000

struct or_orderer {
    or_desc desc;
    rc_table *table;
    GPtrArray *held;             /* fl_server with a plan */
    double model_tokens;         /* model loads that may be sent now */
    uint64_t model_tokens_at_us; /* last refill */
    uint64_t generation;         /* of the last plan */
    ll_limit load_limit;
};

typedef struct _or_plan {
    od_plan *plan;
    uint64_t generation;
    uint64_t born_ms; /* start of the server process */
    bool in_flight;   /* a request to the server is in flight */
} _or_plan;

typedef struct _or_request {
    or_orderer *orderer;
    char *server;
    uint64_t born_ms; /* start of the server process that was asked */
    uint64_t sent_us;
    uint64_t generation; /* of the plan */
    bool is_report;      /* else an order */
} _or_request;

static void _or_run_steps(or_orderer *orderer, fl_server *server);

/* -- private: plans ------------------------------------------------------- */

static void
_or_begin_plan(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = g_new0(_or_plan, 1);
    plan->plan =
        od_create(&(od_desc){.fleet = orderer->desc.fleet, .server = server});
    plan->generation = ++orderer->generation;
    plan->born_ms = server->born_ms;
    server->orders = plan;
    g_ptr_array_add(orderer->held, server);
    lg_write(LG_HOLDER_STARTED, "server", server->id, NULL);
}

static void
_or_end_plan(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = server->orders;
    if (!plan) {
        return;
    }
    od_destroy(plan->plan);
    g_free(plan);
    server->orders = NULL;
    g_ptr_array_remove(orderer->held, server);
    lg_write(LG_HOLDER_ENDED, "server", server->id, NULL);
}

static bool
_or_query_lease_held(const or_orderer *orderer, const fl_server *server)
{
    return le_query_fence(orderer->desc.lease, lp_query_clock_us(),
                          server->id) != 0;
}

/* -- private: limits ------------------------------------------------------ */

/* Token bucket: each live instance gets an equal share of the service's rate
   of model loads. */
static bool
_or_may_load_model(or_orderer *orderer, const rc_service *service)
{
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    double instances = le_query_live_count(orderer->desc.lease);
    double elapsed_s =
        (double)(now_us - orderer->model_tokens_at_us) / G_USEC_PER_SEC;
    orderer->model_tokens_at_us = now_us;
    orderer->model_tokens = MIN(
        orderer->model_tokens + elapsed_s * service->loads_per_s / instances,
        MAX(_OR_MODEL_BURST_LOADS, service->loads_per_s / instances));
    return orderer->model_tokens >= 1.0;
}

/* Returns the loads from the weight store in progress, over all servers. */
static uint32_t
_or_query_fetch_count(const or_orderer *orderer)
{
    uint32_t count = 0;
    for (guint i = 0; i < orderer->held->len; i++) {
        const fl_server *server = orderer->held->pdata[i];
        count += od_query_fetch_count(((_or_plan *)server->orders)->plan);
    }
    return count;
}

/* Returns a model of the service that the server holds, else its first one;
   NULL: the service has none. */
static const rc_model *
_or_select_model(const rc_service *service, const fl_server *server)
{
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        const rc_model *model =
            copy->adapter->name ? NULL
                                : rc_query_model(service, copy->adapter->key);
        if (model) {
            return model;
        }
    }
    return service->models->len ? &g_array_index(service->models, rc_model, 0)
                                : NULL;
}

/* Returns false if the service is unknown or runs no models. */
static bool
_or_fill_limits(or_orderer *orderer, const fl_server *server,
                od_limits *limits)
{
    const rc_service *service =
        orderer->table ? rc_query_service(orderer->table, server->service)
                       : NULL;
    const rc_model *model =
        service && service->engine ? _or_select_model(service, server) : NULL;
    if (!model) {
        return false;
    }
    *limits = (od_limits){
        .model = model->name,
        .model_load_ms = model->load_ms,
        .model_mb = model->weights_mb,
        .adapter_mb = model->adapter_mb,
        .server_mb = service->weights_mb,
        .max_adapters = service->max_adapters,
        .may_load_model = _or_may_load_model(orderer, service),
        .may_load_adapter = ll_query_may_load(&orderer->load_limit,
                                              _or_query_fetch_count(orderer)),
    };
    return true;
}

/* -- private: requests to servers ----------------------------------------- */

static void
_or_apply_report(or_orderer *orderer, fl_server *server,
                 const hc_answer *answer)
{
    _or_plan *plan = server->orders;
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    dl_server report = {0};
    er_status status = {0};
    if (answer->code != ER_OK || answer->status != 200 ||
        orderer->desc.dialect->read_report(answer->bytes, answer->count,
                                           &report, &status) != ER_OK) {
        od_feed_no_answer(plan->plan, now_us);
        return;
    }
    od_feed_report(plan->plan, now_us, &report);
    lg_write(LG_REPORT_READ, "server", server->id, NULL);
    dl_clear_server(&report);
}

static void
_or_apply_order_result(or_orderer *orderer, fl_server *server,
                       const hc_answer *answer)
{
    _or_plan *plan = server->orders;
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    dl_order_result result =
        answer->code == ER_OK
            ? orderer->desc.dialect->read_order_status(answer->status)
            : DL_ORDER_DEFAULT;
    if (answer->code == ER_OK) {
        od_feed_order_result(plan->plan, now_us, result);
        double load_ms = od_take_fetch_ms(plan->plan);
        if (load_ms > 0) {
            ll_feed_load(&orderer->load_limit, load_ms);
        }
    }
    else {
        od_feed_no_answer(plan->plan, now_us);
    }
    char status[16];
    g_snprintf(status, sizeof(status), "%u", answer->status);
    lg_write(result == DL_ORDER_ACCEPTED || result == DL_ORDER_ALREADY_DONE
                 ? LG_ORDER_SENT
                 : LG_ORDER_FAILED,
             "server", server->id, "status", status, "result",
             er_query_name(answer->code), NULL);
}

static void
_or_on_answer_head(const h1_head *head, void *user_data)
{
    const _or_request *request = user_data;
    const or_desc *desc = &request->orderer->desc;
    fl_server_notice notice;
    if (nr_read_notice(&(nr_desc){.dialect = desc->dialect,
                                  .fleet = desc->fleet,
                                  .server = request->server,
                                  .born_ms = request->born_ms,
                                  .sent_us = request->sent_us,
                                  .now_us = lp_query_now_us(desc->loop)},
                       head, &notice)) {
        desc->server_notice(&notice, desc->user_data);
    }
}

static void
_or_on_answer(const hc_answer *answer, void *user_data)
{
    _or_request *request = user_data;
    or_orderer *orderer = request->orderer;
    fl_server *server = fl_query_server(orderer->desc.fleet, request->server);
    _or_plan *plan = server ? server->orders : NULL;
    if (plan && plan->generation == request->generation) {
        plan->in_flight = false;
        if (request->is_report) {
            _or_apply_report(orderer, server, answer);
        }
        else {
            _or_apply_order_result(orderer, server, answer);
        }
        orderer->desc.server_changed(server, orderer->desc.user_data);
        if (server->orders) {
            _or_run_steps(orderer, server);
        }
    }
    g_free(request->server);
    g_free(request);
}

static void
_or_send_request(or_orderer *orderer, fl_server *server, const char *method,
                 const char *path, const GString *body)
{
    const dl_dialect *dialect = orderer->desc.dialect;
    _or_plan *plan = server->orders;
    _or_request *request = g_new0(_or_request, 1);
    request->orderer = orderer;
    request->server = g_strdup(server->id);
    request->born_ms = server->born_ms;
    request->sent_us = lp_query_now_us(orderer->desc.loop);
    request->generation = plan->generation;
    request->is_report = body == NULL;
    plan->in_flight = true;
    g_autofree char *headers = g_strdup_printf(
        "%s: %s\r\n", dialect->headers[DL_EXPECT_SERVER], server->id);
    hc_call(orderer->desc.client,
            &(hc_request){.address = server->address,
                          .method = method,
                          .path = path,
                          .headers = headers,
                          .type = dialect->body_type,
                          .body = body ? body->str : NULL,
                          .body_count = body ? body->len : 0,
                          .timeout_ms = _OR_TIMEOUT_MS,
                          .max_answer_bytes = _OR_MAX_ANSWER_BYTES,
                          .head = _or_on_answer_head,
                          .done = _or_on_answer,
                          .user_data = request});
}

static void
_or_send_order(or_orderer *orderer, fl_server *server, od_step *step)
{
    dl_order *order = &step->order;
    _or_plan *plan = server->orders;
    order->holder = orderer->desc.instance;
    order->fence =
        le_query_fence(orderer->desc.lease, lp_query_clock_us(), server->id);
    if (order->fence == 0) {
        od_feed_order_result(plan->plan, lp_query_now_us(orderer->desc.loop),
                             DL_ORDER_DEFAULT);
        return;
    }
    if (!order->adapter && order->kind == DL_LOAD && !step->is_poll) {
        orderer->model_tokens -= 1.0;
    }
    ct_add(CT_ORDERS, 1);
    ct_add(CT_ORDERS_TO_LIMITED, server->limit.limited);
    if (order->adapter && !step->is_poll) {
        ct_add(order->kind == DL_LOAD ? CT_LOADS : CT_EVICTIONS, 1);
    }
    char number[24];
    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, order->orders);
    lg_write(LG_ORDER_SENT, "server", server->id, "kind",
             order->kind == DL_LOAD ? "load" : "unload", "adapter",
             order->adapter ? order->adapter : "-", "orders", number, NULL);
    GString *body = orderer->desc.dialect->write_order(order);
    _or_send_request(orderer, server, "POST",
                     orderer->desc.dialect->order_path, body);
    g_string_free(body, TRUE);
}

static void
_or_run_steps(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = server->orders;
    od_limits limits;
    for (uint32_t i = 0; i < _OR_STEPS_PER_TURN && !plan->in_flight; i++) {
        if (!_or_fill_limits(orderer, server, &limits)) {
            return;
        }
        od_step step =
            od_next(plan->plan, lp_query_now_us(orderer->desc.loop), &limits);
        if (step.kind == OD_NOTHING) {
            return;
        }
        if (step.kind == OD_REPORT) {
            ct_add(CT_REPORTS, 1);
            ct_add(CT_REPORTS_TO_LIMITED, server->limit.limited);
            _or_send_request(orderer, server, "GET",
                             orderer->desc.dialect->report_path, NULL);
            return;
        }
        _or_send_order(orderer, server, &step);
    }
}

/* -- public --------------------------------------------------------------- */

or_orderer *
or_create(const or_desc *desc)
{
    g_assert(desc->client && desc->fleet && desc->lease &&
             desc->server_changed && desc->server_notice);
    or_orderer *orderer = g_new0(or_orderer, 1);
    orderer->desc = *desc;
    orderer->held = g_ptr_array_new();
    ll_setup(&orderer->load_limit);
    orderer->model_tokens = _OR_MODEL_BURST_LOADS;
    orderer->model_tokens_at_us = lp_query_now_us(desc->loop);
    return orderer;
}

void
or_destroy(or_orderer *orderer)
{
    if (!orderer) {
        return;
    }
    while (orderer->held->len) {
        _or_end_plan(orderer, orderer->held->pdata[0]);
    }
    g_ptr_array_unref(orderer->held);
    rc_unref(orderer->table);
    g_free(orderer);
}

void
or_set_table(or_orderer *orderer, rc_table *table)
{
    rc_unref(orderer->table);
    orderer->table = rc_ref(table);
}

bool
or_request_load(or_orderer *orderer, fl_server *server, fl_adapter *adapter)
{
    _or_plan *plan = server->orders;
    if (!plan) {
        return false;
    }
    od_request_load(plan->plan, adapter, lp_query_now_us(orderer->desc.loop));
    _or_run_steps(orderer, server);
    return true;
}

void
or_invalidate(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = server->orders;
    if (plan && od_query_state_known(plan->plan)) {
        od_invalidate(plan->plan, lp_query_now_us(orderer->desc.loop) +
                                      _OR_INVALIDATE_DELAY_US);
    }
}

/* Begins or ends the plan of a server as its lease requires. */
static void
_or_update_plan(fl_server *server, void *user_data)
{
    or_orderer *orderer = user_data;
    bool lease_held =
        server->state == FL_READY && _or_query_lease_held(orderer, server);
    _or_plan *plan = server->orders;
    if (plan && (!lease_held || plan->born_ms != server->born_ms)) {
        _or_end_plan(orderer, server);
    }
    if (lease_held && !server->orders) {
        _or_begin_plan(orderer, server);
    }
}

void
or_tick(or_orderer *orderer)
{
    fl_each_server(orderer->desc.fleet, _or_update_plan, orderer);
    for (guint i = 0; i < orderer->held->len; i++) {
        _or_run_steps(orderer, orderer->held->pdata[i]);
    }
}

void
or_remove_server(or_orderer *orderer, fl_server *server)
{
    _or_end_plan(orderer, server);
}

bool
or_query_load_capacity(or_orderer *orderer, const fl_server *server,
                       int32_t *out)
{
    const _or_plan *plan = server->orders;
    od_limits limits;
    if (!plan || !od_query_state_known(plan->plan) ||
        !_or_fill_limits(orderer, server, &limits)) {
        return false;
    }
    *out = od_query_load_capacity(
        plan->plan, lp_query_now_us(orderer->desc.loop), &limits);
    return true;
}

uint64_t
or_query_revision(const fl_server *server)
{
    const _or_plan *plan = server->orders;
    return plan ? plan->generation * _OR_REVISIONS_PER_PLAN +
                      od_query_revision(plan->plan)
                : 0;
}

bool
or_query_held(const fl_server *server)
{
    return server->orders != NULL;
}

bool
or_query_work_pending(const or_orderer *orderer)
{
    for (guint i = 0; i < orderer->held->len; i++) {
        const fl_server *server = orderer->held->pdata[i];
        const _or_plan *plan = server->orders;
        if (plan->in_flight || od_query_work_pending(plan->plan)) {
            return true;
        }
    }
    return false;
}
