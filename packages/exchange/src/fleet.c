#include "fleet_private.h"

#include "lacewing/hash.h"
#include "lacewing/histogram.h"
#include <string.h>

/* Defaults of fl_desc. */
#define _FL_ROLLOUT_MS 5000
#define _FL_DRAIN_MS 2000
#define _FL_MAX_PAUSE_S 30.0
/* Most kept notices of servers that are not listed yet. */
#define _FL_MAX_EARLY_NOTICES 256
/* Copies of an older version serve for this share of the rollout time. The
   rest is for requests that are queued at the server, and for the time until
   all instances know of the version. */
#define _FL_OLD_VERSION_SHARE 0.5

/* Sends that would begin with an older version are ended this long before the
   rollout time is over: a send that is ended may still begin this much later,
   due to network delay, a timer tick and a busy process. */
#define _FL_SEND_END_MARGIN_US 400000
/* Added to drop_count when a server's process restarts, as its cache is empty
   then: it puts all recorded drops beyond the range of cached adapters. */
#define _FL_CACHE_RESET_DROPS 1000000
/* A server caches the weights of about six times as many adapters as it has
   places, the resident ones included, in all deployments so far. So a dropped
   one is cached until five times its places were dropped after it. */
#define _FL_CACHE_FACTOR 5

/* A leaving notice of a process that is not listed yet. */
typedef struct _fl_early_notice {
    uint64_t born_ms;
    uint64_t received_us;
} _fl_early_notice;

/* -- private: create and free --------------------------------------------- */

static void
_fl_free_copy(fl_copy *copy)
{
    g_ptr_array_remove_fast(copy->adapter->copies, copy);
    g_clear_pointer(&copy->peer_loads, g_array_unref);
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
    g_free(server->software);
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

/* Returns the list of a service's servers; creates it if there is none. */
static GPtrArray *
_fl_service_servers(fl_fleet *fleet, const char *name)
{
    GPtrArray *list = g_hash_table_lookup(fleet->services, name);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(fleet->services, g_strdup(name), list);
    }
    return list;
}

/* Copies the notice of the retired record with the same id if both are of the
   same process, as when an entry lapsed and came back. */
static void
_fl_inherit_notice(const fl_fleet *fleet, fl_server *server)
{
    for (guint i = fleet->retired->len; i > 0; i--) {
        const fl_server *old = fleet->retired->pdata[i - 1];
        if (strcmp(old->id, server->id) == 0) {
            if (old->born_ms == server->born_ms) {
                server->notice = old->notice;
                server->limit = old->limit;
                server->permits = old->permits;
            }
            return;
        }
    }
}

/* Applies a leaving notice that came before the server's entry. */
static void
_fl_take_early_notice(fl_fleet *fleet, fl_server *server)
{
    const _fl_early_notice *early =
        g_hash_table_lookup(fleet->early_notices, server->id);
    if (early && early->born_ms == server->born_ms) {
        nt_apply_peer_report(&server->notice, early->received_us);
    }
    if (early && early->born_ms <= server->born_ms) {
        g_hash_table_remove(fleet->early_notices, server->id);
    }
}

/* Returns the mean time of an answer at the servers of a service; 0: not
 * known.
 */
static double
_fl_mean_latency_ms(const GPtrArray *servers)
{
    double sum_ms = 0;
    uint32_t count = 0;
    for (guint i = 0; i < servers->len; i++) {
        const fl_server *server = servers->pdata[i];
        sum_ms += server->latency_ms;
        count += server->latency_ms > 0;
    }
    return count ? sum_ms / count : 0;
}

