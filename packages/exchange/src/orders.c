#include "orders.h"

#include <string.h>

#define _OD_LOADING_CAPACITY 4
#define _OD_ADAPTER_LOAD_MS 250
/* A load of weights that the server has at hand takes about this long. */
#define _OD_AT_HAND_US 26000
/* A load that is not done when it should be is asked after again. */
#define _OD_AGAIN_US 15000
#define _OD_MODEL_AGAIN_US 100000
/* State of a server is some hundred ms old when it tells it. */
#define _OD_REPORT_LAG_US 350000
#define _OD_REPORT_RETRY_US 500000
/* Nobody waits for an adapter that was asked for longer ago: while one does,
   it is asked for every 200 ms. */
#define _OD_WANT_US 700000

typedef struct _od_want {
    fl_adapter *adapter;
    uint64_t at_us;
} _od_want;

struct od_plan {
    fl_fleet *fleet;
    fl_server *server;
    uint32_t loading_capacity;
    uint64_t adapter_load_us;
    bool known;
    uint64_t report_us; /* when to ask for its state */
    bool under_way;
    bool reporting;
    uint64_t orders; /* accepted by the server */
    uint64_t number;
    fl_adapter *ordered; /* of the order under way */
    dl_order_kind ordered_kind;
    uint64_t ordered_version;
    bool asking;    /* the order under way asks after a load */
    GArray *wants;  /* _od_want */
    double load_ms; /* see od_take_load_ms() */
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
    plan->wants = g_array_new(FALSE, TRUE, sizeof(_od_want));
    return plan;
}

void
od_destroy(od_plan *plan)
{
    if (plan) {
        g_array_unref(plan->wants);
        g_free(plan);
    }
}

void
od_want(od_plan *plan, fl_adapter *adapter, uint64_t now_us)
{
    for (guint i = 0; i < plan->wants->len; i++) {
        _od_want *want = &g_array_index(plan->wants, _od_want, i);
        if (want->adapter == adapter) {
            want->at_us = now_us;
            return;
        }
    }
    _od_want want = {adapter, now_us};
    g_array_append_val(plan->wants, want);
}

void
od_forget(od_plan *plan, uint64_t retry_us)
{
    plan->known = false;
    plan->report_us = retry_us;
}

/* -- private: steps ------------------------------------------------------- */

static od_step
_od_order(od_plan *plan, dl_order_kind kind, fl_adapter *adapter,
          uint64_t version)
{
    plan->under_way = true;
    plan->reporting = false;
    plan->asking = false;
    plan->ordered = adapter;
    plan->ordered_kind = kind;
    plan->ordered_version = version;
    return (od_step){.kind = OD_ORDER,
                     .order = {.kind = kind,
                               .model = adapter->model,
                               .adapter = adapter->name,
                               .version = version,
                               .conditional = true,
                               .orders = plan->orders}};
}

static uint64_t
_od_version(const fl_adapter *adapter)
{
    return adapter->name ? adapter->version : 0;
}

/* Time until a load is asked after: what it usually takes. */
static uint64_t
_od_span_us(const od_plan *plan, const fl_adapter *adapter,
            uint32_t model_load_ms)
{
    if (!adapter->name) {
        return model_load_ms * 1000ULL;
    }
    return fl_query_at_hand(plan->server, adapter) ? _OD_AT_HAND_US
                                                   : plan->adapter_load_us;
}

