#include "fleet_private.h"

#include "lacewing/hash.h"
#include "lacewing/histogram.h"
#include <string.h>

#define _FL_VERSION_MS 5000
#define _FL_DRAIN_MS 2000
#define _FL_PAUSE_MOST_S 30.0
/* Words of servers that are not in the list yet. */
#define _FL_WORDS 256
/* Copies of an older version serve this share of the time that a new version
   has: the rest is for requests that wait at the server, and for the news. */
#define _FL_OLD_VERSION_SHARE 0.5

/* A send that is ended has not begun this much later: ways, a tick, a busy
   process. */
#define _FL_VERSION_MARGIN_US 400000
/* A server that starts anew has nothing at hand: no number of drops that is
   remembered is this close. */
#define _FL_FORGOTTEN 1000000
/* A server keeps about six times its places at hand, those in use included
   (the sheets of all deployments so far). */
#define _FL_AT_HAND_TIMES 5

/* A process that is not in the list yet said that it leaves. */
typedef struct _fl_word {
    uint64_t born_ms;
    uint64_t at_us;
} _fl_word;

/* -- private: making and freeing ------------------------------------------ */

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

/* An entry that lapsed and is back is of the same process. */
static void
_fl_inherit(const fl_fleet *fleet, fl_server *server)
{
    for (guint i = fleet->retired->len; i > 0; i--) {
        const fl_server *old = fleet->retired->pdata[i - 1];
        if (strcmp(old->id, server->id) == 0) {
            if (old->born_ms == server->born_ms) {
                server->notice = old->notice;
            }
            return;
        }
    }
}

