#include "orders.h"

#include <string.h>

/* Defaults of od_desc. */
#define _OD_LOADING_CAPACITY 4
#define _OD_ADAPTER_LOAD_MS 250
/* Usual duration of a load of weights that the server still caches. */
#define _OD_CACHED_LOAD_US 26000
/* A load that takes longer than usual is polled at these intervals. */
#define _OD_ADAPTER_POLL_US 15000
#define _OD_MODEL_POLL_US 100000
/* The same at a server with a rate limit, which each poll draws on. */
#define _OD_LIMITED_POLL_US 1000000
/* The state in a server's report is some hundred ms old, so a report shows the
   effect of an order only after this time. */
#define _OD_REPORT_LAG_US 350000
/* Time until the next report is queried after one without an answer, or after
   an order with an unknown result. */
#define _OD_REPORT_RETRY_US 500000
/* A pending load that was requested longer ago is dropped: while a request
   waits for the adapter, it is requested again every 200 ms. */
#define _OD_PENDING_MAX_US 700000

typedef struct _od_pending_load {
    fl_adapter *adapter;
    uint64_t requested_us;
} _od_pending_load;

struct od_plan {
    fl_fleet *fleet;
    fl_server *server;
    uint32_t loading_capacity;
    uint64_t adapter_load_us;
    bool state_known;
    uint64_t report_us;   /* when to query the state */
    bool in_flight;       /* a step is in flight */
    bool is_report;       /* that step queries the state */
    uint64_t order_count; /* orders accepted by the server */
    uint64_t revision;    /* see od_query_revision() */
    /* The order in flight: */
    fl_adapter *ordered_adapter;
    dl_order_kind ordered_kind;
    uint64_t ordered_version;
    bool is_poll;    /* it repeats a load order, to see whether it is done */
    GArray *pending; /* _od_pending_load */
    double fetch_ms; /* see od_take_fetch_ms() */
};

od_plan *
od_create(const od_desc *desc)
{
    g_assert(desc->fleet && desc->server);
    od_plan *plan = g_new0(od_plan, 1);
    plan->fleet = desc->fleet;
    plan->server = desc->server;
    plan->loading_capacity =
        desc->loading_capacity ? desc->loading_capacity : _OD_LOADING_CAPACITY;
    plan->adapter_load_us =
        1000ULL *
        (desc->adapter_load_ms ? desc->adapter_load_ms : _OD_ADAPTER_LOAD_MS);
    plan->pending = g_array_new(FALSE, TRUE, sizeof(_od_pending_load));
    return plan;
}

void
od_destroy(od_plan *plan)
{
    if (plan) {
        g_array_unref(plan->pending);
        g_free(plan);
    }
}

void
od_request_load(od_plan *plan, fl_adapter *adapter, uint64_t now_us)
{
    for (guint i = 0; i < plan->pending->len; i++) {
        _od_pending_load *load =
            &g_array_index(plan->pending, _od_pending_load, i);
        if (load->adapter == adapter) {
            load->requested_us = now_us;
            return;
        }
    }
    _od_pending_load load = {adapter, now_us};
    g_array_append_val(plan->pending, load);
}

void
od_invalidate(od_plan *plan, uint64_t retry_us)
{
    plan->state_known = false;
    plan->report_us = retry_us;
}

/* -- private: steps ------------------------------------------------------- */

/* Returns the step that sends an order, and notes it as in flight. */
static od_step
_od_make_order(od_plan *plan, dl_order_kind kind, fl_adapter *adapter,
               uint64_t version)
{
    plan->in_flight = true;
    plan->is_report = false;
    plan->is_poll = false;
    plan->ordered_adapter = adapter;
    plan->ordered_kind = kind;
    plan->ordered_version = version;
    return (od_step){.kind = OD_ORDER,
                     .order = {.kind = kind,
                               .model = adapter->model,
                               .adapter = adapter->name,
                               .version = version,
                               .conditional = true,
                               .orders = plan->order_count}};
}

/* Returns the version that a load must have; models have none. */
static uint64_t
_od_required_version(const fl_adapter *adapter)
{
    return adapter->name ? adapter->version : 0;
}

