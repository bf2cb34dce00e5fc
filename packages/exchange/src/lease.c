#include "lease.h"

#include "exchange.pb-c.h"
#include <string.h>

#define _LE_LEASE_MS 3000
/* An instance orders for so many renewals' time after one was sent: one may
   fail. */
#define _LE_VALID_RENEWALS 2.25
#define _LE_RENEW_PER_INSTANCE 0.06
#define _LE_RENEW_MOST 5.0
/* Added to the lease before another instance orders: clocks drift and timers
   fire late. */
#define _LE_MARGIN_MS 300
/* From the first registration to the first claim, so that instances that
   start together share the servers. */
#define _LE_SETTLE_MS 1000
/* A server that the instance meant for it does not claim is anybody's. */
#define _LE_LEFT_MS 4000
#define _LE_TX_ROWS 40
/* Between two servers that are given up for evenness: each is without orders
   for a lease's time. */
#define _LE_EVEN_MS 700

typedef struct _le_peer {
    le_peer public;
    char *instance;
    char *zone;
    char *address;
    uint64_t version;
    uint64_t seen_us;  /* when this version was first seen */
    uint64_t valid_us; /* it orders so long after a renewal */
    bool read;
} _le_peer;

typedef struct _le_server {
    char *id;
    char *zone; /* NULL: not listed */
    char *holder;
    uint64_t incarnation;
    bool given_up;
    bool giving; /* we are giving it up: no order, whatever comes of it */
    uint64_t fence;
    uint64_t version;  /* of its row; 0: none */
    uint64_t since_us; /* of this row, or of the entry without one */
    uint64_t free_us;  /* when it was first seen free to be claimed; 0 */
    bool read;
} _le_server;

typedef enum _le_tx_kind {
    _LE_NONE = 0,
    _LE_RENEW,
    _LE_END,
    _LE_CLAIM,
    _LE_GIVE_UP,
    _LE_PRUNE,
    _LE_EVEN /* gives one server up for an instance that has fewer */
} _le_tx_kind;

struct le_lease {
    char *instance;
    char *zone;
    char *address;
    uint64_t incarnation;
    uint64_t lease_us;
    uint64_t quiet_us;
    uint64_t renew_us;
    GHashTable *peers;   /* name -> _le_peer, ourselves too */
    GHashTable *servers; /* id -> _le_server */
    bool known;          /* the own table has been read */
    bool registered;
    uint64_t registered_us;
    uint64_t row_version; /* of our own row */
    uint64_t renewed_us;  /* when the last good renewal was sent */
    uint64_t valid_us;    /* as that renewal says */
    uint64_t tx_valid_us; /* as the renewal under way says */
    uint64_t next_renew_us;
    uint64_t store_version;
    uint64_t contact_us; /* since when the store answers; 0: it does not */
    uint64_t even_us;    /* when a server was last given up for evenness */
    bool leaving;        /* takes no more servers */
    bool left;           /* orders no more */
    bool given_up;
    _le_tx_kind tx;
    uint64_t tx_sent_us;
    GPtrArray *tx_servers; /* _le_server of the transaction */
    char *tx_peer;
    GArray *conditions; /* dl_condition */
    GArray *writes;     /* dl_write */
    GPtrArray *keys;
};

/* -- private: rows ----------------------------------------------------------
 */

static void
_le_free_peer(void *data)
{
    _le_peer *peer = data;
    g_free(peer->instance);
    g_free(peer->zone);
    g_free(peer->address);
    g_free(peer);
}

static void
_le_free_server(void *data)
{
    _le_server *server = data;
    g_free(server->id);
    g_free(server->zone);
    g_free(server->holder);
    g_free(server);
}

static void
_le_clear_write(void *data)
{
    GBytes *value = ((dl_write *)data)->value;
    if (value) {
        g_bytes_unref(value);
    }
}

static _le_server *
_le_server_of(le_lease *lease, const char *id)
{
    _le_server *server = g_hash_table_lookup(lease->servers, id);
    if (!server) {
        server = g_new0(_le_server, 1);
        server->id = g_strdup(id);
        g_hash_table_insert(lease->servers, server->id, server);
    }
    return server;
}

