#include "fleet_private.h"

#include <string.h>

/* Another zone costs a few ms and paid bytes; worth this much load. */
#define _FL_ZONE_COST 0.06
/* Tokens of a prompt that is long: reading it takes about an event's time. */
#define _FL_LONG_PROMPT 800.0
/* A request that fails costs several good ones. */
#define _FL_FAIL_COST 6.0
/* A further copy is due when a server without one costs this much less, and
   the adapter is used so often that it pays for the load. */
#define _FL_DEARER 1.6
#define _FL_COPY_USE 1.8
/* Requests beyond the slots wait at the server; up to this many per slot. */
#define _FL_FULL 1.5
/* Adapters on their way to a server at once; one that is full of them or of
   requests comes behind the others, unless these are far behind. */
#define _FL_LOADING_FULL 4
#define _FL_LOAD_MS_BUSY 250.0
/* A first event sooner by this many pauses outweighs slower events: callers'
   streams have some 8 to 50 events, and pauses count only when long. */
#define _FL_EVENTS 4.0
/* A further copy pays when it saves this much of the time until the first
   event, after its own load: well below the targets of streams, 600 ms and
   more. */
#define _FL_COPY_SAVES_MS 100.0
/* Where no place can be had, the next gets free about this much later: a run
   of a second or so at each of 6 to 11 places. */
#define _FL_PLACE_MS 150.0
/* A load that was asked for so lately is in its server's queue: it drops what
   was not asked for again in 700 ms (orders.c). */
#define _FL_ASKED_US 600000
/* What a load from the weight store takes from others that wait for one: two
   to three loads' time, as the queue of a store in full use has it. */
#define _FL_FETCH_MORE_MS 600.0
/* Each adapter prefers the servers in its own order, by up to this much: less
   than a load, more than the differences of idle servers. */
#define _FL_HOME_MS 120.0

/* -- private: choosing ---------------------------------------------------- */

static bool
_fl_tried(const fl_want *want, const fl_server *server)
{
    for (uint32_t i = 0; i < want->tried_count; i++) {
        if (want->tried[i] == server) {
            return true;
        }
    }
    return false;
}

static bool
_fl_usable(const fl_want *want, const fl_server *server)
{
    return server->state == FL_READY && !_fl_tried(want, server) &&
           nt_query_available(&server->notice, want->now_us);
}

/* Notes what a server that could serve is left out for. */
static void
_fl_note_held(const fl_want *want, const fl_server *server, fl_choice *out)
{
    out->held_leaving =
        out->held_leaving || nt_query_reported_leaving(&server->notice);
    out->held_paused =
        out->held_paused || nt_query_paused(&server->notice, want->now_us);
}

/* Requests under way for each slot. */
static double
_fl_fill(const fl_server *server, uint64_t now_us)
{
    return (double)fl_query_in_flight(server, now_us) / server->slots;
}

/* Time of work at a server with what it has to do, in ms of an event or an
   answer; only ratios count. */
static double
_fl_time(const fl_server *server, bool engine, double fill)
{
    double time_ms = engine ? server->event_ms : server->latency_ms;
    if (time_ms <= 0) {
        time_ms = FL_EVENT_MS;
    }
    return time_ms * (1.0 + fill + 4.0 * MAX(fill - 0.8, 0));
}

/* The same of streams, as things stand. */
static double
_fl_stream_time(const fl_server *server, uint64_t now_us)
{
    return _fl_time(server, true, _fl_fill(server, now_us));
}

/* Cost of one more request at a server; lower is better. */
static double
_fl_cost(fl_fleet *fleet, const fl_want *want, const fl_server *server)
{
    double fill = _fl_fill(server, want->now_us);
    double cost = _fl_time(server, want->adapter != NULL, fill) *
                  fl_query_slowness(server, want->now_us);
    /* Reading a long prompt holds up the streams that run there. */
    cost *= 1.0 + fill * want->prompt_tokens / _FL_LONG_PROMPT;
    if (want->prompt_tokens) {
        cost = cost * _FL_EVENTS +
               fl_query_read_ms(server, want->prompt_tokens, want->now_us);
    }
    cost *= 1.0 + _FL_FAIL_COST * server->failing;
    if (want->zone && strcmp(want->zone, server->zone) != 0) {
        cost *= 1.0 + _FL_ZONE_COST;
    }
    if (want->now_us < server->shunned_until_us) {
        cost *= 100.0;
    }
    return cost * (1.0 + 0.04 * g_rand_double(fleet->random));
}