/* Returns the usual duration of a load, after which it is first polled. */
static uint64_t
_od_expected_load_us(const od_plan *plan, const fl_adapter *adapter,
                     uint32_t model_load_ms)
{
    if (!adapter->name) {
        return model_load_ms * 1000ULL;
    }
    return fl_query_locally_cached(plan->server, adapter)
               ? _OD_CACHED_LOAD_US
               : plan->adapter_load_us;
}

/* Returns a load that should be done by now, NULL: none. Sending its order
   again shows whether it is. */
static fl_copy *
_od_find_due_poll(const od_plan *plan, uint64_t now_us,
                  const od_limits *limits)
{
    for (guint i = 0; i < plan->server->copies->len; i++) {
        fl_copy *copy = plan->server->copies->pdata[i];
        if (copy->loading && now_us >= copy->next_check_us &&
            now_us >=
                copy->since_us + _od_expected_load_us(plan, copy->adapter,
                                                      limits->model_load_ms)) {
            return copy;
        }
    }
    return NULL;
}

static uint32_t
_od_adapter_count(const od_plan *plan)
{
    uint32_t count = 0;
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        count += copy->adapter->name != NULL;
    }
    return count;
}

/* Returns how many adapters fit on the server. */
static uint32_t
_od_adapter_capacity(const od_limits *limits)
{
    double free_mb = limits->server_mb - limits->model_mb;
    /* 1e9: no limit by memory, as the size of adapters is not known. */
    double by_memory =
        limits->adapter_mb > 0 ? free_mb / limits->adapter_mb : 1e9;
    return (uint32_t)CLAMP(by_memory, 0, limits->max_adapters);
}

static void
_od_drop_pending(od_plan *plan, fl_adapter *adapter)
{
    for (guint i = 0; i < plan->pending->len; i++) {
        if (g_array_index(plan->pending, _od_pending_load, i).adapter ==
            adapter) {
            g_array_remove_index_fast(plan->pending, i);
            return;
        }
    }
}

/* Returns the pending adapter with the highest demand per copy, NULL: none.
   Drops pending loads that are outdated, in progress or done. */
static fl_adapter *
_od_pick_pending(od_plan *plan, uint64_t now_us, bool cached_only)
{
    fl_adapter *best = NULL;
    double highest = -1;
    for (guint i = plan->pending->len; i > 0; i--) {
        _od_pending_load *load =
            &g_array_index(plan->pending, _od_pending_load, i - 1);
        fl_copy *copy = fl_query_copy(plan->server, load->adapter);
        if (now_us > load->requested_us + _OD_PENDING_MAX_US ||
            (copy && (copy->loading || fl_query_up_to_date(copy)))) {
            g_array_remove_index_fast(plan->pending, i - 1);
            continue;
        }
        if (cached_only &&
            !fl_query_locally_cached(plan->server, load->adapter)) {
            continue;
        }
        /* The share of the demand that a further copy would serve. */
        double demand = fl_query_demand(load->adapter, now_us) /
                        (1 + load->adapter->copies->len);
        if (demand > highest) {
            highest = demand;
            best = load->adapter;
        }
    }
    return best;
}

static od_step
_od_next_adapter_step(od_plan *plan, uint64_t now_us, const od_limits *limits)
{
    fl_adapter *adapter =
        _od_pick_pending(plan, now_us, !limits->may_load_adapter);
    if (!adapter || od_query_loading_count(plan) >= plan->loading_capacity) {
        return (od_step){0};
    }
    bool replaces = fl_query_copy(plan->server, adapter) != NULL;
    if (!replaces && _od_adapter_count(plan) >= _od_adapter_capacity(limits)) {
        fl_copy *victim = fl_query_victim(plan->server, now_us);
        return victim ? _od_make_order(plan, DL_UNLOAD, victim->adapter, 0)
                      : (od_step){0};
    }
    return _od_make_order(plan, DL_LOAD, adapter,
                          _od_required_version(adapter));
}

