#include "fleet_private.h"

#include <string.h>

/* Share by which a server in another zone costs more, as the way there takes
   a few ms and its traffic is paid for. */
#define _FL_OTHER_ZONE_COST 0.06
/* Prompt tokens whose prefill takes about as long as the time between two
   events. */
#define _FL_LONG_PROMPT_TOKENS 800.0
/* Factor of the failure rate in a server's cost: a failed request costs as
   much as several good ones. */
#define _FL_FAILURE_COST 6.0
/* A further copy is due when events at the chosen server take this many times
   as long as at a server without a copy, and the adapter's demand is at least
   this, so that the copy makes up for its load. */
#define _FL_EXTRA_COPY_RATIO 1.6
#define _FL_EXTRA_COPY_MIN_DEMAND 1.8
/* Most requests in flight per slot; those beyond the slots are queued at the
   server. */
#define _FL_MAX_PER_SLOT 1.5
/* A server that loads this many adapters at once, or has its most requests in
   flight, gets this penalty as the place of a new copy: it is chosen only if
   the others are worse by more. */
#define _FL_MAX_LOADING 4
#define _FL_BUSY_PENALTY_MS 250.0
/* Weight of the time between events against the time until the first event.
   It is less than the 8 to 50 events of a caller's stream, as the time between
   events matters to callers only when it is long. */
#define _FL_EVENT_WEIGHT 4.0
/* A further copy is also due when it shortens the time until the first event
   by at least this much, its load included. This is well below the targets of
   streams for that time, 600 ms and more. */
#define _FL_EXTRA_COPY_MIN_SAVING_MS 100.0
/* Where all places are taken, about the time until the next one gets free:
   runs take about a second, at 6 to 11 places. */
#define _FL_PLACE_WAIT_MS 150.0
/* A load that was requested within this time is still in its server's queue:
   the queue drops loads that were not requested again for 700 ms
   (orders.c). */
#define _FL_QUEUED_LOAD_US 600000
/* Time by which a load from the weight store delays other loads that wait for
   the store: two to three loads' time, as in the queue of a store in full
   use. */
#define _FL_FETCH_QUEUE_COST_MS 600.0
/* Each adapter prefers the servers in an order of its own, by up to this much:
   less than the time of a load, more than the differences of idle servers. */
#define _FL_AFFINITY_MS 120.0

/* A choice is drawn, instead of the cheapest server, from this many requests
   of other instances for each candidate that are not known yet; with fewer,
   what is known decides better. */
#define _FL_MIN_UNSEEN 1.0

/* -- private: choice of a server ------------------------------------------ */

static bool
_fl_already_tried(const fl_request *request, const fl_server *server)
{
    for (uint32_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == server) {
            return true;
        }
    }
    return false;
}

/* True if the server is of the service and of the software version that the
   request needs. Servers of several services may hold a model of the same
   name. */
static bool
_fl_may_serve(const fl_request *request, const fl_server *server)
{
    return strcmp(server->service, request->service) == 0 &&
           (request->software_hash == 0 ||
            server->software_hash == request->software_hash);
}

/* True if the server is ready, open for requests and not tried yet. */
static bool
_fl_eligible(const fl_request *request, const fl_server *server)
{
    return server->state == FL_READY && !_fl_already_tried(request, server) &&
           fl_query_open(server, request->now_us);
}

/* True if the server lacks only a permit. */
static bool
_fl_lacks_permit(const fl_request *request, const fl_server *server)
{
    return server->state == FL_READY && !_fl_already_tried(request, server) &&
           nt_query_available(&server->notice, request->now_us) &&
           server->limit.limited &&
           !pm_query_any(&server->permits, request->now_us);
}

/* True if no connection to the server could be had a moment ago. Then nothing
   that is known of its load says that it has room. */
static bool
_fl_is_unreachable(const fl_request *request, const fl_server *server)
{
    return server->unreachable && request->now_us < server->cooldown_until_us;
}

/* Returns the requests in flight per slot. */
static double
_fl_utilization(const fl_server *server, uint64_t now_us)
{
    return (double)fl_query_in_flight(server, now_us) / server->slots;
}

