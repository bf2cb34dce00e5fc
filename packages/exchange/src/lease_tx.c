#include "lease_private.h"

#include "exchange.pb-c.h"
#include <string.h>

/* Validity of a lease in renewal intervals, so that one renewal may fail. */
#define _LE_VALIDITY_RENEWALS 2.25
/* The renewal interval grows by this part of renew_ms with each instance, up
   to _LE_RENEW_FACTOR_MAX times renew_ms: with 83 instances each renews once
   in 5 s, which makes some 17 writes a second in all. */
#define _LE_RENEW_FACTOR_PER_INSTANCE 0.06
#define _LE_RENEW_FACTOR_MAX 5.0
/* An instance that holds no server renews more rarely: its row only tells
   others its address. */
#define _LE_RENEW_FACTOR_IDLE 4.0
/* Least time between two servers that are given up to rebalance, because each
   gets no orders for the duration of a lease. */
#define _LE_REBALANCE_INTERVAL_MS 700

/* -- private: transactions ------------------------------------------------ */

static const char *
_le_make_key(le_lease *lease, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, name, NULL);
    g_ptr_array_add(lease->keys, key);
    return key;
}

static void
_le_add_write(le_lease *lease, const char *key, uint64_t version,
              GBytes *value)
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

/* With more instances, fewer servers wait for one that is gone, and the store
   has more renewals to write. So the interval grows with their number. */
uint64_t
le_renew_interval_us(const le_lease *lease)
{
    double times =
        1.0 + le_query_live_count(lease) * _LE_RENEW_FACTOR_PER_INSTANCE;
    times = MIN(times, _LE_RENEW_FACTOR_MAX);
    return (uint64_t)((double)lease->renew_us * times *
                      (lease->idle ? _LE_RENEW_FACTOR_IDLE : 1.0));
}

uint64_t
le_validity_us(const le_lease *lease)
{
    return (uint64_t)((double)le_renew_interval_us(lease) *
                      _LE_VALIDITY_RENEWALS);
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
    /* Until this renewal is acknowledged, the validity of the one before may
       apply. */
    row.valid_ms = (uint32_t)(MAX(lease->tx_valid_us, lease->valid_us) / 1000);
    _le_add_write(lease, _le_make_key(lease, "i/", lease->instance),
                  lease->row_version, _le_pack(&row.base));
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

/* Makes a claim from a holder that is gone or has restarted conditional on its
   instance row being as known here: the server's row may have arrived before
   the instance's. */
static void
_le_require_holder_ended(le_lease *lease, const le_server_row *server)
{
    le_holder_state state = le_holder_state_of(lease, server);
    if (state != LE_STATE_HOLDER_GONE && state != LE_STATE_HOLDER_RESTARTED) {
        return;
    }
    const le_peer_row *holder =
        g_hash_table_lookup(lease->peers, server->holder);
    const char *key = _le_make_key(lease, "i/", server->holder);
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
    row.era = lease->era;
    server->giving_up = server->giving_up || given_up;
    _le_add_write(lease, _le_make_key(lease, "o/", server->id),
                  server->version, _le_pack(&row.base));
    g_ptr_array_add(lease->tx_servers, server);
}

static bool
_le_write_expiry(le_lease *lease, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_peer_row *peer = value;
        if (!le_is_self(lease, peer->instance) &&
            now_us >=
                peer->version_since_us + le_takeover_delay_us(lease, peer)) {
            _le_add_write(lease, _le_make_key(lease, "i/", peer->instance),
                          peer->version, NULL);
            g_free(lease->tx_peer);
            lease->tx_peer = g_strdup(peer->instance);
            return true;
        }
    }
    return false;
}

/* Tells whether our row of a server that is not listed may be removed. Without
   a row any instance may claim the server at once, and for a while it may
   still be listed elsewhere, so the row stays for guard_us without orders. */
static bool
_le_may_prune(const le_lease *lease, le_server_row *server, uint64_t now_us)
{
    if (server->zone || !le_row_is_own(lease, server)) {
        return false;
    }
    if (server->unlisted_since_us == 0) {
        server->unlisted_since_us = now_us;
    }
    return now_us >= server->unlisted_since_us + lease->guard_us;
}

static void
_le_write_removal(le_lease *lease, le_server_row *server)
{
    server->giving_up = true;
    _le_add_write(lease, _le_make_key(lease, "o/", server->id),
                  server->version, NULL);
    g_ptr_array_add(lease->tx_servers, server);
}