/* A load that should have arrived: the same order tells. */
static fl_copy *
_od_due(const od_plan *plan, uint64_t now_us, const od_room *room)
{
    for (guint i = 0; i < plan->server->copies->len; i++) {
        fl_copy *copy = plan->server->copies->pdata[i];
        if (copy->loading && now_us >= copy->asked_us &&
            now_us >= copy->since_us + _od_span_us(plan, copy->adapter,
                                                   room->model_load_ms)) {
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

static uint32_t
_od_places(const od_room *room)
{
    double left_mb = room->server_mb - room->model_mb;
    double by_size = room->adapter_mb > 0 ? left_mb / room->adapter_mb : 1e9;
    return (uint32_t)CLAMP(by_size, 0, room->max_adapters);
}

static void
_od_drop_want(od_plan *plan, fl_adapter *adapter)
{
    for (guint i = 0; i < plan->wants->len; i++) {
        if (g_array_index(plan->wants, _od_want, i).adapter == adapter) {
            g_array_remove_index_fast(plan->wants, i);
            return;
        }
    }
}

/* The adapter that most is waiting for; others are dropped when done. */
static fl_adapter *
_od_most_wanted(od_plan *plan, uint64_t now_us, bool at_hand_only)
{
    fl_adapter *best = NULL;
    double most = -1;
    for (guint i = plan->wants->len; i > 0; i--) {
        _od_want *want = &g_array_index(plan->wants, _od_want, i - 1);
        fl_copy *copy = fl_query_copy(plan->server, want->adapter);
        if (now_us > want->at_us + _OD_WANT_US ||
            (copy && (copy->loading || fl_query_current(copy)))) {
            g_array_remove_index_fast(plan->wants, i - 1);
            continue;
        }
        if (at_hand_only && !fl_query_at_hand(plan->server, want->adapter)) {
            continue;
        }
        /* What a further copy would add to those that serve it. */
        double use = fl_query_use(want->adapter, now_us) /
                     (1 + want->adapter->copies->len);
        if (use > most) {
            most = use;
            best = want->adapter;
        }
    }
    return best;
}

static od_step
_od_next_adapter(od_plan *plan, uint64_t now_us, const od_room *room)
{
    fl_adapter *adapter =
        _od_most_wanted(plan, now_us, !room->may_load_adapter);
    if (!adapter || od_query_loading(plan) >= plan->loading_capacity) {
        return (od_step){0};
    }
    bool replaces = fl_query_copy(plan->server, adapter) != NULL;
    if (!replaces && _od_adapter_count(plan) >= _od_places(room)) {
        fl_copy *victim = fl_query_victim(plan->server, now_us);
        return victim ? _od_order(plan, DL_UNLOAD, victim->adapter, 0)
                      : (od_step){0};
    }
    return _od_order(plan, DL_LOAD, adapter, _od_version(adapter));
}

static od_step
_od_next(od_plan *plan, uint64_t now_us, const od_room *room)
{
    if (!plan->known) {
        if (now_us < plan->report_us) {
            return (od_step){0};
        }
        plan->under_way = true;
        plan->reporting = true;
        return (od_step){.kind = OD_REPORT};
    }
    fl_copy *due = _od_due(plan, now_us, room);
    if (due) {
        od_step step =
            _od_order(plan, DL_LOAD, due->adapter, _od_version(due->adapter));
        plan->asking = true;
        step.asks = true;
        return step;
    }
    fl_adapter *model = fl_intern(plan->fleet, room->model);
    fl_copy *base = fl_query_copy(plan->server, model);
    bool outdated = base && !base->loading && !fl_query_current(base);
    if (!base || outdated) {
        return room->may_load_model ? _od_order(plan, DL_LOAD, model, 0)
                                    : (od_step){0};
    }
    return base->loading ? (od_step){0} : _od_next_adapter(plan, now_us, room);
}

od_step
od_next(od_plan *plan, uint64_t now_us, const od_room *room)
{
    if (plan->under_way || plan->server->state != FL_READY ||
        !nt_query_available(&plan->server->notice, now_us)) {
        return (od_step){0};
    }
    od_step step = _od_next(plan, now_us, room);
    if (step.kind != OD_NOTHING) {
        nt_begin_request(&plan->server->notice, now_us);
    }
    return step;
}

/* -- private: results ----------------------------------------------------- */

static void
_od_taken(od_plan *plan, uint64_t now_us)
{
    fl_copy *copy = fl_query_copy(plan->server, plan->ordered);
    if (plan->asking && copy && copy->loading) {
        copy->asked_us =
            now_us + (plan->ordered->name ? _OD_AGAIN_US : _OD_MODEL_AGAIN_US);
        return;
    }
    plan->orders++;
    if (plan->ordered_kind == DL_UNLOAD) {
        /* Its runs go on first: what it still holds is asked for. */
        od_forget(plan, now_us + _OD_REPORT_LAG_US);
        return;
    }
    fl_put_copy(plan->server, plan->ordered, plan->ordered_version, true,
                now_us);
    _od_drop_want(plan, plan->ordered);
}

static void
_od_holds(od_plan *plan, uint64_t now_us)
{
    if (plan->ordered_kind == DL_UNLOAD) {
        plan->orders++;
        fl_drop_copy(plan->server, plan->ordered);
        return;
    }
    const fl_copy *copy = fl_query_copy(plan->server, plan->ordered);
    if (plan->asking && copy && copy->loading && plan->ordered->name &&
        !fl_query_at_hand(plan->server, plan->ordered)) {
        plan->load_ms = (double)(now_us - copy->since_us) / 1000.0;
        fl_learn_fetch(plan->fleet, plan->load_ms);
    }
    fl_put_copy(plan->server, plan->ordered, plan->ordered_version, false,
                now_us);
    _od_drop_want(plan, plan->ordered);
}

static void
_od_conflict(od_plan *plan, uint64_t now_us)
{
    od_forget(plan, now_us + _OD_REPORT_LAG_US);
}

void
od_feed_order(od_plan *plan, uint64_t now_us, dl_order_result result)
{
    if (!plan->under_way || plan->reporting) {
        return;
    }
    plan->under_way = false;
    plan->number++;
    switch (result) {
    case DL_ORDER_ACCEPTED:
        _od_taken(plan, now_us);
        break;
    case DL_ORDER_ALREADY_DONE:
        _od_holds(plan, now_us);
        break;
    case DL_ORDER_CONFLICT:
        _od_conflict(plan, now_us);
        break;
    default:
        od_forget(plan, now_us + _OD_REPORT_RETRY_US);
        break;
    }
}

static void
_od_take_model(od_plan *plan, uint64_t now_us, const dl_model *model,
               GHashTable *seen)
{
    g_hash_table_add(seen, fl_put_named(plan->fleet, plan->server, model->name,
                                        NULL, model->version, false, now_us));
    for (guint i = 0; i < model->adapters->len; i++) {
        const dl_adapter *adapter =
            &g_array_index(model->adapters, dl_adapter, i);
        g_hash_table_add(seen,
                         fl_put_named(plan->fleet, plan->server, model->name,
                                      adapter->name, adapter->version,
                                      adapter->loading, now_us));
    }
}

void
od_feed_report(od_plan *plan, uint64_t now_us, const dl_server *report)
{
    if (!plan->under_way || !plan->reporting) {
        return;
    }
    plan->under_way = false;
    plan->number++;
    if (report->busy) {
        plan->report_us = now_us + _OD_REPORT_LAG_US;
        return;
    }
    g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < report->models->len; i++) {
        _od_take_model(plan, now_us,
                       &g_array_index(report->models, dl_model, i), seen);
    }
    fl_keep_copies(plan->server, seen);
    plan->orders = report->orders;
    plan->known = true;
}

void
od_feed_silence(od_plan *plan, uint64_t now_us)
{
    if (!plan->under_way) {
        return;
    }
    plan->under_way = false;
    plan->number++;
    if (!plan->reporting && plan->ordered_kind == DL_LOAD) {
        /* It may come all the same: its place is taken until the state of
           the server says otherwise. */
        fl_put_copy(plan->server, plan->ordered, plan->ordered_version, true,
                    now_us);
    }
    od_forget(plan, now_us + (plan->reporting ? _OD_REPORT_RETRY_US
                                              : _OD_REPORT_LAG_US));
}

bool
od_query_known(const od_plan *plan)
{
    return plan->known;
}

bool
od_query_busy(const od_plan *plan)
{
    if (!plan->known || plan->wants->len) {
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
od_query_loading(const od_plan *plan)
{
    uint32_t count = 0;
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        count += copy->loading && copy->adapter->name;
    }
    return count;
}

uint32_t
od_query_fetching(const od_plan *plan)
{
    uint32_t count = 0;
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        count += copy->loading && copy->adapter->name &&
                 !fl_query_at_hand(plan->server, copy->adapter);
    }
    return count;
}

double
od_take_load_ms(od_plan *plan)
{
    double load_ms = plan->load_ms;
    plan->load_ms = 0;
    return load_ms;
}

int32_t
od_query_room(const od_plan *plan, uint64_t now_us, const od_room *room)
{
    int32_t places = (int32_t)_od_places(room);
    places -= (int32_t)_od_adapter_count(plan);
    for (guint i = 0; i < plan->server->copies->len; i++) {
        const fl_copy *copy = plan->server->copies->pdata[i];
        places += copy->adapter->name && !copy->loading &&
                  !fl_query_in_use(copy, now_us);
    }
    return places - (int32_t)plan->wants->len;
}

uint64_t
od_query_number(const od_plan *plan)
{
    return plan->number;
}
