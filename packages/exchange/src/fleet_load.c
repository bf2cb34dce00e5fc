#include "fleet_private.h"

#include <math.h>
#include <string.h>

/* Short enough to follow demand, which shifts within about 5 s. */
#define _FL_DEMAND_HALF_LIFE_US 4000000.0
/* Peer reports that are older are ignored: three report periods. */
#define _FL_PEER_LOAD_MAX_AGE_US 1500000
/* Time constant of the decay of a reported slowness. Slowness comes from
   neighbours on the same host, whose load lasts some 600 ms. */
#define _FL_SLOWNESS_DECAY_US 600000.0
/* Weight of one sample in the moving averages of times, and of one request in
   the failure rate. */
#define _FL_EWMA_WEIGHT 0.1
#define _FL_FAILURE_EWMA_WEIGHT 0.12
/* Consecutive failures before a server is avoided for a cooldown, which
   doubles with each further failure, up to a limit. */
#define _FL_COOLDOWN_AFTER_FAILURES 2
#define _FL_COOLDOWN_US 400000
#define _FL_MAX_COOLDOWN_US 3000000
#define _FL_MAX_COOLDOWN_DOUBLINGS 3
/* Prefills of fewer tokens are not measured: the time of their first event is
   mostly network delay. */
#define _FL_PREFILL_MIN_TOKENS 300
/* Part of the time until the first event that is not prefill: connection,
   batch step and network delay. */
#define _FL_FIRST_EVENT_OVERHEAD_MS 15.0
/* Time per 1000 prompt tokens where no prefill was measured yet. */
#define _FL_DEFAULT_PREFILL_MS 40.0
/* Time within which peers report a new request of theirs. */
#define _FL_PEER_REPORT_DELAY_US 250000

/* -- public: load --------------------------------------------------------- */

/* Returns the entry of a peer; NULL: none, as only peers with requests in
   flight have one. */
static fl_peer_load *
_fl_find_peer(const GArray *loads, uint32_t peer)
{
    for (guint i = 0; i < loads->len; i++) {
        fl_peer_load *load = &g_array_index(loads, fl_peer_load, i);
        if (load->peer == peer) {
            return load;
        }
    }
    return NULL;
}

/* Sets, adds or removes (0 requests) the entry of a peer. */
static void
_fl_set_peer_entry(GArray *loads, uint32_t peer, uint32_t in_flight,
                   uint64_t now_us)
{
    fl_peer_load *load = _fl_find_peer(loads, peer);
    if (load && in_flight == 0) {
        g_array_remove_index_fast(
            loads, (guint)(load - (fl_peer_load *)(void *)loads->data));
    }
    else if (load) {
        load->in_flight = in_flight;
        load->updated_us = now_us;
    }
    else if (in_flight) {
        fl_peer_load added = {
            .peer = peer, .in_flight = in_flight, .updated_us = now_us};
        g_array_append_val(loads, added);
    }
}

void
fl_set_peer_in_flight(fl_server *server, uint32_t peer, uint32_t in_flight,
                      uint64_t now_us)
{
    _fl_set_peer_entry(server->peer_loads, peer, in_flight, now_us);
}

void
fl_set_peer_prefill_tokens(fl_server *server, uint32_t peer, uint32_t tokens)
{
    fl_peer_load *load = _fl_find_peer(server->peer_loads, peer);
    if (load) {
        load->prefill_tokens = tokens;
    }
}

void
fl_set_peer_copy_in_flight(fl_server *server, uint32_t peer,
                           uint32_t adapter_hash, uint32_t in_flight,
                           uint64_t now_us)
{
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if ((uint32_t)copy->adapter->hash != adapter_hash) {
            continue;
        }
        if (!copy->peer_loads) {
            copy->peer_loads = g_array_new(FALSE, TRUE, sizeof(fl_peer_load));
        }
        _fl_set_peer_entry(copy->peer_loads, peer, in_flight, now_us);
        copy->last_used_us = now_us;
        return;
    }
}

void
fl_set_report_age_ms(fl_fleet *fleet, double age_ms)
{
    fleet->report_age_ms = age_ms;
}

void
fl_clear_peer_copies_in_flight(fl_server *server, uint32_t peer)
{
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if (copy->peer_loads) {
            _fl_set_peer_entry(copy->peer_loads, peer, 0, 0);
        }
    }
}