static bool
_le_is_self(const le_lease *lease, const char *instance)
{
    return strcmp(lease->instance, instance) == 0;
}

static void
_le_lose(le_lease *lease)
{
    lease->registered = false;
    lease->row_version = 0;
    lease->renewed_us = 0;
    lease->next_renew_us = 0;
    lease->incarnation++;
}

static void
_le_feed_instance(le_lease *lease, uint64_t now_us, const char *name,
                  const dl_row *row)
{
    _le_peer *peer = g_hash_table_lookup(lease->peers, name);
    if (peer && row->version < peer->version) {
        return;
    }
    if (!row->value) {
        g_hash_table_remove(lease->peers, name);
        if (_le_is_self(lease, name) && lease->registered &&
            row->version > lease->row_version) {
            _le_lose(lease);
        }
        return;
    }
    gsize size = 0;
    const uint8_t *bytes = g_bytes_get_data(row->value, &size);
    Lacewing__Exchange__InstanceRow *read =
        lacewing__exchange__instance_row__unpack(NULL, size, bytes);
    if (!read) {
        return;
    }
    if (!peer) {
        peer = g_new0(_le_peer, 1);
        peer->instance = g_strdup(name);
        g_hash_table_insert(lease->peers, peer->instance, peer);
    }
    if (row->version != peer->version) {
        peer->seen_us = now_us;
    }
    peer->version = row->version;
    peer->valid_us = read->valid_ms * 1000ULL;
    peer->read = true;
    g_free(peer->zone);
    g_free(peer->address);
    peer->zone = g_strdup(read->zone);
    peer->address = g_strdup(read->address);
    peer->public = (le_peer){.instance = peer->instance,
                             .zone = peer->zone,
                             .address = peer->address,
                             .incarnation = read->incarnation,
                             .leaving = read->leaving};
    if (_le_is_self(lease, name)) {
        lease->row_version = MAX(lease->row_version, row->version);
    }
    lacewing__exchange__instance_row__free_unpacked(read, NULL);
}

static void
_le_feed_holder(le_lease *lease, uint64_t now_us, const char *id,
                const dl_row *row)
{
    _le_server *server = _le_server_of(lease, id);
    server->read = true;
    if (row->version <= server->version) {
        return;
    }
    g_clear_pointer(&server->holder, g_free);
    server->version = row->value ? row->version : 0;
    server->since_us = now_us;
    server->incarnation = 0;
    server->given_up = false;
    server->giving = false;
    server->free_us = 0;
    if (!row->value) {
        return;
    }
    gsize size = 0;
    const uint8_t *bytes = g_bytes_get_data(row->value, &size);
    Lacewing__Exchange__HolderRow *read =
        lacewing__exchange__holder_row__unpack(NULL, size, bytes);
    if (read) {
        server->holder = g_strdup(read->instance);
        server->incarnation = read->incarnation;
        server->given_up = read->given_up;
        server->fence = read->fence;
        lacewing__exchange__holder_row__free_unpacked(read, NULL);
    }
}

/* -- private: who should have what ------------------------------------------
 */

static gint
_le_by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static uint64_t
_le_takeover_us(const le_lease *lease, const _le_peer *peer)
{
    return peer->valid_us + lease->quiet_us;
}

static bool
_le_peer_alive(const le_lease *lease, const _le_peer *peer, uint64_t now_us)
{
    if (_le_is_self(lease, peer->instance)) {
        return lease->registered && !lease->leaving;
    }
    return !peer->public.leaving &&
           now_us < peer->seen_us + _le_takeover_us(lease, peer);
}

/* Names of the live instances of a zone, or of all; sorted. */
static GPtrArray *
_le_live_names(const le_lease *lease, const char *zone, uint64_t now_us)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_peer *peer = value;
        if (_le_peer_alive(lease, peer, now_us) &&
            (!zone || strcmp(zone, peer->zone) == 0)) {
            g_ptr_array_add(names, peer->instance);
        }
    }
    g_ptr_array_sort(names, _le_by_name);
    return names;
}