/* Returns the expected time between events (engines) or of an answer (plain
   services) at a utilization. It grows steeply above 0.8; only ratios
   matter. */
static double
_fl_work_ms(const fl_server *server, bool engine, double utilization)
{
    double time_ms = engine ? server->event_ms : server->latency_ms;
    if (time_ms <= 0) {
        time_ms = FL_DEFAULT_EVENT_MS;
    }
    return time_ms * (1.0 + utilization + 4.0 * MAX(utilization - 0.8, 0));
}

/* Returns the expected time between events at the present utilization. */
static double
_fl_stream_event_ms(const fl_server *server, uint64_t now_us)
{
    return _fl_work_ms(server, true, _fl_utilization(server, now_us));
}

/* Returns the cost of one more request at a server; lower is better. A random
   part of up to 4 % spreads requests over servers of like cost. */
static double
_fl_request_cost(fl_fleet *fleet, const fl_request *request,
                 const fl_server *server, uint32_t in_flight)
{
    double utilization = (double)in_flight / server->slots;
    double cost = _fl_work_ms(server, request->adapter != NULL, utilization) *
                  fl_query_slowness(server, request->now_us);
    /* The prefill of a long prompt stalls the streams that run there. */
    cost *=
        1.0 + utilization * request->prompt_tokens / _FL_LONG_PROMPT_TOKENS;
    if (request->prompt_tokens) {
        cost = cost * _FL_EVENT_WEIGHT +
               fl_query_prefill_ms(server, request->prompt_tokens,
                                   request->now_us);
    }
    cost *= 1.0 + _FL_FAILURE_COST * server->failure_rate;
    if (request->zone && strcmp(request->zone, server->zone) != 0) {
        cost *= 1.0 + _FL_OTHER_ZONE_COST;
    }
    if (request->now_us < server->cooldown_until_us) {
        /* It is chosen only if no other server is eligible. */
        cost *= 100.0;
    }
    return cost * (1.0 + 0.04 * g_rand_double(fleet->random));
}

/* Returns about how much each further request raises the cost. */
static double
_fl_request_slope(const fl_server *server, uint32_t in_flight, double cost)
{
    double utilization = (double)in_flight / server->slots;
    double steepness = utilization < 0.8 ? 1.0 : 5.0;
    double factor = 1.0 + utilization + 4.0 * MAX(utilization - 0.8, 0);
    return cost / factor * steepness / server->slots;
}

/* True if the server has its most requests in flight. */
static bool
_fl_saturated(const fl_server *server, uint32_t in_flight)
{
    return in_flight >= (uint32_t)(server->slots * _FL_MAX_PER_SLOT) + 1;
}

/* The best candidates so far. */
typedef struct _fl_best {
    double cost;        /* of the choice */
    double unseen;      /* requests that other instances send to the candidates
                           before they are heard of */
    fl_server *limited; /* best of those that lack only a permit */
    double limited_cost;
    fl_server
        *unreachable; /* best of those that refused a connection lately */
    double unreachable_cost;
    bool any_unreachable; /* there are such, which may have been tried */
    bool others;          /* there are others, which may be full */
} _fl_best;

static void
_fl_clear_candidates(fl_fleet *fleet, _fl_best *best)
{
    best->unseen = 0;
    best->unreachable = NULL;
    best->any_unreachable = false;
    best->others = false;
    g_array_set_size(fleet->spread, 0);
    g_ptr_array_set_size(fleet->spread_servers, 0);
}

/* Notes the server for _fl_spread(), and what others send there unseen: by
   Little's law, its requests divided by the time for which it has each. */
static void
_fl_add_candidate(fl_fleet *fleet, fl_server *server, uint32_t in_flight,
                  double cost, _fl_best *best)
{
    if (server->held_ms > 0) {
        uint32_t others = in_flight - server->own_in_flight;
        best->unseen += others * fleet->report_age_ms / server->held_ms;
    }
    sd_candidate candidate = {
        .cost = cost, .slope = _fl_request_slope(server, in_flight, cost)};
    g_array_append_val(fleet->spread, candidate);
    g_ptr_array_add(fleet->spread_servers, server);
}