/* Includes rows of earlier incarnations, which may have given orders until
   now. */
static bool
_le_may_give_up(const le_lease *lease, const le_server_row *server)
{
    return server->holder && le_is_self(lease, server->holder) &&
           !server->given_up;
}

static bool
_le_tx_has_space(const le_lease *lease)
{
    return lease->tx_servers->len < LE_TX_MAX_ROWS &&
           lease->conditions->len + lease->writes->len +
                   LE_TX_ENTRIES_PER_SERVER <=
               LE_TX_MAX_ENTRIES;
}

static bool
_le_write_servers(le_lease *lease, uint64_t now_us, le_tx_kind kind)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           _le_tx_has_space(lease)) {
        le_server_row *server = value;
        if (kind == LE_TX_CLAIM && le_may_claim(lease, server, now_us)) {
            _le_require_holder_ended(lease, server);
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
_le_count_held(const le_lease *lease, const char *instance)
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

/* Gives up one of our servers whose preferred holder is another instance that
   holds at least two fewer. Otherwise, after an instance was away, the others
   would keep all of its servers, and the loss of one of them would affect many
   servers. */
static bool
_le_write_rebalance(le_lease *lease, uint64_t now_us)
{
    uint32_t own = _le_count_held(lease, lease->instance);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (own > 1 && g_hash_table_iter_next(&iter, NULL, &value)) {
        le_server_row *server = value;
        if (!server->zone || !le_holds_server(lease, server)) {
            continue;
        }
        g_autofree char *preferred =
            le_preferred_holder(lease, server, now_us);
        if (preferred && !le_is_self(lease, preferred) &&
            _le_count_held(lease, preferred) + 2 <= own) {
            _le_write_holder(lease, server, true);
            return true;
        }
    }
    return false;
}

/* The content does not matter. The rows of the eras before stay: there are as
   many as restorations. */
static void
_le_write_era(le_lease *lease)
{
    char era[24];
    g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT, lease->era);
    _le_add_write(lease, _le_make_key(lease, "e/", era), 0,
                  g_bytes_new_static("1", 1));
}

le_tx_kind
le_fill_tx(le_lease *lease, uint64_t now_us)
{
    if (now_us < lease->retry_us && now_us < lease->next_renew_us) {
        return LE_TX_NONE;
    }
    if (lease->left) {
        bool any = _le_write_servers(lease, now_us, LE_TX_GIVE_UP);
        /* The instance's row is removed together with the last of its
           servers. */
        if (lease->registered && lease->tx_servers->len < LE_TX_MAX_ROWS) {
            _le_add_write(lease, _le_make_key(lease, "i/", lease->instance),
                          lease->row_version, NULL);
            any = true;
        }
        if (any) {
            return LE_TX_GIVE_UP;
        }
        lease->all_given_up = true;
        return LE_TX_NONE;
    }
    if (now_us >= lease->next_renew_us) {
        lease->idle = lease->registered &&
                      le_query_live_count(lease) > lease->subset_threshold &&
                      !le_expects_servers(lease, now_us);
        lease->tx_valid_us = le_validity_us(lease);
        _le_write_renewal(lease);
        return LE_TX_RENEW;
    }
    /* A claim without a row of the claimant would look abandoned. */
    if (lease->leaving || !lease->registered || !lease->era_renewed ||
        now_us < lease->retry_us ||
        now_us >= lease->renewed_us + lease->valid_us) {
        return LE_TX_NONE;
    }
    if (!lease->era_settled && now_us >= lease->settle_us) {
        _le_write_era(lease);
        return LE_TX_SETTLE;
    }
    /* After an interruption other instances get time to renew. */
    if (now_us >= lease->contact_since_us + le_validity_us(lease) &&
        _le_write_expiry(lease, now_us)) {
        return LE_TX_EXPIRE_PEER;
    }
    if (_le_write_servers(lease, now_us, LE_TX_CLAIM)) {
        return LE_TX_CLAIM;
    }
    if (_le_write_servers(lease, now_us, LE_TX_PRUNE)) {
        return LE_TX_PRUNE;
    }
    if (now_us >= lease->restored_until_us &&
        now_us >=
            lease->last_rebalance_us + _LE_REBALANCE_INTERVAL_MS * 1000ULL &&
        _le_write_rebalance(lease, now_us)) {
        lease->last_rebalance_us = now_us;
        return LE_TX_REBALANCE;
    }
    return LE_TX_NONE;
}