static od_step
_od_next_step(od_plan *plan, uint64_t now_us, const od_limits *limits)
{
    if (!plan->state_known) {
        if (now_us < plan->report_us) {
            return (od_step){0};
        }
        plan->in_flight = true;
        plan->is_report = true;
        return (od_step){.kind = OD_REPORT};
    }
    fl_copy *due = _od_find_due_poll(plan, now_us, limits);
    if (due) {
        od_step step = _od_make_order(plan, DL_LOAD, due->adapter,
                                      _od_required_version(due->adapter));
        plan->is_poll = true;
        step.is_poll = true;
        return step;
    }
    fl_adapter *model = fl_intern(plan->fleet, limits->model);
    fl_copy *base = fl_query_copy(plan->server, model);
    bool outdated = base && !base->loading && !fl_query_up_to_date(base);
    if (!base || outdated) {
        return limits->may_load_model ? _od_make_order(plan, DL_LOAD, model, 0)
                                      : (od_step){0};
    }
    return base->loading ? (od_step){0}
                         : _od_next_adapter_step(plan, now_us, limits);
}

/* Returns whether there may be a step, without taking it. */
static bool
_od_is_step_due(const od_plan *plan, uint64_t now_us, const od_limits *limits)
{
    return plan->state_known ? plan->pending->len > 0 ||
                                   _od_find_due_poll(plan, now_us, limits)
                             : now_us >= plan->report_us;
}

od_step
od_next(od_plan *plan, uint64_t now_us, const od_limits *limits)
{
    fl_server *server = plan->server;
    if (plan->in_flight || server->state != FL_READY ||
        !nt_query_available(&server->notice, now_us)) {
        return (od_step){0};
    }
    if (!fl_query_open(server, now_us)) {
        if (_od_is_step_due(plan, now_us, limits)) {
            pm_note_wanted(&server->permits, PM_COUNTED, now_us);
        }
        return (od_step){0};
    }
    od_step step = _od_next_step(plan, now_us, limits);
    if (step.kind != OD_NOTHING) {
        nt_begin_request(&server->notice, now_us);
        pm_take(&server->permits, now_us);
    }
    return step;
}

/* -- private: results ----------------------------------------------------- */

static void
_od_on_accepted(od_plan *plan, uint64_t now_us)
{
    fl_copy *copy = fl_query_copy(plan->server, plan->ordered_adapter);
    if (plan->is_poll && copy && copy->loading) {
        uint64_t poll_us = plan->ordered_adapter->name ? _OD_ADAPTER_POLL_US
                                                       : _OD_MODEL_POLL_US;
        if (plan->server->limit.limited) {
            poll_us = _OD_LIMITED_POLL_US;
        }
        copy->next_check_us = now_us + poll_us;
        return;
    }
    plan->order_count++;
    if (plan->ordered_kind == DL_UNLOAD) {
        /* Requests that use the adapter finish first: the report shows whether
           the server still holds it. */
        od_invalidate(plan, now_us + _OD_REPORT_LAG_US);
        return;
    }
    fl_put_copy(plan->server, plan->ordered_adapter, plan->ordered_version,
                true, now_us);
    _od_drop_pending(plan, plan->ordered_adapter);
}

static void
_od_on_already_done(od_plan *plan, uint64_t now_us)
{
    if (plan->ordered_kind == DL_UNLOAD) {
        plan->order_count++;
        fl_drop_copy(plan->server, plan->ordered_adapter);
        return;
    }
    const fl_copy *copy = fl_query_copy(plan->server, plan->ordered_adapter);
    if (plan->is_poll && copy && copy->loading &&
        plan->ordered_adapter->name &&
        !fl_query_locally_cached(plan->server, plan->ordered_adapter)) {
        plan->fetch_ms = (double)(now_us - copy->since_us) / 1000.0;
        fl_update_fetch_ms(plan->fleet, plan->fetch_ms);
    }
    fl_put_copy(plan->server, plan->ordered_adapter, plan->ordered_version,
                false, now_us);
    _od_drop_pending(plan, plan->ordered_adapter);
}

static void
_od_on_conflict(od_plan *plan, uint64_t now_us)
{
    od_invalidate(plan, now_us + _OD_REPORT_LAG_US);
}

