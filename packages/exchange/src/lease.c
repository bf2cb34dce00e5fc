#include "lease_private.h"

#include <string.h>

#define _LE_DEFAULT_LEASE_MS 3000
/* Added to lease_ms before another instance takes over, because clocks drift
   and timers fire late. */
#define _LE_GUARD_MARGIN_MS 300
/* Four times the number of instances in present deployments. */
#define _LE_DEFAULT_SUBSET_THRESHOLD 24 /* instances */
/* Pause after a transaction that failed, and how often it doubles: to 1.6 s
   at most, well below the time that a recovery takes. */
#define _LE_RETRY_MS 200
#define _LE_RETRY_MAX_DOUBLINGS 3

/* -- private: results ----------------------------------------------------- */

static void
_le_apply_renewal(le_lease *lease, uint64_t now_us, uint64_t version)
{
    if (!lease->registered) {
        lease->registered = true;
        lease->registered_us = now_us;
    }
    lease->row_version = version;
    lease->era_renewed = dl_query_era(version) == lease->era;
    lease->renewed_us = lease->tx_sent_us;
    lease->valid_us = lease->tx_valid_us;
    lease->next_renew_us = lease->tx_sent_us + le_renew_interval_us(lease);
}

static void
_le_apply_server_writes(le_lease *lease, uint64_t now_us, uint64_t version)
{
    for (guint i = 0; i < lease->tx_servers->len; i++) {
        le_server_row *server = lease->tx_servers->pdata[i];
        const dl_write *write = &g_array_index(lease->writes, dl_write, i);
        dl_row row = {.key = (char *)write->key,
                      .value = write->value,
                      .version = version};
        le_feed_server_row(lease, now_us, server->id, &row);
    }
}

static void
_le_apply_success(le_lease *lease, uint64_t now_us, uint64_t version)
{
    switch (lease->tx) {
    case LE_TX_RENEW:
        _le_apply_renewal(lease, now_us, version);
        break;
    case LE_TX_EXPIRE_PEER:
        g_hash_table_remove(lease->peers, lease->tx_peer);
        break;
    case LE_TX_CLAIM:
        if (lease->idle) {
            /* Holders renew more often than idle instances. */
            lease->next_renew_us = now_us;
        }
        _le_apply_server_writes(lease, now_us, version);
        break;
    case LE_TX_REBALANCE:
    case LE_TX_PRUNE:
        _le_apply_server_writes(lease, now_us, version);
        break;
    case LE_TX_GIVE_UP:
        lease->registered =
            lease->registered && lease->tx_servers->len == LE_TX_MAX_ROWS;
        _le_apply_server_writes(lease, now_us, version);
        break;
    default:
        break;
    }
}

/* Takes in the rows of instances that the store returned with a conflict.
   Rows of servers are left to the next read, which the user begins after a
   conflict: without the rows of their instances they would name holders that
   seem gone. */
static void
_le_apply_conflict(le_lease *lease, uint64_t now_us, const GArray *rows)
{
    for (guint i = 0; rows && i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        if (row->value && g_str_has_prefix(row->key, "i/")) {
            le_feed_row(lease, now_us, row);
        }
    }
}

static void
_le_apply_renewal_conflict(le_lease *lease, const GArray *rows)
{
    for (guint i = 0; rows && i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        const le_peer_row *self =
            g_hash_table_lookup(lease->peers, lease->instance);
        if (row->value && self &&
            self->public.incarnation == lease->incarnation) {
            lease->row_version =
                row->version; /* our own write, whose answer was lost */
            return;
        }
    }
    if (lease->registered) {
        le_drop_registration(lease);
    }
}

/* Backs off exponentially while the store does not answer. A renewal is
   retried sooner at first, because only a part of the lease's validity is
   left. */
static void
_le_note_failure(le_lease *lease, uint64_t now_us, le_tx_kind kind)
{
    uint32_t doublings = MIN(lease->failures, _LE_RETRY_MAX_DOUBLINGS);
    lease->failures++;
    lease->retry_us = now_us + (_LE_RETRY_MS * 1000ULL << doublings);
    if (kind == LE_TX_RENEW) {
        lease->next_renew_us =
            now_us + MIN(lease->renew_us / 4 << doublings, lease->renew_us);
    }
}

