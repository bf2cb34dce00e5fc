#include "fleet_private.h"

#include "lacewing/hash.h"
#include "lacewing/histogram.h"
#include <math.h>
#include <string.h>

#define _FL_VERSION_MS 5000
/* Copies of an older version serve this share of the time that a new version
   has: the rest is for requests that wait at the server, and for the news. */
#define _FL_OLD_VERSION_SHARE 0.5
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

/* -- private: making and freeing ------------------------------------------ */

static void
_fl_free_copy(fl_copy *copy)
{
    g_ptr_array_remove_fast(copy->adapter->copies, copy);
    g_free(copy);
}

static void
_fl_drop_copies(fl_server *server)
{
    for (guint i = 0; i < server->copies->len; i++) {
        _fl_free_copy(server->copies->pdata[i]);
    }
    g_ptr_array_set_size(server->copies, 0);
}

static void
_fl_free_server(void *data)
{
    fl_server *server = data;
    _fl_drop_copies(server);
    g_ptr_array_unref(server->copies);
    g_array_unref(server->peer_loads);
    g_free(server->id);
    g_free(server->address);
    g_free(server->service);
    g_free(server->zone);
    g_free(server);
}

static void
_fl_free_adapter(void *data)
{
    fl_adapter *adapter = data;
    g_ptr_array_unref(adapter->copies);
    g_free(adapter->key);
    g_free(adapter->model);
    g_free(adapter->name);
    g_free(adapter);
}

static GPtrArray *
_fl_service(fl_fleet *fleet, const char *name)
{
    GPtrArray *list = g_hash_table_lookup(fleet->services, name);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(fleet->services, g_strdup(name), list);
    }
    return list;
}

static fl_server *
_fl_add_server(fl_fleet *fleet, const dl_server *entry)
{
    fl_server *server = g_new0(fl_server, 1);
    server->id = g_strdup(entry->id);
    server->address = g_strdup(entry->address);
    server->service = g_strdup(entry->service);
    server->zone = g_strdup(entry->zone);
    server->copies = g_ptr_array_new();
    server->peer_loads = g_array_new(FALSE, TRUE, sizeof(fl_peer_load));
    server->hash = hs_u64(server->id);
    g_hash_table_insert(fleet->servers, server->id, server);
    g_ptr_array_add(_fl_service(fleet, server->service), server);
    return server;
}

static void
_fl_retire(fl_fleet *fleet, fl_server *server)
{
    server->state = FL_GONE;
    server->orders_possible = false;
    _fl_drop_copies(server);
    g_ptr_array_remove(_fl_service(fleet, server->service), server);
    g_hash_table_remove(fleet->servers, server->id);
    g_ptr_array_add(fleet->retired, server);
}

/* -- public: servers and adapters ----------------------------------------- */

fl_fleet *
fl_create(const fl_desc *desc)
{
    fl_fleet *fleet = g_new0(fl_fleet, 1);
    fleet->servers = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
    fleet->adapters = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->retired = g_ptr_array_new_with_free_func(_fl_free_server);
    fleet->used = g_ptr_array_new();
    uint32_t version_ms = desc->version_ms ? desc->version_ms : _FL_VERSION_MS;
    fleet->old_version_us =
        (uint64_t)(version_ms * 1000.0 * _FL_OLD_VERSION_SHARE);
    fleet->random = g_rand_new_with_seed(desc->seed ? desc->seed : 1);
    return fleet;
}

void
fl_destroy(fl_fleet *fleet)
{
    if (!fleet) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _fl_free_server(value);
    }
    g_ptr_array_unref(fleet->retired);
    g_ptr_array_unref(fleet->used);
    g_hash_table_iter_init(&iter, fleet->adapters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _fl_free_adapter(value);
    }
    g_hash_table_unref(fleet->servers);
    g_hash_table_unref(fleet->services);
    g_hash_table_unref(fleet->adapters);
    g_rand_free(fleet->random);
    g_free(fleet);
}

static bool
_fl_same_place(const fl_server *server, const dl_server *entry)
{
    return strcmp(server->address, entry->address) == 0 &&
           strcmp(server->service, entry->service) == 0;
}

bool
fl_put_server(fl_fleet *fleet, const dl_server *entry, fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, entry->id);
    if (server && !_fl_same_place(server, entry)) {
        _fl_retire(fleet, server);
        server = NULL;
    }
    bool anew = !server || server->born_ms != entry->born_ms;
    if (server && server->born_ms > entry->born_ms) {
        *out = server; /* an entry of a process that has ended since */
        return false;
    }
    if (!server) {
        server = _fl_add_server(fleet, entry);
    }
    if (anew) {
        _fl_drop_copies(server);
        server->failed_in_row = 0;
        server->failing = 0;
        server->shunned_until_us = 0;
        server->load = (dl_load){0};
    }
    server->born_ms = entry->born_ms;
    server->slots = MAX(entry->slots, 1);
    server->state = entry->state == DL_SERVER_READY ? FL_READY : FL_LEAVING;
    *out = server;
    return anew;
}

void
fl_remove_server(fl_fleet *fleet, const char *id)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, id);
    if (server) {
        _fl_retire(fleet, server);
    }
}