void
fl_set_load_capacity(fl_server *server, int32_t capacity, uint64_t now_us)
{
    server->load_capacity = capacity;
    server->load_capacity_us = now_us;
    server->requested_loads = 0;
}

/* Returns the requests of all peers whose report is not too old. */
static uint32_t
_fl_peers_in_flight(const GArray *loads, uint64_t now_us)
{
    uint32_t sum = 0;
    for (guint i = 0; loads && i < loads->len; i++) {
        const fl_peer_load *load = &g_array_index(loads, fl_peer_load, i);
        sum += now_us < load->updated_us + _FL_PEER_LOAD_MAX_AGE_US
                   ? load->in_flight
                   : 0;
    }
    return sum;
}

uint32_t
fl_query_in_flight(const fl_server *server, uint64_t now_us)
{
    return server->own_in_flight +
           _fl_peers_in_flight(server->peer_loads, now_us);
}

bool
fl_query_in_use(const fl_copy *copy, uint64_t now_us)
{
    return copy->own_in_flight ||
           now_us < MAX(copy->last_used_us, copy->since_us) +
                        _FL_PEER_REPORT_DELAY_US ||
           _fl_peers_in_flight(copy->peer_loads, now_us);
}

/* Returns the prompt tokens of all requests there that have no first event
   yet, by the peers' reports that are not too old. */
static uint64_t
_fl_prefill_tokens(const fl_server *server, uint64_t now_us)
{
    uint64_t sum = server->own_prefill_tokens;
    for (guint i = 0; i < server->peer_loads->len; i++) {
        const fl_peer_load *load =
            &g_array_index(server->peer_loads, fl_peer_load, i);
        sum += now_us < load->updated_us + _FL_PEER_LOAD_MAX_AGE_US
                   ? load->prefill_tokens
                   : 0;
    }
    return sum;
}

double
fl_query_prefill_ms(const fl_server *server, uint32_t tokens, uint64_t now_us)
{
    double prefill_ms =
        server->prefill_ms > 0 ? server->prefill_ms : _FL_DEFAULT_PREFILL_MS;
    return (double)(_fl_prefill_tokens(server, now_us) + tokens) / 1000.0 *
           prefill_ms * fl_query_slowness(server, now_us);
}

double
fl_query_demand(const fl_adapter *adapter, uint64_t now_us)
{
    double age_us = now_us > adapter->demand_us
                        ? (double)(now_us - adapter->demand_us)
                        : 0;
    return adapter->demand * exp2(-age_us / _FL_DEMAND_HALF_LIFE_US);
}

void
fl_add_demand(fl_adapter *adapter, double requests, uint64_t now_us)
{
    adapter->demand = fl_query_demand(adapter, now_us) + requests;
    adapter->demand_us = now_us;
}

void
fl_set_reported_load(fl_server *server, const dl_load *load, uint64_t now_us)
{
    server->reported_load = *load;
    server->reported_load_us = now_us;
}

void
fl_count_own_request(fl_fleet *fleet, fl_adapter *adapter, uint64_t now_us)
{
    fl_add_demand(adapter, 1, now_us);
    if (adapter->unreported_requests++ == 0) {
        g_ptr_array_add(fleet->unreported, adapter);
    }
}

double
fl_query_slowness(const fl_server *server, uint64_t now_us)
{
    if (server->reported_load.slowness_percent == 0 ||
        now_us < server->reported_load_us) {
        return 1.0;
    }
    double age_us = (double)(now_us - server->reported_load_us);
    return 1.0 + (server->reported_load.slowness_percent / 100.0 - 1.0) *
                     exp(-age_us / _FL_SLOWNESS_DECAY_US);
}

/* -- public: requests ----------------------------------------------------- */

void
fl_update_fetch_ms(fl_fleet *fleet, double load_ms)
{
    fleet->fetch_ms += _FL_EWMA_WEIGHT * (load_ms - fleet->fetch_ms);
}

uint64_t
fl_begin_prefill(fl_server *server, uint32_t tokens, uint64_t now_us)
{
    server->own_prefill_tokens += tokens;
    return _fl_prefill_tokens(server, now_us);
}

void
fl_update_prefill_ms(fl_server *server, uint32_t prefills,
                     double prefill_ms_sum)
{
    if (prefills == 0 || !(prefill_ms_sum > 0)) {
        return;
    }
    double part = server->prefill_ms > 0
                      ? 1.0 - pow(1.0 - _FL_EWMA_WEIGHT, prefills)
                      : 1.0;
    server->prefill_ms +=
        part * (prefill_ms_sum / prefills - server->prefill_ms);
}