/* -- public --------------------------------------------------------------- */

le_lease *
le_create(const le_desc *desc)
{
    g_assert(desc->instance && desc->zone && desc->incarnation);
    le_lease *lease = g_new0(le_lease, 1);
    lease->instance = g_strdup(desc->instance);
    lease->zone = g_strdup(desc->zone);
    lease->address = g_strdup(desc->address ? desc->address : "");
    lease->link_mbps = desc->link_mbps;
    lease->incarnation = desc->incarnation;
    uint32_t lease_ms = desc->lease_ms ? desc->lease_ms : _LE_DEFAULT_LEASE_MS;
    lease->lease_us = lease_ms * 1000ULL;
    lease->guard_us = lease->lease_us + _LE_GUARD_MARGIN_MS * 1000ULL;
    lease->renew_us =
        desc->renew_ms ? desc->renew_ms * 1000ULL : lease->lease_us / 3;
    lease->subset_threshold = desc->subset_threshold
                                  ? desc->subset_threshold
                                  : _LE_DEFAULT_SUBSET_THRESHOLD;
    lease->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, le_free_peer);
    lease->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, le_free_server);
    lease->tx_servers = g_ptr_array_new();
    lease->conditions = g_array_new(FALSE, TRUE, sizeof(dl_condition));
    lease->writes = g_array_new(FALSE, TRUE, sizeof(dl_write));
    g_array_set_clear_func(lease->writes, le_clear_write);
    lease->keys = g_ptr_array_new_with_free_func(g_free);
    lease->counts_cache = g_new0(le_counts_cache, 1);
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
    g_free(lease->counts_cache);
    g_free(lease->instance);
    g_free(lease->zone);
    g_free(lease->address);
    g_free(lease);
}

void
le_feed_row(le_lease *lease, uint64_t now_us, const dl_row *row)
{
    lease->counts_cache->valid = false;
    le_note_era(lease, now_us, row->version);
    if (dl_query_era(row->version) < lease->era) {
        return; /* it was lost when the store was restored */
    }
    if (g_str_has_prefix(row->key, "i/")) {
        le_feed_instance_row(lease, now_us, row->key + 2, row);
    }
    else if (g_str_has_prefix(row->key, "o/")) {
        le_feed_server_row(lease, now_us, row->key + 2, row);
    }
    else if (g_str_has_prefix(row->key, "e/")) {
        le_feed_era_row(lease, row->key + 2, row);
    }
}

void
le_begin_read(le_lease *lease, uint64_t now_us, uint64_t version)
{
    le_note_era(lease, now_us, version);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((le_peer_row *)value)->seen_in_read = false;
    }
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((le_server_row *)value)->seen_in_read = false;
    }
}

void
le_end_read(le_lease *lease, uint64_t now_us)
{
    lease->counts_cache->valid = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        le_server_row *server = value;
        if (!server->seen_in_read && server->version) {
            le_clear_holder(server, now_us);
        }
    }
    g_autoptr(GPtrArray) gone = g_ptr_array_new();
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!((le_peer_row *)value)->seen_in_read) {
            g_ptr_array_add(gone, value);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        le_peer_row *peer = gone->pdata[i];
        dl_row row = {.version = peer->version + 1};
        le_feed_instance_row(lease, now_us, peer->instance, &row);
    }
    bool first_read = !lease->table_known && lease->restored_until_us == 0;
    if (!lease->table_known) {
        le_check_era_settled(lease, now_us, first_read);
    }
    lease->table_known = true;
}

void
le_note_store_answer(le_lease *lease, uint64_t now_us)
{
    lease->contact_since_us =
        lease->contact_since_us ? lease->contact_since_us : now_us;
}

void
le_note_store_interruption(le_lease *lease)
{
    lease->contact_since_us = 0;
}