/* Makes the server the choice if it is not full and costs less than the best
   one so far. */
static void
_fl_compare_candidate(fl_fleet *fleet, const fl_request *request,
                      fl_server *server, _fl_best *best, fl_choice *out)
{
    /* Sums over all instances, so it is asked for once. */
    uint32_t in_flight = fl_query_in_flight(server, request->now_us);
    if (_fl_saturated(server, in_flight) ||
        (request->needs_slot && in_flight >= server->slots)) {
        out->status = out->status == FL_CHOSEN ? FL_CHOSEN : FL_ALL_FULL;
        best->others = best->others || !_fl_is_unreachable(request, server);
        return;
    }
    double cost = _fl_request_cost(fleet, request, server, in_flight);
    if (_fl_is_unreachable(request, server)) {
        best->any_unreachable = true;
        if (!best->unreachable || cost < best->unreachable_cost) {
            best->unreachable = server;
            best->unreachable_cost = cost;
        }
        return;
    }
    best->others = true;
    if (out->status != FL_CHOSEN || cost < best->cost) {
        best->cost = cost;
        out->server = server;
        out->status = FL_CHOSEN;
    }
    if (fleet->report_age_ms > 0) {
        _fl_add_candidate(fleet, server, in_flight, cost, best);
    }
}

/* Replaces the cheapest server by a drawn one where so many requests of other
   instances are not known yet that they would go to the same one. */
static void
_fl_spread(fl_fleet *fleet, const _fl_best *best, fl_choice *out)
{
    uint32_t count = fleet->spread->len;
    if (out->status == FL_CHOSEN && count > 1 &&
        best->unseen >= count * _FL_MIN_UNSEEN) {
        uint32_t at =
            sd_choose((const sd_candidate *)(void *)fleet->spread->data, count,
                      best->unseen, g_rand_double(fleet->random));
        out->server = fleet->spread_servers->pdata[at];
    }
}

/* Where no other server can be chosen, one that refused a connection lately
   is, unless others are just full: then the request waits for a place there.
 */
static void
_fl_use_unreachable(const _fl_best *best, fl_choice *out)
{
    if (out->status == FL_CHOSEN) {
        return;
    }
    if (best->others && best->any_unreachable) {
        out->status = FL_ALL_FULL;
    }
    else if (best->unreachable) {
        out->status = FL_CHOSEN;
        out->server = best->unreachable;
    }
}

/* Notes why a server that could otherwise serve is skipped. */
static void
_fl_note_skipped(fl_fleet *fleet, const fl_request *request, fl_server *server,
                 _fl_best *best, fl_choice *out)
{
    if (server->state == FL_READY && fl_query_open(server, request->now_us)) {
        bool unreachable = _fl_is_unreachable(request, server);
        best->any_unreachable = best->any_unreachable || unreachable;
        best->others = best->others || !unreachable;
    }
    out->skipped_leaving =
        out->skipped_leaving || nt_query_reported_leaving(&server->notice);
    out->skipped_paused = out->skipped_paused ||
                          nt_query_paused(&server->notice, request->now_us);
    if (!_fl_lacks_permit(request, server)) {
        return;
    }
    uint32_t in_flight = fl_query_in_flight(server, request->now_us);
    if (_fl_saturated(server, in_flight)) {
        return;
    }
    out->skipped_limited = true;
    out->permits_per_s += pm_query_per_s(&server->permits, request->now_us);
    out->limit_per_s += server->limit.per_s;
    double cost = _fl_request_cost(fleet, request, server, in_flight);
    if (!best->limited || cost < best->limited_cost) {
        best->limited = server;
        best->limited_cost = cost;
    }
}