void
fl_end_prefill(fl_server *server, uint32_t tokens, uint64_t ahead,
               double first_ms)
{
    g_assert(server->own_prefill_tokens >= tokens);
    server->own_prefill_tokens -= tokens;
    if (first_ms <= 0 || ahead < _FL_PREFILL_MIN_TOKENS) {
        return;
    }
    double prefill_ms = MAX(first_ms - _FL_FIRST_EVENT_OVERHEAD_MS, 1.0) *
                        1000.0 / (double)ahead;
    fl_update_prefill_ms(server, 1, prefill_ms);
    server->unreported_prefills++;
    server->unreported_prefill_ms += prefill_ms;
}

void
fl_begin_request(fl_server *server, fl_adapter *adapter, uint64_t now_us)
{
    server->own_in_flight++;
    nt_begin_request(&server->notice, now_us);
    pm_take(&server->permits, now_us);
    fl_copy *copy = adapter ? fl_query_copy(server, adapter) : NULL;
    if (copy) {
        copy->own_in_flight++;
        copy->last_used_us = now_us;
    }
}

/* Updates the failure rate. Starts a cooldown after the first failure to
   connect, or some consecutive other failures. */
static void
_fl_record_failure(fl_server *server, const fl_result *result)
{
    server->failure_rate +=
        _FL_FAILURE_EWMA_WEIGHT * (1.0 - server->failure_rate);
    server->consecutive_failures++;
    uint32_t needed =
        result->outcome == FL_UNREACHABLE ? 1 : _FL_COOLDOWN_AFTER_FAILURES;
    if (server->consecutive_failures >= needed) {
        uint32_t doublings = MIN(server->consecutive_failures - needed,
                                 _FL_MAX_COOLDOWN_DOUBLINGS);
        uint64_t cooldown_us = (uint64_t)_FL_COOLDOWN_US << doublings;
        server->cooldown_until_us =
            result->now_us + MIN(cooldown_us, _FL_MAX_COOLDOWN_US);
    }
}

void
fl_update_event_ms(fl_server *server, uint32_t streams, double event_ms_sum)
{
    if (streams == 0 || !(event_ms_sum > 0)) {
        return;
    }
    double mean_ms = event_ms_sum / streams;
    double part =
        server->event_ms > 0 ? 1.0 - pow(1.0 - _FL_EWMA_WEIGHT, streams) : 1.0;
    server->event_ms += part * (mean_ms - server->event_ms);
}

/* Lowers the failure rate, ends a cooldown and updates the times. */
static void
_fl_record_success(fl_server *server, const fl_result *result)
{
    server->failure_rate *= 1.0 - _FL_FAILURE_EWMA_WEIGHT;
    server->consecutive_failures = 0;
    server->cooldown_until_us = 0;
    if (result->held_ms > 0) {
        server->held_ms += (server->held_ms > 0 ? _FL_EWMA_WEIGHT : 1.0) *
                           (result->held_ms - server->held_ms);
    }
    if (result->latency_ms > 0) {
        server->latency_ms +=
            (server->latency_ms > 0 ? _FL_EWMA_WEIGHT : 1.0) *
            (result->latency_ms - server->latency_ms);
    }
    if (result->event_ms > 0) {
        fl_update_event_ms(server, 1, result->event_ms);
        server->unreported_streams++;
        server->unreported_event_ms += result->event_ms;
    }
}

void
fl_end_request(fl_server *server, fl_adapter *adapter, const fl_result *result)
{
    g_assert(server->own_in_flight > 0);
    server->own_in_flight--;
    fl_copy *copy = adapter ? fl_query_copy(server, adapter) : NULL;
    if (copy && copy->own_in_flight > 0) {
        copy->own_in_flight--;
    }
    /* FL_OUTCOME_DEFAULT: the send was cancelled, which tells nothing. */
    if (result->outcome != FL_OUTCOME_DEFAULT) {
        server->unreachable = result->outcome == FL_UNREACHABLE;
    }
    switch (result->outcome) {
    case FL_SUCCEEDED:
        _fl_record_success(server, result);
        break;
    case FL_UNREACHABLE:
        nt_end_unanswered(&server->notice);
        _fl_record_failure(server, result);
        break;
    case FL_FAILED:
        _fl_record_failure(server, result);
        break;
    default:
        break;
    }
}
