#include "fleet_private.h"

#include <math.h>
#include <string.h>

/* Demand moves within about 5 s. */
#define _FL_USE_HALF_LIFE_US 4000000.0
/* Word of another instance's requests is trusted this long: three of its
   periods. */
#define _FL_PEER_LOAD_US 1500000
/* Slowness that a server tells holds about as long as its neighbours' noise,
   some 600 ms. */
#define _FL_SLOWNESS_US 600000.0
/* Weight of one request in what is learned of a server. */
#define _FL_LEARN 0.1
#define _FL_FAIL_LEARN 0.12
/* Failures in a row before a server is left alone for a moment. */
#define _FL_SHUN_AFTER 2
#define _FL_SHUN_US 400000
#define _FL_SHUN_LONGEST_US 3000000
#define _FL_SHUN_DOUBLINGS 3
/* First events of shorter reads tell more of the way than of the reading. */
#define _FL_READ_TOKENS 300
/* Connection, batch step and way of a first event. */
#define _FL_FIRST_MS 15.0
/* 1000 prompt tokens where no read was seen yet. */
#define _FL_READ_MS 40.0
/* A request of another instance is told within this time. */
#define _FL_UNTOLD_US 250000

/* -- public: load --------------------------------------------------------- */

/* Only peers with requests under way stand in a list. */
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

static void
_fl_note_peer(GArray *loads, uint32_t peer, uint32_t in_flight,
              uint64_t now_us)
{
    fl_peer_load *load = _fl_find_peer(loads, peer);
    if (load && in_flight == 0) {
        g_array_remove_index_fast(
            loads, (guint)(load - (fl_peer_load *)(void *)loads->data));
    }
    else if (load) {
        load->in_flight = in_flight;
        load->at_us = now_us;
    }
    else if (in_flight) {
        fl_peer_load first = {
            .peer = peer, .in_flight = in_flight, .at_us = now_us};
        g_array_append_val(loads, first);
    }
}

void
fl_set_peer_load(fl_server *server, uint32_t peer, uint32_t in_flight,
                 uint64_t now_us)
{
    _fl_note_peer(server->peer_loads, peer, in_flight, now_us);
}

void
fl_set_peer_unread(fl_server *server, uint32_t peer, uint32_t tokens)
{
    fl_peer_load *load = _fl_find_peer(server->peer_loads, peer);
    if (load) {
        load->unread = tokens;
    }
}

void
fl_set_peer_use(fl_server *server, uint32_t peer, uint32_t adapter,
                uint32_t in_flight, uint64_t now_us)
{
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if ((uint32_t)copy->adapter->hash != adapter) {
            continue;
        }
        if (!copy->peer_loads) {
            copy->peer_loads = g_array_new(FALSE, TRUE, sizeof(fl_peer_load));
        }
        _fl_note_peer(copy->peer_loads, peer, in_flight, now_us);
        copy->used_us = now_us;
        return;
    }
}

void
fl_clear_peer_uses(fl_server *server, uint32_t peer)
{
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if (copy->peer_loads) {
            _fl_note_peer(copy->peer_loads, peer, 0, 0);
        }
    }
}

void
fl_set_room(fl_server *server, int32_t room, uint64_t now_us)
{
    server->room = room;
    server->room_us = now_us;
    server->asks = 0;
}