/* A word that came before the entry. */
static void
_fl_take_word(fl_fleet *fleet, fl_server *server)
{
    const _fl_word *word = g_hash_table_lookup(fleet->words, server->id);
    if (word && word->born_ms == server->born_ms) {
        nt_apply_peer_report(&server->notice, word->at_us);
    }
    if (word && word->born_ms <= server->born_ms) {
        g_hash_table_remove(fleet->words, server->id);
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
    _fl_inherit(fleet, server);
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
    fleet->version_us = version_ms * 1000ULL;
    fleet->old_version_us =
        (uint64_t)(version_ms * 1000.0 * _FL_OLD_VERSION_SHARE);
    fleet->words =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->fetch_ms = FL_FETCH_MS;
    fleet->random = g_rand_new_with_seed(desc->seed ? desc->seed : 1);
    double pause_most_s =
        desc->pause_most_s > 0 ? desc->pause_most_s : _FL_PAUSE_MOST_S;
    fleet->rules = (nt_rules){
        .drain_us = (desc->drain_ms ? desc->drain_ms : _FL_DRAIN_MS) * 1000ULL,
        .max_pause_us = (uint64_t)(pause_most_s * G_USEC_PER_SEC),
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
    g_ptr_array_unref(fleet->used);
    g_hash_table_unref(fleet->words);
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

/* Another process answers under the server's id. */
static void
_fl_begin_anew(fl_server *server)
{
    _fl_drop_copies(server);
    server->failed_in_row = 0;
    server->failing = 0;
    server->shunned_until_us = 0;
    server->load = (dl_load){0};
    server->drops += _FL_FORGOTTEN;
    server->room_us = 0;
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
    else if (anew) {
        nt_reset(&server->notice);
    }
    if (anew) {
        _fl_begin_anew(server);
    }
    server->born_ms = entry->born_ms;
    server->slots = MAX(entry->slots, 1);
    _fl_take_word(fleet, server);
    nt_apply_list_entry(&server->notice, entry->state == DL_SERVER_READY,
                        entry->version);
    server->state = nt_query_leaving(&server->notice) ? FL_LEAVING : FL_READY;
    *out = server;
    return anew;
}

/* -- public: what servers say of themselves ------------------------------- */

static void
_fl_keep_word(fl_fleet *fleet, const fl_heard *heard)
{
    if (g_hash_table_size(fleet->words) >= _FL_WORDS) {
        g_hash_table_remove_all(fleet->words);
    }
    _fl_word *word = g_new(_fl_word, 1);
    *word = (_fl_word){heard->born_ms, heard->now_us};
    g_hash_table_insert(fleet->words, g_strdup(heard->id), word);
}

uint32_t
fl_hear(fl_fleet *fleet, const fl_heard *heard, fl_server **out)
{
    fl_server *server = g_hash_table_lookup(fleet->servers, heard->id);
    bool leaving = heard->source == NT_PEER || heard->said.leaving;
    *out = NULL;
    if (!server || heard->born_ms > server->born_ms) {
        if (leaving) {
            _fl_keep_word(fleet, heard);
        }
        return 0;
    }
    if (heard->born_ms < server->born_ms) {
        return 0; /* of a process that has ended since */
    }
    *out = server;
    uint32_t changes =
        heard->source == NT_PEER
            ? nt_apply_peer_report(&server->notice, heard->now_us)
            : nt_apply_answer(&server->notice, &fleet->rules, &heard->said,
                              heard->now_us);
    if (nt_query_leaving(&server->notice)) {
        server->state = FL_LEAVING;
    }
    return changes;
}

void
fl_note_store(fl_fleet *fleet, uint64_t version, uint64_t asked_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nt_note_store_version(&((fl_server *)value)->notice, version,
                              asked_us);
    }
}

/* Those whose word counts no more are among them: the entries of the others
   may come later. */
static bool
_fl_all_said_leaving(const GPtrArray *list)
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
fl_settle_words(fl_fleet *fleet, uint64_t list_us, fl_stays_call call,
                void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *list = value;
        bool all = _fl_all_said_leaving(list);
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

void
fl_declare_version(fl_fleet *fleet, const char *model, const char *name,
                   uint64_t version, uint64_t since_us)
{
    g_autofree char *key =
        name ? g_strdup_printf("%s/%s", model, name) : g_strdup(model);
    fl_adapter *adapter = fl_intern(fleet, key);
    if (version > adapter->version) {
        adapter->version = version;
        adapter->version_us = since_us;
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
        server->most_copies = MAX(server->most_copies, server->copies->len);
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
    const fl_copy *copy = fl_query_copy(server, adapter);
    if (name && copy && copy->loading && !loading &&
        !fl_query_at_hand(server, adapter)) {
        fl_learn_fetch(fleet, (double)(now_us - copy->since_us) / 1000.0);
    }
    fl_put_copy(server, adapter, version, loading, now_us);
    return adapter;
}

/* Of the servers that dropped it, the oldest makes way. */
static void
_fl_note_drop(fl_server *server, fl_adapter *adapter)
{
    server->drops++;
    fl_dropped dropped = {server, server->drops};
    for (uint32_t i = 0; i < FL_DROPPED; i++) {
        if (adapter->dropped[i].server == server) {
            adapter->dropped[i] = dropped;
            return;
        }
    }
    adapter->dropped[adapter->dropped_next] = dropped;
    adapter->dropped_next = (adapter->dropped_next + 1) % FL_DROPPED;
}

bool
fl_query_at_hand(const fl_server *server, const fl_adapter *adapter)
{
    uint64_t kept = (uint64_t)server->most_copies * _FL_AT_HAND_TIMES;
    for (uint32_t i = 0; i < FL_DROPPED; i++) {
        const fl_dropped *dropped = &adapter->dropped[i];
        if (dropped->server == server) {
            return server->drops < dropped->number + kept;
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
            _fl_note_drop(server, adapter);
        }
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

/* -- public: queries ------------------------------------------------------ */

fl_server *
fl_query_server(const fl_fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->servers, id);
}

uint64_t
fl_query_old_until_us(const fl_fleet *fleet, const fl_adapter *adapter)
{
    uint64_t left_us =
        fleet->version_us - MIN(_FL_VERSION_MARGIN_US, fleet->version_us / 2);
    return adapter->version_us + left_us;
}

bool
fl_query_awaited(const fl_fleet *fleet, const fl_copy *copy, uint64_t now_us)
{
    return copy->loading && copy->server->state == FL_READY &&
           nt_query_available_us(&copy->server->notice, now_us) <=
               now_us + fl_query_load_us(fleet);
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