/* Place of a server among those of its zone, by id. */
static uint32_t
_le_rank(const le_lease *lease, const _le_server *server)
{
    uint32_t rank = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_server *other = value;
        rank += other->zone && strcmp(other->zone, server->zone) == 0 &&
                strcmp(other->id, server->id) < 0;
    }
    return rank;
}

/* The instance that a server falls to when it is free: of its zone if there
   is one, else of all. Free the name with g_free(). */
static char *
_le_meant_for(const le_lease *lease, const _le_server *server, uint64_t now_us)
{
    g_autoptr(GPtrArray) names = _le_live_names(lease, server->zone, now_us);
    if (names->len == 0) {
        g_ptr_array_unref(names);
        names = _le_live_names(lease, NULL, now_us);
    }
    return names->len
               ? g_strdup(names->pdata[_le_rank(lease, server) % names->len])
               : NULL;
}

static bool
_le_meant_for_self(const le_lease *lease, const _le_server *server,
                   uint64_t now_us)
{
    g_autofree char *meant = _le_meant_for(lease, server, now_us);
    return meant && _le_is_self(lease, meant);
}

/* The row names this incarnation, whether it orders still or not. */
static bool
_le_row_is_own(const le_lease *lease, const _le_server *server)
{
    return server->holder && _le_is_self(lease, server->holder) &&
           server->incarnation == lease->incarnation && !server->given_up;
}

static bool
_le_holds(const le_lease *lease, const _le_server *server)
{
    return _le_row_is_own(lease, server) && !server->giving;
}

static bool
_le_may_claim(const le_lease *lease, _le_server *server, uint64_t now_us)
{
    if (!server->zone || _le_holds(lease, server)) {
        return false;
    }
    uint64_t free_us = server->since_us; /* from when it may be claimed */
    if (server->holder) {
        bool own = _le_is_self(lease, server->holder);
        if (own &&
            (server->incarnation != lease->incarnation || server->giving)) {
            /* One machine is one holder. A new row also undoes a transaction
               of ours that may yet be carried out. */
            return true;
        }
        const _le_peer *holder =
            g_hash_table_lookup(lease->peers, server->holder);
        bool same =
            holder && holder->public.incarnation == server->incarnation;
        if (same && !server->given_up) {
            return false;
        }
        free_us = server->given_up ? server->since_us + lease->quiet_us
                  : holder         ? holder->seen_us + lease->quiet_us
                                   : 0;
    }
    if (now_us < free_us ||
        now_us < lease->registered_us + _LE_SETTLE_MS * 1000ULL) {
        return false;
    }
    if (server->free_us == 0) {
        server->free_us = now_us;
    }
    return _le_meant_for_self(lease, server, now_us) ||
           now_us >= server->free_us + _LE_LEFT_MS * 1000ULL;
}

/* -- private: transactions ---------------------------------------------------
 */

static const char *
_le_key(le_lease *lease, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, name, NULL);
    g_ptr_array_add(lease->keys, key);
    return key;
}

static void
_le_add(le_lease *lease, const char *key, uint64_t version, GBytes *value)
{
    dl_condition condition = {key, version};
    dl_write write = {key, value};
    g_array_append_val(lease->conditions, condition);
    g_array_append_val(lease->writes, write);
}

static GBytes *
_le_pack(const ProtobufCMessage *message)
{
    size_t size = protobuf_c_message_get_packed_size(message);
    uint8_t *bytes = g_malloc(size);
    protobuf_c_message_pack(message, bytes);
    return g_bytes_new_take(bytes, size);
}

/* The more instances there are, the fewer servers wait for one that is gone,
   and the more renewals the store bears: leases grow with them. */
static uint64_t
_le_renew_us(const le_lease *lease)
{
    double times = 1.0 + le_query_live(lease) * _LE_RENEW_PER_INSTANCE;
    return (uint64_t)((double)lease->renew_us * MIN(times, _LE_RENEW_MOST));
}