static uint32_t
_fl_peers_in_flight(const GArray *loads, uint64_t now_us)
{
    uint32_t sum = 0;
    for (guint i = 0; loads && i < loads->len; i++) {
        const fl_peer_load *load = &g_array_index(loads, fl_peer_load, i);
        sum += now_us < load->at_us + _FL_PEER_LOAD_US ? load->in_flight : 0;
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
           now_us < MAX(copy->used_us, copy->since_us) + _FL_UNTOLD_US ||
           _fl_peers_in_flight(copy->peer_loads, now_us);
}

static uint32_t
_fl_unread(const fl_server *server, uint64_t now_us)
{
    uint32_t sum = server->own_unread;
    for (guint i = 0; i < server->peer_loads->len; i++) {
        const fl_peer_load *load =
            &g_array_index(server->peer_loads, fl_peer_load, i);
        sum += now_us < load->at_us + _FL_PEER_LOAD_US ? load->unread : 0;
    }
    return sum;
}

double
fl_query_read_ms(const fl_server *server, uint32_t tokens, uint64_t now_us)
{
    double read_ms = server->read_ms > 0 ? server->read_ms : _FL_READ_MS;
    return (_fl_unread(server, now_us) + tokens) / 1000.0 * read_ms *
           fl_query_slowness(server, now_us);
}

double
fl_query_use(const fl_adapter *adapter, uint64_t now_us)
{
    double age_us =
        now_us > adapter->use_us ? (double)(now_us - adapter->use_us) : 0;
    return adapter->use * exp2(-age_us / _FL_USE_HALF_LIFE_US);
}

void
fl_add_use(fl_adapter *adapter, double uses, uint64_t now_us)
{
    adapter->use = fl_query_use(adapter, now_us) + uses;
    adapter->use_us = now_us;
}

void
fl_told_load(fl_server *server, const dl_load *load, uint64_t now_us)
{
    server->load = *load;
    server->load_us = now_us;
}

void
fl_use(fl_fleet *fleet, fl_adapter *adapter, uint64_t now_us)
{
    fl_add_use(adapter, 1, now_us);
    if (adapter->uses_to_tell++ == 0) {
        g_ptr_array_add(fleet->used, adapter);
    }
}

double
fl_query_slowness(const fl_server *server, uint64_t now_us)
{
    if (server->load.slowness_percent == 0 || now_us < server->load_us) {
        return 1.0;
    }
    double age_us = (double)(now_us - server->load_us);
    return 1.0 + (server->load.slowness_percent / 100.0 - 1.0) *
                     exp(-age_us / _FL_SLOWNESS_US);
}

/* -- public: requests ----------------------------------------------------- */

void
fl_learn_fetch(fl_fleet *fleet, double load_ms)
{
    fleet->fetch_ms += _FL_LEARN * (load_ms - fleet->fetch_ms);
}

uint32_t
fl_begin_read(fl_server *server, uint32_t tokens, uint64_t now_us)
{
    server->own_unread += tokens;
    return _fl_unread(server, now_us);
}

void
fl_learn_reads(fl_server *server, uint32_t reads, double read_ms_sum)
{
    if (reads == 0 || !(read_ms_sum > 0)) {
        return;
    }
    double part =
        server->read_ms > 0 ? 1.0 - pow(1.0 - _FL_LEARN, reads) : 1.0;
    server->read_ms += part * (read_ms_sum / reads - server->read_ms);
}

void
fl_end_read(fl_server *server, uint32_t tokens, uint32_t ahead,
            double first_ms)
{
    g_assert(server->own_unread >= tokens);
    server->own_unread -= tokens;
    if (first_ms <= 0 || ahead < _FL_READ_TOKENS) {
        return;
    }
    double read_ms = MAX(first_ms - _FL_FIRST_MS, 1.0) * 1000.0 / ahead;
    fl_learn_reads(server, 1, read_ms);
    server->reads_to_tell++;
    server->read_ms_to_tell += read_ms;
}

void
fl_begin(fl_server *server, fl_adapter *adapter, uint64_t now_us)
{
    server->own_in_flight++;
    nt_begin_request(&server->notice, now_us);
    fl_copy *copy = adapter ? fl_query_copy(server, adapter) : NULL;
    if (copy) {
        copy->own_in_flight++;
        copy->used_us = now_us;
    }
}

static void
_fl_learn_failure(fl_server *server, const fl_result *result)
{
    server->failing += _FL_FAIL_LEARN * (1.0 - server->failing);
    server->failed_in_row++;
    uint32_t needed = result->outcome == FL_UNREACHABLE ? 1 : _FL_SHUN_AFTER;
    if (server->failed_in_row >= needed) {
        uint32_t doublings =
            MIN(server->failed_in_row - needed, _FL_SHUN_DOUBLINGS);
        uint64_t span_us = (uint64_t)_FL_SHUN_US << doublings;
        server->shunned_until_us =
            result->now_us + MIN(span_us, _FL_SHUN_LONGEST_US);
    }
}

void
fl_learn_streams(fl_server *server, uint32_t streams, double event_ms_sum)
{
    if (streams == 0 || !(event_ms_sum > 0)) {
        return;
    }
    double mean_ms = event_ms_sum / streams;
    double part =
        server->event_ms > 0 ? 1.0 - pow(1.0 - _FL_LEARN, streams) : 1.0;
    server->event_ms += part * (mean_ms - server->event_ms);
}

static void
_fl_learn_good(fl_server *server, const fl_result *result)
{
    server->failing *= 1.0 - _FL_FAIL_LEARN;
    server->failed_in_row = 0;
    server->shunned_until_us = 0;
    if (result->latency_ms > 0) {
        server->latency_ms += (server->latency_ms > 0 ? _FL_LEARN : 1.0) *
                              (result->latency_ms - server->latency_ms);
    }
    if (result->event_ms > 0) {
        fl_learn_streams(server, 1, result->event_ms);
        server->streams_to_tell++;
        server->event_ms_to_tell += result->event_ms;
    }
}

void
fl_end(fl_server *server, fl_adapter *adapter, const fl_result *result)
{
    g_assert(server->own_in_flight > 0);
    server->own_in_flight--;
    fl_copy *copy = adapter ? fl_query_copy(server, adapter) : NULL;
    if (copy && copy->own_in_flight > 0) {
        copy->own_in_flight--;
    }
    switch (result->outcome) {
    case FL_GOOD:
        _fl_learn_good(server, result);
        break;
    case FL_UNREACHABLE:
        nt_end_unanswered(&server->notice);
        _fl_learn_failure(server, result);
        break;
    case FL_BAD_ANSWER:
        _fl_learn_failure(server, result);
        break;
    default:
        break;
    }
}