static void
_fl_set_software(fl_server *server, const char *software)
{
    software = software ? software : "";
    if (g_strcmp0(server->software, software) != 0) {
        g_free(server->software);
        server->software = g_strdup(software);
        server->software_hash = fl_hash_software(server->service, software);
    }
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
    server->born_ms = entry->born_ms;
    _fl_set_software(server, entry->software);
    _fl_inherit_notice(fleet, server);
    g_hash_table_insert(fleet->servers, server->id, server);
    GPtrArray *servers = _fl_service_servers(fleet, server->service);
    /* With a default that is far above the others' times, a new server would
       stand idle until they are overrun. */
    server->latency_ms = _fl_mean_latency_ms(servers);
    g_ptr_array_add(servers, server);
    return server;
}

static void
_fl_retire(fl_fleet *fleet, fl_server *server)
{
    server->state = FL_GONE;
    server->orders_possible = false;
    _fl_drop_copies(server);
    g_ptr_array_remove(_fl_service_servers(fleet, server->service), server);
    g_hash_table_remove(fleet->servers, server->id);
    g_ptr_array_add(fleet->retired, server);
}

/* -- public: servers and adapters ----------------------------------------- */

uint64_t
fl_hash_software(const char *service, const char *software)
{
    g_autofree char *text = g_strdup_printf("%s\n%s", service, software);
    return MAX(hs_u64(text), 1);
}

fl_fleet *
fl_create(const fl_desc *desc)
{
    fl_fleet *fleet = g_new0(fl_fleet, 1);
    fleet->servers = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
    fleet->adapters = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->retired = g_ptr_array_new_with_free_func(_fl_free_server);
    fleet->unreported = g_ptr_array_new();
    fleet->spread = g_array_new(FALSE, FALSE, sizeof(sd_candidate));
    fleet->spread_servers = g_ptr_array_new();
    uint32_t rollout_ms = desc->rollout_ms ? desc->rollout_ms : _FL_ROLLOUT_MS;
    fleet->rollout_us = rollout_ms * 1000ULL;
    fleet->old_version_grace_us =
        (uint64_t)(rollout_ms * 1000.0 * _FL_OLD_VERSION_SHARE);
    fleet->early_notices =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->fetch_ms = FL_DEFAULT_FETCH_MS;
    fleet->random = g_rand_new_with_seed(desc->seed ? desc->seed : 1);
    double max_pause_s =
        desc->max_pause_s > 0 ? desc->max_pause_s : _FL_MAX_PAUSE_S;
    fleet->rules = (nt_rules){
        .drain_us = (desc->drain_ms ? desc->drain_ms : _FL_DRAIN_MS) * 1000ULL,
        .max_pause_us = (uint64_t)(max_pause_s * G_USEC_PER_SEC),
        .random = fleet->random,
    };
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
    g_ptr_array_unref(fleet->unreported);
    g_array_unref(fleet->spread);
    g_ptr_array_unref(fleet->spread_servers);
    g_hash_table_unref(fleet->early_notices);
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
_fl_same_endpoint(const fl_server *server, const dl_server *entry)
{
    return strcmp(server->address, entry->address) == 0 &&
           strcmp(server->service, entry->service) == 0;
}

/* Resets what belongs to the process, as another one has the server's id. */
static void
_fl_reset_process_state(fl_server *server)
{
    _fl_drop_copies(server);
    server->consecutive_failures = 0;
    server->failure_rate = 0;
    server->cooldown_until_us = 0;
    server->unreachable = false;
    server->reported_load = (dl_load){0};
    server->limit = (sl_limit){0};
    server->permits = (pm_permits){0};
    server->drop_count += _FL_CACHE_RESET_DROPS;
    server->load_capacity_us = 0;
}

bool
fl_put_server(fl_fleet *fleet, const dl_server *entry, fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, entry->id);
    if (server && !_fl_same_endpoint(server, entry)) {
        _fl_retire(fleet, server);
        server = NULL;
    }
    bool new_process = !server || server->born_ms != entry->born_ms;
    if (server && server->born_ms > entry->born_ms) {
        *out = server; /* the entry is of a process that has ended */
        return false;
    }
    if (!server) {
        server = _fl_add_server(fleet, entry);
    }
    else if (new_process) {
        nt_reset(&server->notice);
    }
    if (new_process) {
        _fl_reset_process_state(server);
    }
    server->born_ms = entry->born_ms;
    _fl_set_software(server, entry->software);
    server->slots = MAX(entry->slots, 1);
    _fl_take_early_notice(fleet, server);
    nt_apply_list_entry(&server->notice, entry->state == DL_SERVER_READY,
                        entry->version);
    server->state = nt_query_leaving(&server->notice) ? FL_LEAVING : FL_READY;
    *out = server;
    return new_process;
}