static uint64_t
_le_valid_us(const le_lease *lease)
{
    return (uint64_t)((double)_le_renew_us(lease) * _LE_VALID_RENEWALS);
}

static void
_le_write_renewal(le_lease *lease)
{
    Lacewing__Exchange__InstanceRow row =
        LACEWING__EXCHANGE__INSTANCE_ROW__INIT;
    row.incarnation = lease->incarnation;
    row.zone = lease->zone;
    row.address = lease->address;
    row.leaving = lease->leaving;
    /* Until this renewal is acknowledged the one before may be in force. */
    row.valid_ms = (uint32_t)(MAX(lease->tx_valid_us, lease->valid_us) / 1000);
    _le_add(lease, _le_key(lease, "i/", lease->instance), lease->row_version,
            _le_pack(&row.base));
}

static bool
_le_has_condition(const le_lease *lease, const char *key)
{
    for (guint i = 0; i < lease->conditions->len; i++) {
        if (strcmp(g_array_index(lease->conditions, dl_condition, i).key,
                   key) == 0) {
            return true;
        }
    }
    return false;
}

/* What is taken from a holder that has ended is taken only if that one has
   not come back. */
static void
_le_require_ended(le_lease *lease, const _le_server *server)
{
    if (!server->holder || server->given_up ||
        g_hash_table_contains(lease->peers, server->holder)) {
        return;
    }
    const char *key = _le_key(lease, "i/", server->holder);
    if (!_le_has_condition(lease, key)) {
        dl_condition condition = {key, 0};
        g_array_append_val(lease->conditions, condition);
    }
}

static void
_le_write_holder(le_lease *lease, _le_server *server, bool given_up)
{
    Lacewing__Exchange__HolderRow row = LACEWING__EXCHANGE__HOLDER_ROW__INIT;
    row.instance = lease->instance;
    row.incarnation = lease->incarnation;
    row.fence = MAX(lease->store_version, server->version) + 1;
    row.given_up = given_up;
    server->giving = server->giving || given_up;
    _le_add(lease, _le_key(lease, "o/", server->id), server->version,
            _le_pack(&row.base));
    g_ptr_array_add(lease->tx_servers, server);
}

static bool
_le_write_end(le_lease *lease, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_peer *peer = value;
        if (!_le_is_self(lease, peer->instance) &&
            now_us >= peer->seen_us + _le_takeover_us(lease, peer)) {
            _le_add(lease, _le_key(lease, "i/", peer->instance), peer->version,
                    NULL);
            g_free(lease->tx_peer);
            lease->tx_peer = g_strdup(peer->instance);
            return true;
        }
    }
    return false;
}

static bool
_le_write_servers(le_lease *lease, uint64_t now_us, _le_tx_kind kind)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           lease->tx_servers->len < _LE_TX_ROWS) {
        _le_server *server = value;
        if (kind == _LE_CLAIM && _le_may_claim(lease, server, now_us)) {
            _le_require_ended(lease, server);
            _le_write_holder(lease, server, false);
        }
        else if (kind == _LE_GIVE_UP && _le_row_is_own(lease, server)) {
            _le_write_holder(lease, server, true);
        }
        else if (kind == _LE_PRUNE && !server->zone &&
                 _le_holds(lease, server)) {
            _le_add(lease, _le_key(lease, "o/", server->id), server->version,
                    NULL);
            g_ptr_array_add(lease->tx_servers, server);
        }
    }
    return lease->tx_servers->len > 0;
}

static uint32_t
_le_count(const le_lease *lease, const char *instance)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_server *server = value;
        count += server->zone && server->holder && !server->given_up &&
                 strcmp(server->holder, instance) == 0;
    }
    return count;
}

/* A server of ours that another instance was meant to hold, where that one
   has at least two fewer: after an instance was away, the others would keep
   all of its servers, and the loss of one of them would be that of many. */