static bool
_fl_full(const fl_server *server, uint64_t now_us)
{
    return fl_query_in_flight(server, now_us) >=
           (uint32_t)(server->slots * _FL_FULL) + 1;
}

static void
_fl_consider(fl_fleet *fleet, const fl_want *want, fl_server *server,
             double *best, fl_choice *out)
{
    if (_fl_full(server, want->now_us)) {
        out->why = out->why == FL_CHOSEN ? FL_CHOSEN : FL_ALL_FULL;
        return;
    }
    double cost = _fl_cost(fleet, want, server);
    if (out->why != FL_CHOSEN || cost < *best) {
        *best = cost;
        out->server = server;
        out->why = FL_CHOSEN;
    }
}

/* A request that is sent now begins while the old version may still. */
static bool
_fl_begins_old(const fl_fleet *fleet, const fl_want *want,
               const fl_server *server)
{
    double first_ms =
        fl_query_read_ms(server, want->prompt_tokens, want->now_us);
    return want->now_us + (uint64_t)(first_ms * 1000.0) <
           want->adapter->version_us + fleet->old_version_us;
}

/* Copies that may serve now: current ones; old ones for a while if none. */
static void
_fl_choose_copy(fl_fleet *fleet, const fl_want *want, bool old, fl_choice *out)
{
    double best = 0;
    const fl_adapter *adapter = want->adapter;
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (copy->loading || fl_query_current(copy) == old ||
            (old && !_fl_begins_old(fleet, want, copy->server))) {
            continue;
        }
        if (_fl_usable(want, copy->server)) {
            _fl_consider(fleet, want, copy->server, &best, out);
        }
        else {
            _fl_note_held(want, copy->server, out);
        }
    }
}

/* Nothing of it is there, or an older version that nobody uses. */
static bool
_fl_lacks(const fl_server *server, const fl_adapter *adapter, uint64_t now_us)
{
    const fl_copy *copy = fl_query_copy(server, adapter);
    return !copy || (!copy->loading && !fl_query_current(copy) &&
                     !fl_query_in_use(copy, now_us));
}

static bool
_fl_takes_copy(const fl_fleet *fleet, const fl_server *server,
               const fl_adapter *adapter, uint64_t now_us)
{
    fl_adapter *model = g_hash_table_lookup(fleet->adapters, adapter->model);
    const fl_copy *base = model ? fl_query_copy(server, model) : NULL;
    return server->state == FL_READY && server->orders_possible && base &&
           !base->loading && now_us >= server->shunned_until_us &&
           nt_query_available(&server->notice, now_us) &&
           _fl_lacks(server, adapter, now_us);
}

static double
_fl_load_ms(const fl_fleet *fleet, const fl_server *server,
            const fl_adapter *adapter)
{
    return fl_query_at_hand(server, adapter)
               ? FL_AT_HAND_MS
               : fleet->fetch_ms + _FL_FETCH_MORE_MS;
}

/* Time until a server's place can be had, as its holder told last and with
   what was asked of it since. */
static double
_fl_place_ms(const fl_server *server)
{
    if (server->room_us == 0) {
        return 0;
    }
    int32_t room = server->room - (int32_t)server->asks;
    return room > 0 ? 0 : (1 - room) * _FL_PLACE_MS;
}

/* Time until a copy could serve there, in ms of a first event. */
static double
_fl_copy_ms(const fl_fleet *fleet, const fl_server *server,
            const fl_adapter *adapter, uint64_t now_us)
{
    return fl_query_read_ms(server, 0, now_us) + _fl_place_ms(server) +
           _fl_load_ms(fleet, server, adapter);
}

