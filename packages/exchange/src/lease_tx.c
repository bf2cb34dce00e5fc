#include "lease_private.h"

#include "exchange.pb-c.h"
#include <string.h>

/* An instance orders for so many renewals' time after one was sent: one may
   fail. */
#define _LE_VALID_RENEWALS 2.25
/* Renewals are further apart by this part for each instance, up to so many
   times: at 83 instances one in 5 s, some 17 writes a second over all. */
#define _LE_RENEW_PER_INSTANCE 0.06
#define _LE_RENEW_MOST 5.0
/* An instance that holds nothing is only a name for others to write to. */
#define _LE_RENEW_IDLE 4.0
/* Between two servers that are given up for evenness: each is without orders
   for a lease's time. */
#define _LE_EVEN_MS 700

/* -- private: transactions ------------------------------------------------ */

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
uint64_t
le_renew_us(const le_lease *lease)
{
    double times = 1.0 + le_query_live(lease) * _LE_RENEW_PER_INSTANCE;
    times = MIN(times, _LE_RENEW_MOST);
    return (uint64_t)((double)lease->renew_us * times *
                      (lease->idle ? _LE_RENEW_IDLE : 1.0));
}

uint64_t
le_valid_us(const le_lease *lease)
{
    return (uint64_t)((double)le_renew_us(lease) * _LE_VALID_RENEWALS);
}

static void
_le_write_renewal(le_lease *lease)
{
    Lacewing__Exchange__InstanceRow row =
        LACEWING__EXCHANGE__INSTANCE_ROW__INIT;
    row.incarnation = lease->incarnation;
    row.zone = lease->zone;
    row.address = lease->address;
    row.link_mbps = lease->link_mbps;
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

/* What is taken from a holder that has ended, or started anew, is taken only
   if its row is as believed: word of the server's row may come before. */
static void
_le_require_ended(le_lease *lease, const le_server_row *server)
{
    le_state state = le_state_of(lease, server);
    if (state != LE_STATE_HOLDER_GONE && state != LE_STATE_HOLDER_ANEW) {
        return;
    }
    const le_peer_row *holder =
        g_hash_table_lookup(lease->peers, server->holder);
    const char *key = _le_key(lease, "i/", server->holder);
    if (!_le_has_condition(lease, key)) {
        dl_condition condition = {key, holder ? holder->version : 0};
        g_array_append_val(lease->conditions, condition);
    }
}

static void
_le_write_holder(le_lease *lease, le_server_row *server, bool given_up)
{
    Lacewing__Exchange__HolderRow row = LACEWING__EXCHANGE__HOLDER_ROW__INIT;
    row.instance = lease->instance;
    row.incarnation = lease->incarnation;
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
        const le_peer_row *peer = value;
        if (!le_is_self(lease, peer->instance) &&
            now_us >= peer->seen_us + le_takeover_us(lease, peer)) {
            _le_add(lease, _le_key(lease, "i/", peer->instance), peer->version,
                    NULL);
            g_free(lease->tx_peer);
            lease->tx_peer = g_strdup(peer->instance);
            return true;
        }
    }
    return false;
}

/* A row without a holder is anybody's at once, and lists of servers differ for
   a while: our row of a server that is not listed goes after a silence. */
static bool
_le_may_prune(const le_lease *lease, le_server_row *server, uint64_t now_us)
{
    if (server->zone || !le_row_is_own(lease, server)) {
        return false;
    }
    if (server->unlisted_us == 0) {
        server->unlisted_us = now_us;
    }
    return now_us >= server->unlisted_us + lease->quiet_us;
}

static void
_le_write_removal(le_lease *lease, le_server_row *server)
{
    server->giving = true;
    _le_add(lease, _le_key(lease, "o/", server->id), server->version, NULL);
    g_ptr_array_add(lease->tx_servers, server);
}

/* The rows of the process before as well: it may have ordered until now. */
static bool
_le_may_give_up(const le_lease *lease, const le_server_row *server)
{
    return server->holder && le_is_self(lease, server->holder) &&
           !server->given_up;
}

static bool
_le_has_room(const le_lease *lease)
{
    return lease->tx_servers->len < LE_TX_ROWS &&
           lease->conditions->len + lease->writes->len +
                   LE_TX_SERVER_ENTRIES <=
               LE_TX_ENTRIES;
}

static bool
_le_write_servers(le_lease *lease, uint64_t now_us, le_tx_kind kind)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           _le_has_room(lease)) {
        le_server_row *server = value;
        if (kind == LE_TX_CLAIM && le_may_claim(lease, server, now_us)) {
            _le_require_ended(lease, server);
            _le_write_holder(lease, server, false);
        }
        else if (kind == LE_TX_GIVE_UP && _le_may_give_up(lease, server)) {
            _le_write_holder(lease, server, true);
        }
        else if (kind == LE_TX_PRUNE && _le_may_prune(lease, server, now_us)) {
            _le_write_removal(lease, server);
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
        const le_server_row *server = value;
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
        le_server_row *server = value;
        if (!server->zone || !le_holds(lease, server)) {
            continue;
        }
        g_autofree char *meant = le_meant_for(lease, server, now_us);
        if (meant && !le_is_self(lease, meant) &&
            _le_count(lease, meant) + 2 <= own) {
            _le_write_holder(lease, server, true);
            return true;
        }
    }
    return false;
}

le_tx_kind
le_fill_tx(le_lease *lease, uint64_t now_us)
{
    if (now_us < lease->retry_us && now_us < lease->next_renew_us) {
        return LE_TX_NONE;
    }
    if (lease->left) {
        bool any = _le_write_servers(lease, now_us, LE_TX_GIVE_UP);
        /* The instance's row goes with the last of its servers. */
        if (lease->registered && lease->tx_servers->len < LE_TX_ROWS) {
            _le_add(lease, _le_key(lease, "i/", lease->instance),
                    lease->row_version, NULL);
            any = true;
        }
        if (any) {
            return LE_TX_GIVE_UP;
        }
        lease->given_up = true;
        return LE_TX_NONE;
    }
    if (now_us >= lease->next_renew_us) {
        lease->idle = lease->registered &&
                      le_query_live(lease) > lease->many &&
                      !le_is_holder(lease, now_us);
        lease->tx_valid_us = le_valid_us(lease);
        _le_write_renewal(lease);
        return LE_TX_RENEW;
    }
    if (lease->leaving || !lease->registered || now_us < lease->retry_us ||
        now_us >= lease->renewed_us + lease->valid_us) {
        return LE_TX_NONE;
    }
    /* After an interruption others have time to renew. */
    if (now_us >= lease->contact_us + le_valid_us(lease) &&
        _le_write_end(lease, now_us)) {
        return LE_TX_END;
    }
    if (_le_write_servers(lease, now_us, LE_TX_CLAIM)) {
        return LE_TX_CLAIM;
    }
    if (_le_write_servers(lease, now_us, LE_TX_PRUNE)) {
        return LE_TX_PRUNE;
    }
    if (now_us >= lease->even_us + _LE_EVEN_MS * 1000ULL &&
        _le_write_even(lease, now_us)) {
        lease->even_us = now_us;
        return LE_TX_EVEN;
    }
    return LE_TX_NONE;
}