static bool
_le_write_even(le_lease *lease, uint64_t now_us)
{
    uint32_t own = _le_count(lease, lease->instance);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (own > 1 && g_hash_table_iter_next(&iter, NULL, &value)) {
        _le_server *server = value;
        if (!server->zone || !_le_holds(lease, server)) {
            continue;
        }
        g_autofree char *meant = _le_meant_for(lease, server, now_us);
        if (meant && !_le_is_self(lease, meant) &&
            _le_count(lease, meant) + 2 <= own) {
            _le_write_holder(lease, server, true);
            return true;
        }
    }
    return false;
}

static _le_tx_kind
_le_fill_tx(le_lease *lease, uint64_t now_us)
{
    if (lease->left) {
        bool any = _le_write_servers(lease, now_us, _LE_GIVE_UP);
        /* The instance's row goes with the last of its servers. */
        if (lease->registered && lease->tx_servers->len < _LE_TX_ROWS) {
            _le_add(lease, _le_key(lease, "i/", lease->instance),
                    lease->row_version, NULL);
            any = true;
        }
        if (any) {
            return _LE_GIVE_UP;
        }
        lease->given_up = true;
        return _LE_NONE;
    }
    if (now_us >= lease->next_renew_us) {
        lease->tx_valid_us = _le_valid_us(lease);
        _le_write_renewal(lease);
        return _LE_RENEW;
    }
    if (lease->leaving || !lease->registered ||
        now_us >= lease->renewed_us + lease->valid_us) {
        return _LE_NONE;
    }
    /* After an interruption others have time to renew. */
    if (now_us >= lease->contact_us + _le_valid_us(lease) &&
        _le_write_end(lease, now_us)) {
        return _LE_END;
    }
    if (_le_write_servers(lease, now_us, _LE_CLAIM)) {
        return _LE_CLAIM;
    }
    if (_le_write_servers(lease, now_us, _LE_PRUNE)) {
        return _LE_PRUNE;
    }
    if (now_us >= lease->even_us + _LE_EVEN_MS * 1000ULL &&
        _le_write_even(lease, now_us)) {
        lease->even_us = now_us;
        return _LE_EVEN;
    }
    return _LE_NONE;
}

/* -- private: results --------------------------------------------------------
 */

static void
_le_take_renewal(le_lease *lease, uint64_t now_us, uint64_t version)
{
    if (!lease->registered) {
        lease->registered = true;
        lease->registered_us = now_us;
    }
    lease->row_version = version;
    lease->renewed_us = lease->tx_sent_us;
    lease->valid_us = lease->tx_valid_us;
    lease->next_renew_us = lease->tx_sent_us + _le_renew_us(lease);
}

static void
_le_take_servers(le_lease *lease, uint64_t now_us, uint64_t version)
{
    for (guint i = 0; i < lease->tx_servers->len; i++) {
        _le_server *server = lease->tx_servers->pdata[i];
        const dl_write *write = &g_array_index(lease->writes, dl_write, i);
        dl_row row = {.key = (char *)write->key,
                      .value = write->value,
                      .version = version};
        _le_feed_holder(lease, now_us, server->id, &row);
    }
}

static void
_le_take_ok(le_lease *lease, uint64_t now_us, uint64_t version)
{
    lease->store_version = MAX(lease->store_version, version);
    switch (lease->tx) {
    case _LE_RENEW:
        _le_take_renewal(lease, now_us, version);
        break;
    case _LE_END:
        g_hash_table_remove(lease->peers, lease->tx_peer);
        break;
    case _LE_CLAIM:
    case _LE_EVEN:
    case _LE_PRUNE:
        _le_take_servers(lease, now_us, version);
        break;
    case _LE_GIVE_UP:
        lease->registered =
            lease->registered && lease->tx_servers->len == _LE_TX_ROWS;
        _le_take_servers(lease, now_us, version);
        break;
    default:
        break;
    }
}

/* Rows of instances as they stand, as far as the store told them. Those of
   servers come with the next read, which the user begins after a conflict:
   without the rows of instances they would name holders that seem gone. */
static void
_le_take_conflict(le_lease *lease, uint64_t now_us, const GArray *rows)
{
    for (guint i = 0; rows && i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        if (row->value && g_str_has_prefix(row->key, "i/")) {
            le_feed_row(lease, now_us, row);
        }
    }
}