void
le_put_server(le_lease *lease, const char *id, const char *zone)
{
    le_server_row *server = le_get_or_add_server(lease, id);
    server->unlisted_since_us = 0;
    if (g_strcmp0(server->zone, zone) != 0) {
        g_free(server->zone);
        server->zone = g_strdup(zone);
    }
}

void
le_remove_server(le_lease *lease, const char *id)
{
    le_server_row *server = g_hash_table_lookup(lease->servers, id);
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
    if (!lease->table_known || lease->tx != LE_TX_NONE) {
        return false;
    }
    g_array_set_size(lease->conditions, 0);
    g_array_set_size(lease->writes, 0);
    g_ptr_array_set_size(lease->keys, 0);
    g_ptr_array_set_size(lease->tx_servers, 0);
    lease->tx = le_fill_tx(lease, now_us);
    if (lease->tx == LE_TX_NONE) {
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
    lease->counts_cache->valid = false;
    le_tx_kind kind = lease->tx;
    if (dl_query_era(version) < lease->era &&
        (code == ER_OK || code == ER_CONFLICT)) {
        code = ER_PLATFORM_DOWN; /* of a store that was restored since */
    }
    if (code == ER_OK || code == ER_CONFLICT) {
        uint64_t era = lease->era;
        le_note_era(lease, now_us, version);
        lease->era_settled =
            lease->era == era && (lease->era_settled || kind == LE_TX_SETTLE);
    }
    if (code == ER_OK) {
        _le_apply_success(lease, now_us, version);
    }
    else if (code == ER_CONFLICT) {
        _le_apply_conflict(lease, now_us, rows);
        if (kind == LE_TX_RENEW) {
            _le_apply_renewal_conflict(lease, rows);
        }
    }
    if (code == ER_OK || code == ER_CONFLICT) {
        lease->failures = 0;
    }
    else {
        _le_note_failure(lease, now_us, kind);
    }
    lease->tx = LE_TX_NONE;
}

static const char *const _le_tx_kind_texts[] = {
    [LE_TX_EXPIRE_PEER] = "end", [LE_TX_CLAIM] = "claim",
    [LE_TX_GIVE_UP] = "give",    [LE_TX_PRUNE] = "remove",
    [LE_TX_REBALANCE] = "give",
};

static const char *const _le_holder_state_texts[LE_STATE_NUM] = {
    [LE_STATE_HELD_BY_PEER] = "held",
    [LE_STATE_NO_HOLDER] = "no holder",
    [LE_STATE_OURS] = "ours",
    [LE_STATE_OURS_OTHER_INCARNATION] = "ours, another incarnation",
    [LE_STATE_OURS_GIVING_UP] = "ours, being given up",
    [LE_STATE_GIVEN_UP] = "given up",
    [LE_STATE_HOLDER_RESTARTED] = "holder has another incarnation",
    [LE_STATE_HOLDER_GONE] = "holder has no row",
};

static const char *
_le_change_reason(const le_lease *lease, const le_server_row *server)
{
    switch (lease->tx) {
    case LE_TX_CLAIM:
        return _le_holder_state_texts[le_holder_state_of(lease, server)];
    case LE_TX_GIVE_UP:
        return "leaves";
    case LE_TX_REBALANCE:
        return "another instance holds fewer servers";
    default:
        return "not listed";
    }
}

/* Returns 0 for a row first seen after now_us, which is the time at which the
   present turn of the event loop began. */
static uint64_t
_le_age_us(uint64_t now_us, uint64_t since_us)
{
    return since_us && now_us > since_us ? now_us - since_us : 0;
}

void
le_each_change(const le_lease *lease, uint64_t now_us, le_change_callback call,
               void *user_data)
{
    if (lease->tx == LE_TX_EXPIRE_PEER) {
        const le_peer_row *peer =
            g_hash_table_lookup(lease->peers, lease->tx_peer);
        call(
            &(le_change){.kind = _le_tx_kind_texts[lease->tx],
                         .holder = peer->instance,
                         .why = "silent",
                         .version = peer->version,
                         .age_us = _le_age_us(now_us, peer->version_since_us)},
            user_data);
        return;
    }
    for (guint i = 0; i < lease->tx_servers->len; i++) {
        const le_server_row *server = lease->tx_servers->pdata[i];
        const le_peer_row *holder =
            server->holder ? g_hash_table_lookup(lease->peers, server->holder)
                           : NULL;
        call(
            &(le_change){
                .kind = _le_tx_kind_texts[lease->tx],
                .server = server->id,
                .holder = server->holder,
                .why = _le_change_reason(lease, server),
                .version = server->version,
                .age_us = _le_age_us(now_us, server->row_since_us),
                .holder_age_us =
                    holder ? _le_age_us(now_us, holder->version_since_us) : 0},
            user_data);
    }
}

uint32_t
le_query_read_pause_ms(const le_lease *lease)
{
    return (uint32_t)(le_validity_us(lease) / 1000 / 2);
}

uint64_t
le_query_fence(const le_lease *lease, uint64_t clock_us, const char *id)
{
    const le_server_row *server = g_hash_table_lookup(lease->servers, id);
    bool held = lease->registered && !lease->left &&
                clock_us < lease->renewed_us + lease->valid_us;
    return held && server && server->zone && le_holds_server(lease, server)
               ? server->version
               : 0;
}

const char *
le_query_holder(const le_lease *lease, const char *id)
{
    const le_server_row *server = g_hash_table_lookup(lease->servers, id);
    if (!server || !server->holder || server->given_up ||
        le_is_self(lease, server->holder)) {
        return NULL;
    }
    const le_peer_row *peer =
        g_hash_table_lookup(lease->peers, server->holder);
    return peer && peer->public.incarnation == server->incarnation
               ? server->holder
               : NULL;
}

bool
le_query_table_known(const le_lease *lease)
{
    return lease->table_known;
}

bool
le_query_lease_valid(const le_lease *lease, uint64_t clock_us)
{
    return lease->registered && clock_us < lease->renewed_us + lease->valid_us;
}

static uint64_t
_le_mix_bits(uint64_t number)
{
    number ^= number >> 31;
    number *= 0x9e3779b97f4a7c15ULL;
    return number ^ (number >> 29);
}

/* Computes the counts and digests anew if a row has changed since. */
static void
_le_refresh_counts(const le_lease *lease)
{
    if (lease->counts_cache->valid) {
        return;
    }
    uint64_t digest = 0;
    uint32_t live = 0;
    uint32_t others = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_peer_row *peer = value;
        digest ^=
            _le_mix_bits(g_str_hash(peer->instance) ^
                         peer->public.incarnation << 1 ^ peer->public.leaving);
        live += !peer->public.leaving;
        others += !peer->public.leaving && !le_is_self(lease, peer->instance);
    }
    uint64_t peer_digest = digest;
    digest ^= lease->era_settled ? _le_mix_bits(lease->era + 1) : 0;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_server_row *server = value;
        digest ^= server->version ? _le_mix_bits(g_str_hash(server->id) ^
                                                 server->version << 20 ^
                                                 dl_query_era(server->version))
                                  : 0;
    }
    *lease->counts_cache =
        (le_counts_cache){true, digest, peer_digest, MAX(live, 1), others};
}

uint32_t
le_query_live_count(const le_lease *lease)
{
    _le_refresh_counts(lease);
    return lease->counts_cache->live;
}

uint32_t
le_query_live_peer_count(const le_lease *lease)
{
    _le_refresh_counts(lease);
    return lease->counts_cache->others;
}

uint64_t
le_query_peer_digest(const le_lease *lease)
{
    _le_refresh_counts(lease);
    return lease->counts_cache->peer_digest;
}

uint64_t
le_query_digest(const le_lease *lease)
{
    _le_refresh_counts(lease);
    return lease->counts_cache->digest;
}

bool
le_query_all_given_up(const le_lease *lease)
{
    return lease->all_given_up;
}

void
le_each_peer(const le_lease *lease, le_peer_callback call, void *user_data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_peer_row *peer = value;
        if (!le_is_self(lease, peer->instance)) {
            call(&peer->public, user_data);
        }
    }
}