/* The same with the pauses of its streams. */
static double
_fl_copy_time(const fl_fleet *fleet, const fl_server *server,
              const fl_adapter *adapter, uint64_t now_us)
{
    return _fl_copy_ms(fleet, server, adapter, now_us) +
           _FL_EVENTS * _fl_stream_time(server, now_us);
}

/* The server without a copy that would serve best. */
static fl_server *
_fl_best_without(const fl_fleet *fleet, const char *service,
                 const fl_adapter *adapter, uint64_t now_us)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    fl_server *best = NULL;
    for (guint i = 0; list && i < list->len; i++) {
        fl_server *server = list->pdata[i];
        if (_fl_takes_copy(fleet, server, adapter, now_us) &&
            (!best || _fl_copy_time(fleet, server, adapter, now_us) <
                          _fl_copy_time(fleet, best, adapter, now_us))) {
            best = server;
        }
    }
    return best;
}

static bool
_fl_pays(const fl_fleet *fleet, const fl_want *want, const fl_server *server)
{
    if (fl_query_use(want->adapter, want->now_us) < _FL_COPY_USE) {
        return false;
    }
    const fl_server *other =
        _fl_best_without(fleet, want->service, want->adapter, want->now_us);
    if (!other) {
        return false;
    }
    return fl_query_read_ms(server, 0, want->now_us) >
               _fl_copy_ms(fleet, other, want->adapter, want->now_us) +
                   _FL_COPY_SAVES_MS ||
           _fl_stream_time(server, want->now_us) >
               _fl_stream_time(other, want->now_us) * _FL_DEARER;
}

static void
_fl_choose_any(fl_fleet *fleet, const fl_want *want, fl_choice *out)
{
    double best = 0;
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, want->service);
    for (guint i = 0; list && i < list->len; i++) {
        if (_fl_usable(want, list->pdata[i])) {
            _fl_consider(fleet, want, list->pdata[i], &best, out);
        }
        else {
            _fl_note_held(want, list->pdata[i], out);
        }
    }
}

/* -- private: nobody can serve now ---------------------------------------- */

static void
_fl_note_back(const fl_want *want, fl_server *server, fl_choice *out)
{
    uint64_t back_us = nt_query_available_us(&server->notice, want->now_us);
    if (server->state == FL_READY &&
        nt_query_paused(&server->notice, want->now_us) &&
        (!out->server || back_us < out->back_us)) {
        out->server = server;
        out->back_us = back_us;
    }
}

/* The paused server with a copy that is back first. */
static void
_fl_first_copy_back(const fl_want *want, fl_choice *out)
{
    const fl_adapter *adapter = want->adapter;
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        if (!copy->loading && fl_query_current(copy)) {
            _fl_note_back(want, copy->server, out);
        }
    }
}

static void
_fl_first_back(const fl_fleet *fleet, const fl_want *want, fl_choice *out)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, want->service);
    for (guint i = 0; list && i < list->len; i++) {
        _fl_note_back(want, list->pdata[i], out);
    }
}

/* All servers of the service leave, by their own word. */
static bool
_fl_said_all_leave(const fl_fleet *fleet, const char *service)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    bool said = false;
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state != FL_LEAVING) {
            return false;
        }
        said = said || nt_query_reported_leaving(&server->notice);
    }
    return said;
}

static bool
_fl_any_open(const fl_fleet *fleet, const fl_want *want)
{
    const GPtrArray *list =
        g_hash_table_lookup(fleet->services, want->service);
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state == FL_READY &&
            nt_query_available(&server->notice, want->now_us)) {
            return true;
        }
    }
    return false;
}

/* Nobody was chosen, and not because all are full: what servers said of
   themselves may be why. */
static void
_fl_explain(const fl_fleet *fleet, const fl_want *want, fl_choice *out)
{
    if (_fl_said_all_leave(fleet, want->service)) {
        out->why = FL_ALL_LEAVE;
        return;
    }
    bool any_open = _fl_any_open(fleet, want);
    if (want->adapter) {
        _fl_first_copy_back(want, out);
    }
    /* A load elsewhere costs more than the rest of a short pause. */
    if (out->server && any_open &&
        out->back_us > want->now_us + fl_query_load_us(fleet)) {
        out->server = NULL;
        return;
    }
    if (!out->server && !any_open) {
        _fl_first_back(fleet, want, out);
    }
    if (out->server) {
        out->why = FL_ALL_PAUSED;
    }
}