/* Notes the wish for a permit at the server that the request would go to. */
static void
_fl_want_permit(const fl_request *request, const _fl_best *best,
                const fl_choice *out)
{
    if (!request->wants_permits) {
        return;
    }
    bool chosen = out->status == FL_CHOSEN;
    if (best->limited && (!chosen || best->limited_cost < best->cost)) {
        pm_note_wanted(&best->limited->permits,
                       (request->waited ? PM_COUNTED : 0) |
                           (chosen ? 0 : PM_URGENT),
                       request->now_us);
    }
    else if (chosen && out->server->limit.limited && !request->waited) {
        pm_note_wanted(&out->server->permits, 0, request->now_us);
    }
}

/* True if a request that is sent now would begin while the copy's version,
   which is not the newest, may still serve. */
static bool
_fl_old_version_in_time(const fl_fleet *fleet, const fl_request *request,
                        const fl_copy *copy)
{
    double first_ms = fl_query_prefill_ms(copy->server, request->prompt_tokens,
                                          request->now_us);
    return request->now_us + (uint64_t)(first_ms * 1000.0) <
           fl_query_replaced_us(request->adapter, copy->version) +
               fleet->old_version_grace_us;
}

/* Chooses among the servers with a loaded copy: one that is up to date, or
   with outdated one of an older version that may still serve. */
static void
_fl_choose_by_copy(fl_fleet *fleet, const fl_request *request, bool outdated,
                   _fl_best *best, fl_choice *out)
{
    const fl_adapter *adapter = request->adapter;
    _fl_clear_candidates(fleet, best);
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (copy->loading || !_fl_may_serve(request, copy->server) ||
            fl_query_up_to_date(copy) == outdated ||
            (outdated && !_fl_old_version_in_time(fleet, request, copy))) {
            continue;
        }
        if (_fl_eligible(request, copy->server)) {
            _fl_compare_candidate(fleet, request, copy->server, best, out);
        }
        else {
            _fl_note_skipped(fleet, request, copy->server, best, out);
        }
    }
    _fl_spread(fleet, best, out);
    _fl_use_unreachable(best, out);
}

/* True if the server holds no copy, or a loaded one of an older version that
   is not in use. */
static bool
_fl_needs_copy(const fl_server *server, const fl_adapter *adapter,
               uint64_t now_us)
{
    const fl_copy *copy = fl_query_copy(server, adapter);
    return !copy || (!copy->loading && !fl_query_up_to_date(copy) &&
                     !fl_query_in_use(copy, now_us));
}

/* True if the adapter can be loaded there: the server can take orders, holds
   the loaded base model, is neither paused nor in cooldown, and needs the
   copy. */
static bool
_fl_can_load(const fl_fleet *fleet, const fl_server *server,
             const fl_adapter *adapter, uint64_t now_us)
{
    /* A copy there would serve few requests, though the server looks idle. */
    if (server->limit.limited &&
        !fl_query_all_limited(fleet, server->service)) {
        return false;
    }
    fl_adapter *model = g_hash_table_lookup(fleet->adapters, adapter->model);
    const fl_copy *base = model ? fl_query_copy(server, model) : NULL;
    return server->state == FL_READY && server->orders_possible && base &&
           !base->loading && now_us >= server->cooldown_until_us &&
           nt_query_available(&server->notice, now_us) &&
           _fl_needs_copy(server, adapter, now_us);
}

/* Returns the time of a load there, and by which it delays other loads. */
static double
_fl_load_cost_ms(const fl_fleet *fleet, const fl_server *server,
                 const fl_adapter *adapter)
{
    return fl_query_locally_cached(server, adapter)
               ? FL_CACHED_LOAD_MS
               : fleet->fetch_ms + _FL_FETCH_QUEUE_COST_MS;
}

/* Returns the time until the server has a place for one more load, by the
   capacity that its holder reported last and the loads requested since. */
static double
_fl_place_wait_ms(const fl_server *server)
{
    if (server->load_capacity_us == 0) {
        return 0;
    }
    int32_t free_places =
        server->load_capacity - (int32_t)server->requested_loads;
    return free_places > 0 ? 0 : (1 - free_places) * _FL_PLACE_WAIT_MS;
}

/* Returns the expected time until a new copy there could bring a first
   event. */