void
od_feed_order_result(od_plan *plan, uint64_t now_us, dl_order_result result)
{
    if (!plan->in_flight || plan->is_report) {
        return;
    }
    plan->in_flight = false;
    plan->revision++;
    switch (result) {
    case DL_ORDER_ACCEPTED:
        _od_on_accepted(plan, now_us);
        break;
    case DL_ORDER_ALREADY_DONE:
        _od_on_already_done(plan, now_us);
        break;
    case DL_ORDER_CONFLICT:
        _od_on_conflict(plan, now_us);
        break;
    default:
        od_invalidate(plan, now_us + _OD_REPORT_RETRY_US);
        break;
    }
}

static void
_od_apply_model(od_plan *plan, uint64_t now_us, const dl_model *model,
                GHashTable *seen)
{
    g_hash_table_add(seen, fl_put_copy_by_name(plan->fleet, plan->server,
                                               model->name, NULL,
                                               model->version, false, now_us));
    for (guint i = 0; i < model->adapters->len; i++) {
        const dl_adapter *adapter =
            &g_array_index(model->adapters, dl_adapter, i);
        g_hash_table_add(seen, fl_put_copy_by_name(plan->fleet, plan->server,
                                                   model->name, adapter->name,
                                                   adapter->version,
                                                   adapter->loading, now_us));
    }
}

void
od_feed_report(od_plan *plan, uint64_t now_us, const dl_server *report)
{
    if (!plan->in_flight || !plan->is_report) {
        return;
    }
    plan->in_flight = false;
    plan->revision++;
    if (report->busy) {
        plan->report_us = now_us + _OD_REPORT_LAG_US;
        return;
    }
    g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < report->models->len; i++) {
        _od_apply_model(plan, now_us,
                        &g_array_index(report->models, dl_model, i), seen);
    }
    fl_drop_copies_except(plan->server, seen);
    plan->order_count = report->orders;
    plan->state_known = true;
}

void
od_feed_no_answer(od_plan *plan, uint64_t now_us)
{
    if (!plan->in_flight) {
        return;
    }
    plan->in_flight = false;
    plan->revision++;
    if (!plan->is_report && plan->ordered_kind == DL_LOAD) {
        /* The order may still be carried out: it counts against the capacity
           until the server's report says otherwise. */
        fl_put_copy(plan->server, plan->ordered_adapter, plan->ordered_version,
                    true, now_us);
    }
    od_invalidate(plan, now_us + (plan->is_report ? _OD_REPORT_RETRY_US
                                                  : _OD_REPORT_LAG_US));
}

bool
od_query_state_known(const od_plan *plan)
{
    return plan->state_known;
}

bool
od_query_work_pending(const od_plan *plan)
{
    if (!plan->state_known || plan->pending->len) {
        return true;
    }
    for (guint i = 0; i < plan->server->copies->len; i++) {
        if (((const fl_copy *)plan->server->copies->pdata[i])->loading) {
            return true;
        }
    }
    return false;
}

uint32_t
od_query_loading_count(const od_plan *plan)
{
    uint32_t count = 0;
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        count += copy->loading && copy->adapter->name;
    }
    return count;
}

uint32_t
od_query_fetch_count(const od_plan *plan)
{
    uint32_t count = 0;
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        count += copy->loading && copy->adapter->name &&
                 !fl_query_locally_cached(plan->server, copy->adapter);
    }
    return count;
}

double
od_take_fetch_ms(od_plan *plan)
{
    double fetch_ms = plan->fetch_ms;
    plan->fetch_ms = 0;
    return fetch_ms;
}

int32_t
od_query_load_capacity(const od_plan *plan, uint64_t now_us,
                       const od_limits *limits)
{
    int32_t capacity = (int32_t)_od_adapter_capacity(limits);
    capacity -= (int32_t)_od_adapter_count(plan);
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        capacity += copy->adapter->name && !copy->loading &&
                    !fl_query_in_use(copy, now_us);
    }
    return capacity - (int32_t)plan->pending->len;
}

uint64_t
od_query_revision(const od_plan *plan)
{
    return plan->revision;
}