static void
_le_take_renewal_conflict(le_lease *lease, const GArray *rows)
{
    for (guint i = 0; rows && i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        const _le_peer *self =
            g_hash_table_lookup(lease->peers, lease->instance);
        if (row->value && self &&
            self->public.incarnation == lease->incarnation) {
            lease->row_version = row->version; /* our own, unanswered */
            return;
        }
    }
    if (lease->registered) {
        _le_lose(lease);
    }
}

/* -- public ------------------------------------------------------------------
 */

le_lease *
le_create(const le_desc *desc)
{
    g_assert(desc->instance && desc->zone && desc->incarnation);
    le_lease *lease = g_new0(le_lease, 1);
    lease->instance = g_strdup(desc->instance);
    lease->zone = g_strdup(desc->zone);
    lease->address = g_strdup(desc->address ? desc->address : "");
    lease->incarnation = desc->incarnation;
    uint32_t lease_ms = desc->lease_ms ? desc->lease_ms : _LE_LEASE_MS;
    lease->lease_us = lease_ms * 1000ULL;
    lease->quiet_us = lease->lease_us + _LE_MARGIN_MS * 1000ULL;
    lease->renew_us =
        desc->renew_ms ? desc->renew_ms * 1000ULL : lease->lease_us / 3;
    lease->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _le_free_peer);
    lease->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _le_free_server);
    lease->tx_servers = g_ptr_array_new();
    lease->conditions = g_array_new(FALSE, TRUE, sizeof(dl_condition));
    lease->writes = g_array_new(FALSE, TRUE, sizeof(dl_write));
    g_array_set_clear_func(lease->writes, _le_clear_write);
    lease->keys = g_ptr_array_new_with_free_func(g_free);
    return lease;
}

void
le_destroy(le_lease *lease)
{
    if (!lease) {
        return;
    }
    g_hash_table_unref(lease->peers);
    g_hash_table_unref(lease->servers);
    g_ptr_array_unref(lease->tx_servers);
    g_array_unref(lease->conditions);
    g_array_unref(lease->writes);
    g_ptr_array_unref(lease->keys);
    g_free(lease->tx_peer);
    g_free(lease->instance);
    g_free(lease->zone);
    g_free(lease->address);
    g_free(lease);
}

void
le_feed_row(le_lease *lease, uint64_t now_us, const dl_row *row)
{
    if (g_str_has_prefix(row->key, "i/")) {
        _le_feed_instance(lease, now_us, row->key + 2, row);
    }
    else if (g_str_has_prefix(row->key, "o/")) {
        _le_feed_holder(lease, now_us, row->key + 2, row);
    }
}

void
le_begin_read(le_lease *lease)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((_le_peer *)value)->read = false;
    }
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((_le_server *)value)->read = false;
    }
}

void
le_end_read(le_lease *lease, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _le_server *server = value;
        if (!server->read && server->version) {
            dl_row gone = {.version = server->version + 1};
            _le_feed_holder(lease, now_us, server->id, &gone);
        }
    }
    g_autoptr(GPtrArray) gone = g_ptr_array_new();
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!((_le_peer *)value)->read) {
            g_ptr_array_add(gone, value);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        _le_peer *peer = gone->pdata[i];
        dl_row row = {.version = peer->version + 1};
        _le_feed_instance(lease, now_us, peer->instance, &row);
    }
    lease->known = true;
}

void
le_feed_fresh(le_lease *lease, uint64_t now_us, uint64_t version)
{
    lease->contact_us = lease->contact_us ? lease->contact_us : now_us;
    lease->store_version = MAX(lease->store_version, version);
}

void
le_note_interruption(le_lease *lease)
{
    lease->contact_us = 0;
}

void
le_put_server(le_lease *lease, const char *id, const char *zone)
{
    _le_server *server = _le_server_of(lease, id);
    if (g_strcmp0(server->zone, zone) != 0) {
        g_free(server->zone);
        server->zone = g_strdup(zone);
    }
}

void
le_remove_server(le_lease *lease, const char *id)
{
    _le_server *server = g_hash_table_lookup(lease->servers, id);
    if (server) {
        g_clear_pointer(&server->zone, g_free);
    }
}