static double
_fl_new_copy_ms(const fl_fleet *fleet, const fl_server *server,
                const fl_adapter *adapter, uint64_t now_us)
{
    return fl_query_prefill_ms(server, 0, now_us) + _fl_place_wait_ms(server) +
           _fl_load_cost_ms(fleet, server, adapter);
}

/* Returns the same with the weighted time between events added. */
static double
_fl_new_copy_cost(const fl_fleet *fleet, const fl_server *server,
                  const fl_adapter *adapter, uint64_t now_us)
{
    return _fl_new_copy_ms(fleet, server, adapter, now_us) +
           _FL_EVENT_WEIGHT * _fl_stream_event_ms(server, now_us);
}

/* Returns the server where a new copy costs least; NULL: none can load it. */
static fl_server *
_fl_best_load_server(const fl_fleet *fleet, const fl_request *request)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    const fl_adapter *adapter = request->adapter;
    uint64_t now_us = request->now_us;
    fl_server *best = NULL;
    for (guint i = 0; list && i < list->len; i++) {
        fl_server *server = list->pdata[i];
        if (_fl_may_serve(request, server) &&
            _fl_can_load(fleet, server, adapter, now_us) &&
            (!best || _fl_new_copy_cost(fleet, server, adapter, now_us) <
                          _fl_new_copy_cost(fleet, best, adapter, now_us))) {
            best = server;
        }
    }
    return best;
}

/* True if a further copy at another server would be so much faster than the
   chosen server, and the demand so high, that it is worth its load. */
static bool
_fl_extra_copy_pays(const fl_fleet *fleet, const fl_request *request,
                    const fl_server *server)
{
    if (fl_query_demand(request->adapter, request->now_us) <
        _FL_EXTRA_COPY_MIN_DEMAND) {
        return false;
    }
    const fl_server *other = _fl_best_load_server(fleet, request);
    if (!other) {
        return false;
    }
    return fl_query_prefill_ms(server, 0, request->now_us) >
               _fl_new_copy_ms(fleet, other, request->adapter,
                               request->now_us) +
                   _FL_EXTRA_COPY_MIN_SAVING_MS ||
           _fl_stream_event_ms(server, request->now_us) >
               _fl_stream_event_ms(other, request->now_us) *
                   _FL_EXTRA_COPY_RATIO;
}

static void
_fl_choose_any_server(fl_fleet *fleet, const fl_request *request,
                      _fl_best *best, fl_choice *out)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    _fl_clear_candidates(fleet, best);
    for (guint i = 0; list && i < list->len; i++) {
        fl_server *server = list->pdata[i];
        if (!_fl_may_serve(request, server)) {
            continue;
        }
        if (_fl_eligible(request, server)) {
            _fl_compare_candidate(fleet, request, server, best, out);
        }
        else {
            _fl_note_skipped(fleet, request, server, best, out);
        }
    }
    _fl_spread(fleet, best, out);
    _fl_use_unreachable(best, out);
}

/* -- private: no server can be chosen ------------------------------------- */

/* Notes the server if it is paused and its pause ends before those noted so
   far. */
static void
_fl_note_resume(const fl_request *request, fl_server *server, fl_choice *out)
{
    uint64_t resume_us =
        nt_query_available_us(&server->notice, request->now_us);
    if (server->state == FL_READY &&
        nt_query_paused(&server->notice, request->now_us) &&
        (!out->server || resume_us < out->resume_us)) {
        out->server = server;
        out->resume_us = resume_us;
    }
}

/* Notes the paused server with an up-to-date copy whose pause ends first. */
static void
_fl_first_copy_to_resume(const fl_request *request, fl_choice *out)
{
    const fl_adapter *adapter = request->adapter;
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (!copy->loading && fl_query_up_to_date(copy) &&
            _fl_may_serve(request, copy->server)) {
            _fl_note_resume(request, copy->server, out);
        }
    }
}

/* Notes the paused server of the service whose pause ends first. */
static void
_fl_first_server_to_resume(const fl_fleet *fleet, const fl_request *request,
                           fl_choice *out)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    for (guint i = 0; list && i < list->len; i++) {
        if (_fl_may_serve(request, list->pdata[i])) {
            _fl_note_resume(request, list->pdata[i], out);
        }
    }
}