/* -- public: notices of servers ------------------------------------------- */

static void
_fl_keep_early_notice(fl_fleet *fleet, const fl_server_notice *report)
{
    if (g_hash_table_size(fleet->early_notices) >= _FL_MAX_EARLY_NOTICES) {
        g_hash_table_remove_all(fleet->early_notices);
    }
    _fl_early_notice *early = g_new(_fl_early_notice, 1);
    *early = (_fl_early_notice){report->born_ms, report->now_us};
    g_hash_table_insert(fleet->early_notices, g_strdup(report->id), early);
}

uint32_t
fl_apply_notice(fl_fleet *fleet, const fl_server_notice *report,
                fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, report->id);
    bool leaving = report->source == NT_PEER || report->notice.leaving;
    *out = NULL;
    if (!server || report->born_ms > server->born_ms) {
        if (leaving) {
            _fl_keep_early_notice(fleet, report);
        }
        return 0;
    }
    if (report->born_ms < server->born_ms) {
        return 0; /* the notice is of a process that has ended */
    }
    *out = server;
    uint32_t changes =
        report->source == NT_PEER
            ? nt_apply_peer_report(&server->notice, report->now_us)
            : nt_apply_answer(&server->notice, &fleet->rules, &report->notice,
                              report->now_us);
    if (nt_query_leaving(&server->notice)) {
        server->state = FL_LEAVING;
    }
    return changes;
}

uint32_t
fl_apply_limit(fl_fleet *fleet, const fl_server_notice *report,
               fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, report->id);
    const dl_notice *notice = &report->notice;
    *out = server && server->born_ms == report->born_ms ? server : NULL;
    if (!*out || notice->limit_unreadable) {
        return 0;
    }
    return notice->limited
               ? sl_apply_named(&server->limit, notice->limit_per_s,
                                report->now_us)
               : sl_apply_absent(&server->limit, report->sent_us);
}

uint32_t
fl_apply_peer_limit(fl_fleet *fleet, const fl_peer_limit *report,
                    fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, report->id);
    *out = server && server->born_ms == report->born_ms ? server : NULL;
    if (!*out) {
        return 0;
    }
    return report->limited
               ? sl_apply_named(&server->limit, report->per_s, report->at_us)
               : sl_apply_absent(&server->limit, report->at_us);
}

void
fl_note_store_version(fl_fleet *fleet, uint64_t version, uint64_t asked_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nt_note_store_version(&((fl_server *)value)->notice, version,
                              asked_us);
    }
}

/* Servers whose announcement was overridden before count as leaving too, as
   the entries that contradict the others may come later. */
static bool
_fl_all_announced_leaving(const GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state != FL_LEAVING && !server->notice.leaving_ignored) {
            return false;
        }
    }
    return true;
}

void
fl_override_contradicted_leaving(fl_fleet *fleet, uint64_t list_us,
                                 fl_override_callback call, void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *list = value;
        bool all = _fl_all_announced_leaving(list);
        for (guint i = 0; all && i < list->len; i++) {
            fl_server *server = list->pdata[i];
            nt_notice before = server->notice;
            if (nt_query_contradicted(&before, &fleet->rules, list_us)) {
                nt_ignore_leaving(&server->notice);
                server->state = FL_READY;
                call(server, &before, user_data);
            }
        }
    }
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