fl_adapter *
fl_intern(fl_fleet *fleet, const char *key)
{
    fl_adapter *adapter = g_hash_table_lookup(fleet->adapters, key);
    if (adapter) {
        return adapter;
    }
    adapter = g_new0(fl_adapter, 1);
    const char *slash = strchr(key, '/');
    adapter->key = g_strdup(key);
    adapter->model =
        slash ? g_strndup(key, (gsize)(slash - key)) : g_strdup(key);
    adapter->name = slash ? g_strdup(slash + 1) : NULL;
    adapter->copies = g_ptr_array_new();
    adapter->hash = hs_u64(key);
    g_queue_init(&adapter->waiting);
    g_hash_table_insert(fleet->adapters, adapter->key, adapter);
    return adapter;
}

void
fl_declare_version(fl_fleet *fleet, const char *model, const char *name,
                   uint64_t version, uint64_t now_us)
{
    g_autofree char *key =
        name ? g_strdup_printf("%s/%s", model, name) : g_strdup(model);
    fl_adapter *adapter = fl_intern(fleet, key);
    if (version > adapter->version) {
        adapter->version = version;
        adapter->version_us = now_us;
    }
}

/* -- public: copies ------------------------------------------------------- */

fl_copy *
fl_query_copy(const fl_server *server, const fl_adapter *adapter)
{
    for (guint i = 0; i < server->copies->len; i++) {
        fl_copy *copy = server->copies->pdata[i];
        if (copy->adapter == adapter) {
            return copy;
        }
    }
    return NULL;
}

bool
fl_query_current(const fl_copy *copy)
{
    return copy->adapter->version == 0 ||
           copy->version >= copy->adapter->version;
}

fl_copy *
fl_put_copy(fl_server *server, fl_adapter *adapter, uint64_t version,
            bool loading, uint64_t now_us)
{
    fl_copy *copy = fl_query_copy(server, adapter);
    if (!copy) {
        copy = g_new0(fl_copy, 1);
        copy->adapter = adapter;
        copy->server = server;
        copy->since_us = now_us;
        g_ptr_array_add(server->copies, copy);
        g_ptr_array_add(adapter->copies, copy);
    }
    if (copy->loading && !loading && server->orders) {
        hg_observe(HG_LOAD, adapter->name ? HG_ADAPTER : HG_MODEL,
                   now_us - copy->since_us);
    }
    if (copy->loading != loading) {
        copy->since_us = now_us;
    }
    copy->version = version;
    copy->loading = loading;
    return copy;
}

fl_adapter *
fl_put_named(fl_fleet *fleet, fl_server *server, const char *model,
             const char *name, uint64_t version, bool loading, uint64_t now_us)
{
    g_autofree char *key =
        name ? g_strdup_printf("%s/%s", model, name) : g_strdup(model);
    fl_adapter *adapter = fl_intern(fleet, key);
    fl_put_copy(server, adapter, version, loading, now_us);
    return adapter;
}

void
fl_drop_copy(fl_server *server, fl_adapter *adapter)
{
    fl_copy *copy = fl_query_copy(server, adapter);
    if (copy) {
        g_ptr_array_remove_fast(server->copies, copy);
        _fl_free_copy(copy);
    }
}

void
fl_keep_copies(fl_server *server, GHashTable *adapters)
{
    for (guint i = server->copies->len; i > 0; i--) {
        const fl_copy *copy = server->copies->pdata[i - 1];
        if (!g_hash_table_contains(adapters, copy->adapter)) {
            fl_drop_copy(server, copy->adapter);
        }
    }
}

/* -- public: load --------------------------------------------------------- */

void
fl_set_peer_load(fl_server *server, uint32_t peer, uint32_t in_flight,
                 uint64_t now_us)
{
    for (guint i = 0; i < server->peer_loads->len; i++) {
        fl_peer_load *load =
            &g_array_index(server->peer_loads, fl_peer_load, i);
        if (load->peer == peer) {
            load->in_flight = in_flight;
            load->at_us = now_us;
            return;
        }
    }
    fl_peer_load load = {peer, in_flight, now_us};
    g_array_append_val(server->peer_loads, load);
}

uint32_t
fl_query_in_flight(const fl_server *server, uint64_t now_us)
{
    uint32_t sum = server->own_in_flight;
    for (guint i = 0; i < server->peer_loads->len; i++) {
        const fl_peer_load *load =
            &g_array_index(server->peer_loads, fl_peer_load, i);
        if (now_us < load->at_us + _FL_PEER_LOAD_US) {
            sum += load->in_flight;
        }
    }
    return sum;
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
fl_begin(fl_server *server, fl_adapter *adapter, uint64_t now_us)
{
    (void)now_us;
    server->own_in_flight++;
    fl_copy *copy = adapter ? fl_query_copy(server, adapter) : NULL;
    if (copy) {
        copy->own_in_flight++;
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
    case FL_BAD_ANSWER:
    case FL_UNREACHABLE:
        _fl_learn_failure(server, result);
        break;
    default:
        break;
    }
}

/* -- public: queries ------------------------------------------------------ */

fl_server *
fl_query_server(const fl_fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->servers, id);
}

uint32_t
fl_query_usable(const fl_fleet *fleet, const char *service)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    uint32_t count = 0;
    for (guint i = 0; list && i < list->len; i++) {
        count += ((fl_server *)list->pdata[i])->state == FL_READY;
    }
    return count;
}

void
fl_each_server(const fl_fleet *fleet, fl_server_call call, void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        call(value, user_data);
    }
}

void
fl_each_used(fl_fleet *fleet, fl_adapter_call call, void *user_data)
{
    for (guint i = 0; i < fleet->used->len; i++) {
        call(fleet->used->pdata[i], user_data);
    }
    g_ptr_array_set_size(fleet->used, 0);
}
