#include "orderer.h"

#include "hear.h"
#include "lacewing/counter.h"
#include "lacewing/log.h"
#include "transit.h"
#include <string.h>

/* Orders and reports are answered within some ms; a server that is emptied
   or frozen is not. */
#define _OR_TIMEOUT_MS 700
/* Model loads of one instance in a row, beside its part of the rate. */
#define _OR_MODEL_BURST 1.0
/* Steps of one server in a turn. */
#define _OR_STEPS 4

struct or_orderer {
    or_desc desc;
    rc_table *table;
    GPtrArray *held; /* fl_server with a plan */
    double model_tokens;
    uint64_t model_tokens_us;
    uint64_t generation;
    ts_share transit;
};

typedef struct _or_plan {
    od_plan *plan;
    uint64_t generation;
    uint64_t born_ms;
    bool calling;
} _or_plan;

typedef struct _or_call {
    or_orderer *orderer;
    char *server;
    uint64_t born_ms; /* of its process, when it was asked */
    uint64_t generation;
    bool report;
} _or_call;

static void _or_step(or_orderer *orderer, fl_server *server);

/* -- private: plans ------------------------------------------------------- */

static void
_or_begin(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = g_new0(_or_plan, 1);
    plan->plan =
        od_create(&(od_desc){.fleet = orderer->desc.fleet, .server = server});
    plan->generation = ++orderer->generation;
    plan->born_ms = server->born_ms;
    server->orders = plan;
    g_ptr_array_add(orderer->held, server);
    lg_write(LG_HOLDER_BEGAN, "server", server->id, NULL);
}

static void
_or_end(or_orderer *orderer, fl_server *server)
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
_or_holds(const or_orderer *orderer, const fl_server *server)
{
    return le_query_fence(orderer->desc.lease, lp_query_clock_us(),
                          server->id) != 0;
}

/* -- private: room -------------------------------------------------------- */

static bool
_or_may_load_model(or_orderer *orderer, const rc_service *service)
{
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    double live = le_query_live(orderer->desc.lease);
    double passed_s =
        (double)(now_us - orderer->model_tokens_us) / G_USEC_PER_SEC;
    orderer->model_tokens_us = now_us;
    orderer->model_tokens =
        MIN(orderer->model_tokens + passed_s * service->loads_per_s / live,
            MAX(_OR_MODEL_BURST, service->loads_per_s / live));
    return orderer->model_tokens >= 1.0;
}

static uint32_t
_or_loading(const or_orderer *orderer)
{
    uint32_t loading = 0;
    for (guint i = 0; i < orderer->held->len; i++) {
        const fl_server *server = orderer->held->pdata[i];
        loading += od_query_fetching(((_or_plan *)server->orders)->plan);
    }
    return loading;
}

static const rc_model *
_or_model(const rc_service *service, const fl_server *server)
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

static bool
_or_room(or_orderer *orderer, const fl_server *server, od_room *room)
{
    const rc_service *service =
        orderer->table ? rc_query_service(orderer->table, server->service)
                       : NULL;
    const rc_model *model =
        service && service->engine ? _or_model(service, server) : NULL;
    if (!model) {
        return false;
    }
    *room = (od_room){
        .model = model->name,
        .model_load_ms = model->load_ms,
        .model_mb = model->weights_mb,
        .adapter_mb = model->adapter_mb,
        .server_mb = service->weights_mb,
        .max_adapters = service->max_adapters,
        .may_load_model = _or_may_load_model(orderer, service),
        .may_load_adapter =
            ts_query_may_load(&orderer->transit, _or_loading(orderer)),
    };
    return true;
}

/* -- private: calls ------------------------------------------------------- */

static void
_or_take_report(or_orderer *orderer, fl_server *server,
                const hc_answer *answer)
{
    _or_plan *plan = server->orders;
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    dl_server report = {0};
    er_status status = {0};
    if (answer->code != ER_OK || answer->status != 200 ||
        orderer->desc.dialect->read_report(answer->bytes, answer->count,
                                           &report, &status) != ER_OK) {
        od_feed_silence(plan->plan, now_us);
        return;
    }
    od_feed_report(plan->plan, now_us, &report);
    lg_write(LG_REPORT_READ, "server", server->id, NULL);
    dl_clear_server(&report);
}