/* True if all servers that may serve the request are leaving and at least one
   of them announced it itself. */
static bool
_fl_all_leaving(const fl_fleet *fleet, const fl_request *request)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    bool announced = false;
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (!_fl_may_serve(request, server)) {
            continue;
        }
        if (server->state != FL_LEAVING) {
            return false;
        }
        announced = announced || nt_query_reported_leaving(&server->notice);
    }
    return announced;
}

/* True if a ready server that may serve the request is neither paused nor
   limited. */
static bool
_fl_any_server_open(const fl_fleet *fleet, const fl_request *request)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state == FL_READY && _fl_may_serve(request, server) &&
            !server->limit.limited &&
            nt_query_available(&server->notice, request->now_us)) {
            return true;
        }
    }
    return false;
}

/* Sets the status to what the servers announced, if that is why none could be
   chosen. Not called where all candidates are full. */
static void
_fl_explain_no_choice(const fl_fleet *fleet, const fl_request *request,
                      fl_choice *out)
{
    if (_fl_all_leaving(fleet, request)) {
        out->status = FL_ALL_LEAVING;
        return;
    }
    bool any_open = _fl_any_server_open(fleet, request);
    /* Only adapters can be loaded elsewhere. */
    bool loadable = any_open && request->adapter && request->adapter->name;
    if (out->skipped_limited) {
        out->status = loadable ? out->status : FL_ALL_LIMITED;
        return;
    }
    if (request->adapter) {
        _fl_first_copy_to_resume(request, out);
    }
    /* The rest of a short pause costs less than a load elsewhere; that of a
       longer one costs more, so the status stays. */
    if (out->server && any_open &&
        out->resume_us > request->now_us + fl_query_load_cost_us(fleet)) {
        out->server = NULL;
        return;
    }
    if (!out->server && !any_open) {
        _fl_first_server_to_resume(fleet, request, out);
    }
    if (out->server) {
        out->status = FL_ALL_PAUSED;
    }
}

uint64_t
fl_query_load_cost_us(const fl_fleet *fleet)
{
    return (uint64_t)((fleet->fetch_ms + _FL_FETCH_QUEUE_COST_MS) * 1000.0);
}

/* -- public: choice of a server ------------------------------------------- */

/* True if each ready server that holds the adapter's version is limited. */
static bool
_fl_only_limited_copies(const fl_adapter *adapter)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (!copy->loading && fl_query_up_to_date(copy) &&
            copy->server->state == FL_READY && !copy->server->limit.limited) {
            return false;
        }
    }
    return true;
}

static bool
_fl_any_ready(const fl_fleet *fleet, const fl_request *request)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state == FL_READY && _fl_may_serve(request, server)) {
            return true;
        }
    }
    return false;
}

/* Chooses among the servers with a copy of the adapter, and tells whether a
   further copy should be loaded. */
static void
_fl_choose_for_adapter(fl_fleet *fleet, const fl_request *request,
                       _fl_best *best, fl_choice *out)
{
    fl_adapter *adapter = request->adapter;
    if (_fl_any_ready(fleet, request)) {
        out->status = FL_NO_COPY;
    }
    _fl_choose_by_copy(fleet, request, false, best, out);
    bool outdated = out->status == FL_NO_COPY;
    if (outdated) {
        _fl_choose_by_copy(fleet, request, true, best, out);
        out->needs_another_copy = out->status == FL_CHOSEN;
    }
    if (out->status == FL_CHOSEN) {
        out->copy_version = fl_query_copy(out->server, adapter)->version;
    }
    if (outdated) {
        return;
    }
    if (out->status != FL_CHOSEN) {
        out->needs_another_copy = out->status == FL_ALL_FULL;
        return;
    }
    out->version = adapter->name ? adapter->version : 0;
    out->needs_another_copy =
        adapter->name && (_fl_only_limited_copies(adapter) ||
                          _fl_extra_copy_pays(fleet, request, out->server));
}