uint64_t
fl_query_load_us(const fl_fleet *fleet)
{
    return (uint64_t)((fleet->fetch_ms + _FL_FETCH_MORE_MS) * 1000.0);
}

/* -- public: choosing ----------------------------------------------------- */

static void
_fl_choose_loaded(fl_fleet *fleet, const fl_want *want, fl_choice *out)
{
    fl_adapter *adapter = want->adapter;
    if (fl_query_usable(fleet, want->service) > 0) {
        out->why = FL_NO_COPY;
    }
    _fl_choose_copy(fleet, want, false, out);
    bool old_allowed =
        adapter->version > 0 &&
        want->now_us < adapter->version_us + fleet->old_version_us;
    if (out->why == FL_NO_COPY && old_allowed) {
        _fl_choose_copy(fleet, want, true, out);
        out->more_copies = out->why == FL_CHOSEN;
        return;
    }
    if (out->why != FL_CHOSEN) {
        out->more_copies = out->why == FL_ALL_FULL;
        return;
    }
    out->version = adapter->name ? adapter->version : 0;
    out->more_copies = adapter->name && _fl_pays(fleet, want, out->server);
}

bool
fl_choose(fl_fleet *fleet, const fl_want *want, fl_choice *out)
{
    *out = (fl_choice){.why = FL_NO_SERVER};
    if (want->adapter) {
        _fl_choose_loaded(fleet, want, out);
    }
    else {
        _fl_choose_any(fleet, want, out);
    }
    if (out->why == FL_NO_SERVER || out->why == FL_NO_COPY) {
        _fl_explain(fleet, want, out);
    }
    return out->why == FL_CHOSEN;
}

/* -- public: placing ------------------------------------------------------ */

/* Each adapter has its own order of the servers, the same at all instances:
   0 to 1. */
static double
_fl_rank(const fl_adapter *adapter, const fl_server *server)
{
    uint64_t mixed = adapter->hash ^ (server->hash * 0x9e3779b97f4a7c15ULL);
    mixed ^= mixed >> 29;
    mixed *= 0xbf58476d1ce4e5b9ULL;
    mixed ^= mixed >> 32;
    return ((double)(mixed >> 11) + 0.5) / 9007199254740992.0;
}

static bool
_fl_loading_full(const fl_server *server)
{
    uint32_t loading = 0;
    for (guint i = 0; i < server->copies->len; i++) {
        loading += ((fl_copy *)server->copies->pdata[i])->loading;
    }
    return loading >= _FL_LOADING_FULL;
}

fl_server *
fl_place(fl_fleet *fleet, const char *service, fl_adapter *adapter,
         uint64_t now_us)
{
    /* It is in the queue there; at another server it would be loaded twice. */
    if (adapter->asked_at && now_us < adapter->asked_us + _FL_ASKED_US &&
        _fl_takes_copy(fleet, adapter->asked_at, adapter, now_us)) {
        return adapter->asked_at;
    }
    if (adapter->copies->len) {
        return _fl_best_without(fleet, service, adapter, now_us);
    }
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    fl_server *home = NULL;
    double best = 0;
    for (guint i = 0; list && i < list->len; i++) {
        fl_server *server = list->pdata[i];
        if (!_fl_takes_copy(fleet, server, adapter, now_us)) {
            continue;
        }
        double time_ms = _fl_copy_time(fleet, server, adapter, now_us) +
                         _FL_HOME_MS * _fl_rank(adapter, server);
        if (_fl_loading_full(server) || _fl_full(server, now_us)) {
            time_ms += _FL_LOAD_MS_BUSY;
        }
        if (!home || time_ms < best) {
            home = server;
            best = time_ms;
        }
    }
    return home;
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
        /* What other copies do not serve. */
        double use = fl_query_current(copy)
                         ? fl_query_use(copy->adapter, now_us) /
                               copy->adapter->copies->len
                         : -1.0;
        if (!victim || use < least) {
            victim = copy;
            least = use;
        }
    }
    return victim;
}