/* Notes that the adapter has a version that was published at since_us or
   later. */
static void
_fl_add_version(fl_adapter *adapter, uint64_t version, uint64_t since_us)
{
    if (version <= adapter->version) {
        return;
    }
    adapter->version = version;
    fl_declared *declared = adapter->declared;
    if (adapter->declared_count == FL_MAX_DECLARED) {
        /* The earlier time holds for both, so that neither lasts too long. */
        declared[1].since_us = declared[0].since_us;
        memmove(declared, declared + 1,
                (FL_MAX_DECLARED - 1) * sizeof(*declared));
        adapter->declared_count--;
    }
    declared[adapter->declared_count++] =
        (fl_declared){.version = version, .since_us = since_us};
}

/* A server has a version of an adapter: it was published, also if the row now
   names an older one, as a late write of that one does. Such a row is known
   from the start of this instance (time 0), and the version may be as old. */
static void
_fl_note_listed_version(fl_adapter *adapter, uint64_t version, uint64_t now_us)
{
    if (adapter->version) {
        const fl_declared *last =
            &adapter->declared[adapter->declared_count - 1];
        _fl_add_version(adapter, version, last->since_us ? now_us : 0);
    }
}

void
fl_declare_version(fl_fleet *fleet, const char *model, const char *name,
                   uint64_t version, uint64_t since_us)
{
    g_autofree char *key =
        name ? g_strdup_printf("%s/%s", model, name) : g_strdup(model);
    fl_adapter *adapter = fl_intern(fleet, key);
    _fl_add_version(adapter, version, since_us);
    for (guint i = 0; i < adapter->copies->len; i++) {
        const fl_copy *copy = adapter->copies->pdata[i];
        _fl_add_version(adapter, copy->version, since_us);
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
fl_query_up_to_date(const fl_copy *copy)
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
        server->max_copies_seen =
            MAX(server->max_copies_seen, server->copies->len);
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
fl_put_copy_by_name(fl_fleet *fleet, fl_server *server, const char *model,
                    const char *name, uint64_t version, bool loading,
                    uint64_t now_us)
{
    g_autofree char *key =
        name ? g_strdup_printf("%s/%s", model, name) : g_strdup(model);
    fl_adapter *adapter = fl_intern(fleet, key);
    const fl_copy *copy = fl_query_copy(server, adapter);
    if (name && copy && copy->loading && !loading &&
        !fl_query_locally_cached(server, adapter)) {
        fl_update_fetch_ms(fleet, (double)(now_us - copy->since_us) / 1000.0);
    }
    _fl_note_listed_version(adapter, version, now_us);
    fl_put_copy(server, adapter, version, loading, now_us);
    return adapter;
}

/* Records that the server dropped the adapter: replaces the record of an
   earlier drop there, else the record that was added first. */
static void
_fl_record_drop(fl_server *server, fl_adapter *adapter)
{
    server->drop_count++;
    fl_drop dropped = {server, server->drop_count};
    for (uint32_t i = 0; i < FL_MAX_RECENT_DROPS; i++) {
        if (adapter->recent_drops[i].server == server) {
            adapter->recent_drops[i] = dropped;
            return;
        }
    }
    adapter->recent_drops[adapter->next_drop] = dropped;
    adapter->next_drop = (adapter->next_drop + 1) % FL_MAX_RECENT_DROPS;
}

bool
fl_query_locally_cached(const fl_server *server, const fl_adapter *adapter)
{
    uint64_t kept = (uint64_t)server->max_copies_seen * _FL_CACHE_FACTOR;
    for (uint32_t i = 0; i < FL_MAX_RECENT_DROPS; i++) {
        const fl_drop *dropped = &adapter->recent_drops[i];
        if (dropped->server == server) {
            return server->drop_count < dropped->drop_number + kept;
        }
    }
    return false;
}

void
fl_drop_copy(fl_server *server, fl_adapter *adapter)
{
    fl_copy *copy = fl_query_copy(server, adapter);
    if (copy) {
        if (!copy->loading && adapter->name) {
            _fl_record_drop(server, adapter);
        }
        g_ptr_array_remove_fast(server->copies, copy);
        _fl_free_copy(copy);
    }
}

void
fl_drop_copies_except(fl_server *server, GHashTable *adapters)
{
    for (guint i = server->copies->len; i > 0; i--) {
        const fl_copy *copy = server->copies->pdata[i - 1];
        if (!g_hash_table_contains(adapters, copy->adapter)) {
            fl_drop_copy(server, copy->adapter);
        }
    }
}

/* -- public: queries ------------------------------------------------------ */

bool
fl_query_replaced(const fl_fleet *fleet, const fl_server *server,
                  uint64_t born_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const fl_server *listed = value;
        if (listed->born_ms > born_ms &&
            (strcmp(listed->id, server->id) == 0 ||
             strcmp(listed->address, server->address) == 0)) {
            return true;
        }
    }
    return false;
}

bool
fl_query_removed(const fl_fleet *fleet, const char *id, uint64_t born_ms)
{
    if (g_hash_table_contains(fleet->servers, id)) {
        return false;
    }
    for (guint i = fleet->retired->len; i > 0; i--) {
        const fl_server *old = fleet->retired->pdata[i - 1];
        if (strcmp(old->id, id) == 0) {
            return born_ms <= old->born_ms;
        }
    }
    return false;
}

fl_server *
fl_query_server(const fl_fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->servers, id);
}