bool
fl_choose_server(fl_fleet *fleet, const fl_request *request, fl_choice *out)
{
    *out = (fl_choice){.status = FL_NO_SERVER};
    _fl_best best = {0};
    if (request->adapter) {
        _fl_choose_for_adapter(fleet, request, &best, out);
    }
    else {
        _fl_choose_any_server(fleet, request, &best, out);
    }
    _fl_want_permit(request, &best, out);
    if (out->status == FL_NO_SERVER || out->status == FL_NO_COPY) {
        _fl_explain_no_choice(fleet, request, out);
    }
    if (out->status == FL_NO_SERVER && request->software_hash &&
        !_fl_any_ready(fleet, request)) {
        out->status = FL_NO_SOFTWARE;
    }
    return out->status == FL_CHOSEN;
}

/* -- public: places of copies --------------------------------------------- */

/* Returns the rank of a server for an adapter, 0 to 1, by rendezvous hashing:
   each adapter has an order of the servers of its own, which is the same at
   all instances. */
static double
_fl_affinity_rank(const fl_adapter *adapter, const fl_server *server)
{
    uint64_t hash = adapter->hash ^ (server->hash * 0x9e3779b97f4a7c15ULL);
    hash ^= hash >> 29;
    hash *= 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 32;
    /* The upper 53 bits, which a double holds exactly, divided by 2^53. */
    return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

static bool
_fl_max_loading_reached(const fl_server *server)
{
    uint32_t loading = 0;
    for (guint i = 0; i < server->copies->len; i++) {
        loading += ((fl_copy *)server->copies->pdata[i])->loading;
    }
    return loading >= _FL_MAX_LOADING;
}

fl_server *
fl_choose_load_server(fl_fleet *fleet, const char *service,
                      fl_adapter *adapter, uint64_t now_us)
{
    return fl_choose_load_server_for(fleet, &(fl_request){.service = service,
                                                          .adapter = adapter,
                                                          .now_us = now_us});
}

fl_server *
fl_choose_load_server_for(fl_fleet *fleet, const fl_request *request)
{
    const fl_adapter *adapter = request->adapter;
    uint64_t now_us = request->now_us;
    /* The load is in that server's queue; a request to another server would
       load the adapter twice. */
    if (adapter->last_load_server &&
        _fl_may_serve(request, adapter->last_load_server) &&
        now_us < adapter->last_load_request_us + _FL_QUEUED_LOAD_US &&
        _fl_can_load(fleet, adapter->last_load_server, adapter, now_us)) {
        return adapter->last_load_server;
    }
    if (adapter->copies->len) {
        return _fl_best_load_server(fleet, request);
    }
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, request->service);
    fl_server *chosen = NULL;
    double best = 0;
    for (guint i = 0; list && i < list->len; i++) {
        fl_server *server = list->pdata[i];
        if (!_fl_may_serve(request, server) ||
            !_fl_can_load(fleet, server, adapter, now_us)) {
            continue;
        }
        double time_ms = _fl_new_copy_cost(fleet, server, adapter, now_us) +
                         _FL_AFFINITY_MS * _fl_affinity_rank(adapter, server);
        if (_fl_max_loading_reached(server) ||
            _fl_saturated(server, fl_query_in_flight(server, now_us))) {
            time_ms += _FL_BUSY_PENALTY_MS;
        }
        if (!chosen || time_ms < best) {
            chosen = server;
            best = time_ms;
        }
    }
    return chosen;
}

fl_copy *
fl_query_victim(const fl_server *server, uint64_t now_us)
{
    fl_copy *victim = NULL;
    double least = 0;
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if (copy->loading || !copy->adapter->name ||
            fl_query_in_use(copy, now_us)) {
            continue;
        }
        /* The demand per copy; an outdated copy is always evicted first. */
        double demand = fl_query_up_to_date(copy)
                            ? fl_query_demand(copy->adapter, now_us) /
                                  copy->adapter->copies->len
                            : -1.0;
        if (!victim || demand < least) {
            victim = copy;
            least = demand;
        }
    }
    return victim;
}