void
le_announce_leave(le_lease *lease)
{
    lease->leaving = true;
    lease->next_renew_us = 0;
}

void
le_leave(le_lease *lease)
{
    lease->leaving = true;
    lease->left = true;
}

bool
le_next_tx(le_lease *lease, uint64_t now_us, dl_tx *tx)
{
    if (!lease->known || lease->tx != _LE_NONE) {
        return false;
    }
    g_array_set_size(lease->conditions, 0);
    g_array_set_size(lease->writes, 0);
    g_ptr_array_set_size(lease->keys, 0);
    g_ptr_array_set_size(lease->tx_servers, 0);
    lease->tx = _le_fill_tx(lease, now_us);
    if (lease->tx == _LE_NONE) {
        return false;
    }
    lease->tx_sent_us = now_us;
    *tx = (dl_tx){
        .conditions = (const dl_condition *)(void *)lease->conditions->data,
        .condition_count = lease->conditions->len,
        .writes = (const dl_write *)(void *)lease->writes->data,
        .write_count = lease->writes->len,
    };
    return true;
}

void
le_feed_result(le_lease *lease, uint64_t now_us, er_code code,
               uint64_t version, const GArray *rows)
{
    _le_tx_kind kind = lease->tx;
    if (code == ER_OK) {
        _le_take_ok(lease, now_us, version);
    }
    else if (code == ER_CONFLICT) {
        _le_take_conflict(lease, now_us, rows);
        if (kind == _LE_RENEW) {
            _le_take_renewal_conflict(lease, rows);
        }
    }
    else if (kind == _LE_RENEW) {
        /* Tried again soon: the lease goes on for a part of its time only. */
        lease->next_renew_us = now_us + lease->renew_us / 4;
    }
    lease->tx = _LE_NONE;
}

uint32_t
le_query_pause_ms(const le_lease *lease)
{
    return (uint32_t)(_le_valid_us(lease) / 1000 / 2);
}

uint64_t
le_query_fence(const le_lease *lease, uint64_t clock_us, const char *id)
{
    const _le_server *server = g_hash_table_lookup(lease->servers, id);
    bool held = lease->registered && !lease->left &&
                clock_us < lease->renewed_us + lease->valid_us;
    return held && server && _le_holds(lease, server) ? server->fence : 0;
}

const char *
le_query_holder(const le_lease *lease, const char *id)
{
    const _le_server *server = g_hash_table_lookup(lease->servers, id);
    if (!server || !server->holder || server->given_up) {
        return NULL;
    }
    const _le_peer *peer = g_hash_table_lookup(lease->peers, server->holder);
    return peer && peer->public.incarnation == server->incarnation
               ? server->holder
               : NULL;
}

uint32_t
le_query_live(const le_lease *lease)
{
    uint32_t live = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        live += !((_le_peer *)value)->public.leaving;
    }
    return MAX(live, 1);
}

bool
le_query_held(const le_lease *lease, uint64_t clock_us)
{
    return lease->registered && clock_us < lease->renewed_us + lease->valid_us;
}

static uint64_t
_le_mix(uint64_t number)
{
    number ^= number >> 31;
    number *= 0x9e3779b97f4a7c15ULL;
    return number ^ (number >> 29);
}

uint64_t
le_query_digest(const le_lease *lease)
{
    uint64_t digest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_peer *peer = value;
        digest ^=
            _le_mix(g_str_hash(peer->instance) ^
                    peer->public.incarnation << 1 ^ peer->public.leaving);
    }
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_server *server = value;
        digest ^= server->version
                      ? _le_mix(g_str_hash(server->id) ^ server->version << 20)
                      : 0;
    }
    return digest;
}

bool
le_query_given_up(const le_lease *lease)
{
    return lease->given_up;
}

void
le_each_peer(const le_lease *lease, le_peer_call call, void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _le_peer *peer = value;
        if (!_le_is_self(lease, peer->instance)) {
            call(&peer->public, user_data);
        }
    }
}