uint64_t
fl_query_replaced_us(const fl_adapter *adapter, uint64_t version)
{
    for (uint32_t i = 0; i < adapter->declared_count; i++) {
        if (adapter->declared[i].version > version) {
            return adapter->declared[i].since_us;
        }
    }
    return FL_NOT_REPLACED;
}

uint64_t
fl_query_old_version_end_us(const fl_fleet *fleet, const fl_adapter *adapter,
                            uint64_t version)
{
    uint64_t left_us =
        fleet->rollout_us - MIN(_FL_SEND_END_MARGIN_US, fleet->rollout_us / 2);
    return fl_query_replaced_us(adapter, version) + left_us;
}

bool
fl_query_open(const fl_server *server, uint64_t now_us)
{
    return nt_query_available(&server->notice, now_us) &&
           (!server->limit.limited || pm_query_any(&server->permits, now_us));
}

bool
fl_query_all_limited(const fl_fleet *fleet, const char *service)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    for (guint i = 0; list && i < list->len; i++) {
        const fl_server *server = list->pdata[i];
        if (server->state == FL_READY && !server->limit.limited) {
            return false;
        }
    }
    return true;
}

bool
fl_query_load_worth_waiting(const fl_fleet *fleet, const fl_copy *copy,
                            uint64_t now_us)
{
    return copy->loading && copy->server->state == FL_READY &&
           (!copy->server->limit.limited ||
            fl_query_all_limited(fleet, copy->server->service)) &&
           nt_query_available_us(&copy->server->notice, now_us) <=
               now_us + fl_query_load_cost_us(fleet);
}

uint32_t
fl_query_ready_count(const fl_fleet *fleet, const char *service)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->services, service);
    uint32_t count = 0;
    for (guint i = 0; list && i < list->len; i++) {
        count += ((fl_server *)list->pdata[i])->state == FL_READY;
    }
    return count;
}

void
fl_each_server(const fl_fleet *fleet, fl_server_callback call, void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        call(value, user_data);
    }
}

void
fl_each_unreported(fl_fleet *fleet, fl_adapter_callback call, void *user_data)
{
    for (guint i = 0; i < fleet->unreported->len; i++) {
        call(fleet->unreported->pdata[i], user_data);
    }
    g_ptr_array_set_size(fleet->unreported, 0);
}