static void
_or_take_order(or_orderer *orderer, fl_server *server, const hc_answer *answer)
{
    _or_plan *plan = server->orders;
    uint64_t now_us = lp_query_now_us(orderer->desc.loop);
    dl_order_result result =
        answer->code == ER_OK
            ? orderer->desc.dialect->read_order_status(answer->status)
            : DL_ORDER_DEFAULT;
    if (answer->code == ER_OK) {
        od_feed_order(plan->plan, now_us, result);
        double load_ms = od_take_load_ms(plan->plan);
        if (load_ms > 0) {
            ts_feed_load(&orderer->transit, load_ms);
        }
    }
    else {
        od_feed_silence(plan->plan, now_us);
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
_or_on_head(const h1_head *head, void *user_data)
{
    const _or_call *call = user_data;
    const or_desc *desc = &call->orderer->desc;
    fl_heard heard;
    if (hr_read_notice(&(hr_desc){.dialect = desc->dialect,
                                  .fleet = desc->fleet,
                                  .server = call->server,
                                  .born_ms = call->born_ms,
                                  .now_us = lp_query_now_us(desc->loop)},
                       head, &heard)) {
        desc->heard(&heard, desc->user_data);
    }
}

static void
_or_on_done(const hc_answer *answer, void *user_data)
{
    _or_call *call = user_data;
    or_orderer *orderer = call->orderer;
    fl_server *server = fl_query_server(orderer->desc.fleet, call->server);
    _or_plan *plan = server ? server->orders : NULL;
    if (plan && plan->generation == call->generation) {
        plan->calling = false;
        if (call->report) {
            _or_take_report(orderer, server, answer);
        }
        else {
            _or_take_order(orderer, server, answer);
        }
        orderer->desc.changed(server, orderer->desc.user_data);
        if (server->orders) {
            _or_step(orderer, server);
        }
    }
    g_free(call->server);
    g_free(call);
}

static void
_or_call_server(or_orderer *orderer, fl_server *server, const char *method,
                const char *path, const GString *body)
{
    const dl_dialect *dialect = orderer->desc.dialect;
    _or_plan *plan = server->orders;
    _or_call *call = g_new0(_or_call, 1);
    call->orderer = orderer;
    call->server = g_strdup(server->id);
    call->born_ms = server->born_ms;
    call->generation = plan->generation;
    call->report = body == NULL;
    plan->calling = true;
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
                          .head = _or_on_head,
                          .done = _or_on_done,
                          .user_data = call});
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
        od_feed_order(plan->plan, lp_query_now_us(orderer->desc.loop),
                      DL_ORDER_DEFAULT);
        return;
    }
    if (!order->adapter && order->kind == DL_LOAD && !step->asks) {
        orderer->model_tokens -= 1.0;
    }
    ct_add(CT_ORDERS, 1);
    if (order->adapter && !step->asks) {
        ct_add(order->kind == DL_LOAD ? CT_LOADS : CT_EVICTIONS, 1);
    }
    char number[24];
    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, order->orders);
    lg_write(LG_ORDER_SENT, "server", server->id, "kind",
             order->kind == DL_LOAD ? "load" : "unload", "adapter",
             order->adapter ? order->adapter : "-", "orders", number, NULL);
    GString *body = orderer->desc.dialect->write_order(order);
    _or_call_server(orderer, server, "POST", orderer->desc.dialect->order_path,
                    body);
    g_string_free(body, TRUE);
}

static void
_or_step(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = server->orders;
    od_room room;
    for (uint32_t i = 0; i < _OR_STEPS && !plan->calling; i++) {
        if (!_or_room(orderer, server, &room)) {
            return;
        }
        od_step step =
            od_next(plan->plan, lp_query_now_us(orderer->desc.loop), &room);
        if (step.kind == OD_NOTHING) {
            return;
        }
        if (step.kind == OD_REPORT) {
            ct_add(CT_REPORTS, 1);
            _or_call_server(orderer, server, "GET",
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
    g_assert(desc->client && desc->fleet && desc->lease && desc->changed &&
             desc->heard);
    or_orderer *orderer = g_new0(or_orderer, 1);
    orderer->desc = *desc;
    orderer->held = g_ptr_array_new();
    ts_setup(&orderer->transit);
    orderer->model_tokens = _OR_MODEL_BURST;
    orderer->model_tokens_us = lp_query_now_us(desc->loop);
    return orderer;
}

void
or_destroy(or_orderer *orderer)
{
    if (!orderer) {
        return;
    }
    while (orderer->held->len) {
        _or_end(orderer, orderer->held->pdata[0]);
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
or_want(or_orderer *orderer, fl_server *server, fl_adapter *adapter)
{
    _or_plan *plan = server->orders;
    if (!plan) {
        return false;
    }
    od_want(plan->plan, adapter, lp_query_now_us(orderer->desc.loop));
    _or_step(orderer, server);
    return true;
}

void
or_mismatch(or_orderer *orderer, fl_server *server)
{
    _or_plan *plan = server->orders;
    if (plan && od_query_known(plan->plan)) {
        od_forget(plan->plan, lp_query_now_us(orderer->desc.loop) + 250000);
    }
}

static void
_or_look(fl_server *server, void *user_data)
{
    or_orderer *orderer = user_data;
    bool holds = server->state == FL_READY && _or_holds(orderer, server);
    _or_plan *plan = server->orders;
    if (plan && (!holds || plan->born_ms != server->born_ms)) {
        _or_end(orderer, server);
    }
    if (holds && !server->orders) {
        _or_begin(orderer, server);
    }
}

void
or_tick(or_orderer *orderer)
{
    fl_each_server(orderer->desc.fleet, _or_look, orderer);
    for (guint i = 0; i < orderer->held->len; i++) {
        _or_step(orderer, orderer->held->pdata[i]);
    }
}

void
or_forget_server(or_orderer *orderer, fl_server *server)
{
    _or_end(orderer, server);
}

bool
or_query_room(or_orderer *orderer, const fl_server *server, int32_t *out)
{
    const _or_plan *plan = server->orders;
    od_room room;
    if (!plan || !od_query_known(plan->plan) ||
        !_or_room(orderer, server, &room)) {
        return false;
    }
    *out =
        od_query_room(plan->plan, lp_query_now_us(orderer->desc.loop), &room);
    return true;
}

uint64_t
or_query_number(const fl_server *server)
{
    const _or_plan *plan = server->orders;
    return plan ? plan->generation * 1000000 + od_query_number(plan->plan) : 0;
}

bool
or_query_held(const fl_server *server)
{
    return server->orders != NULL;
}

bool
or_query_loading(const or_orderer *orderer)
{
    for (guint i = 0; i < orderer->held->len; i++) {
        const fl_server *server = orderer->held->pdata[i];
        const _or_plan *plan = server->orders;
        if (plan->calling || od_query_busy(plan->plan)) {
            return true;
        }
    }
    return false;
}
