#include "lease_private.h"

#include "exchange.pb-c.h"
#include <string.h>

/* The row of an era is written by one instance or few: each begins this much
   later at most, by its name. */
#define _LE_SETTLE_SPREAD_US 4000000

/* -- private: restorations of the store ----------------------------------- */

/* Returns the longest time in which an instance may still give orders that
   does not know of the restoration yet, and until another one may after it. */
static uint64_t
_le_unnoticed_lease_us(const le_lease *lease)
{
    uint64_t longest_us = MAX(le_validity_us(lease), lease->valid_us);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        longest_us = MAX(longest_us, ((le_peer_row *)value)->valid_us);
    }
    return longest_us + lease->guard_us;
}

/* Notes that what is known of holders may be older than what was written. */
static void
_le_mark_outdated(le_lease *lease, uint64_t now_us)
{
    lease->restored_until_us = now_us + _le_unnoticed_lease_us(lease);
    bool valid = le_query_lease_valid(lease, now_us) && !lease->left;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        le_server_row *server = value;
        server->held_before =
            valid && (server->held_before || le_holds_server(lease, server));
        server->outdated = true;
    }
}

void
le_note_era(le_lease *lease, uint64_t now_us, uint64_t version)
{
    uint64_t era = dl_query_era(version);
    if (version == 0) {
        return;
    }
    if (!lease->era_known) {
        lease->era = era;
        lease->era_known = true;
        return;
    }
    if (era <= lease->era) {
        return;
    }
    lease->era = era;
    lease->era_settled = false;
    lease->era_renewed = false;
    lease->table_known = false;
    lease->contact_since_us = now_us;
    lease->next_renew_us = now_us;
    _le_mark_outdated(lease, now_us);
}

void
le_feed_era_row(le_lease *lease, const char *era, const dl_row *row)
{
    if (row->value && g_ascii_strtoull(era, NULL, 10) == lease->era) {
        lease->era_settled = true;
    }
}

static bool
_le_any_holder_row(const le_lease *lease)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const le_server_row *)value)->version) {
            return true;
        }
    }
    return false;
}

void
le_check_era_settled(le_lease *lease, uint64_t now_us, bool first_read)
{
    /* A store without eras is never restored. */
    lease->era_settled = lease->era_settled || lease->era == 0;
    if (first_read && !lease->era_settled && _le_any_holder_row(lease)) {
        _le_mark_outdated(lease, now_us);
    }
    /* Most others find the row of the first one. */
    lease->settle_us = MAX(now_us, lease->restored_until_us) +
                       g_str_hash(lease->instance) % _LE_SETTLE_SPREAD_US;
}

/* -- private: rows -------------------------------------------------------- */

void
le_free_peer(void *data)
{
    le_peer_row *peer = data;
    g_free(peer->instance);
    g_free(peer->zone);
    g_free(peer->address);
    g_free(peer);
}

void
le_free_server(void *data)
{
    le_server_row *server = data;
    g_free(server->id);
    g_free(server->zone);
    g_free(server->holder);
    g_free(server);
}

void
le_clear_write(void *data)
{
    GBytes *value = ((dl_write *)data)->value;
    if (value) {
        g_bytes_unref(value);
    }
}

le_server_row *
le_get_or_add_server(le_lease *lease, const char *id)
{
    le_server_row *server = g_hash_table_lookup(lease->servers, id);
    if (!server) {
        server = g_new0(le_server_row, 1);
        server->id = g_strdup(id);
        server->outdated = lease->restored_until_us != 0;
        g_hash_table_insert(lease->servers, server->id, server);
    }
    return server;
}

bool
le_is_self(const le_lease *lease, const char *instance)
{
    return strcmp(lease->instance, instance) == 0;
}

void
le_drop_registration(le_lease *lease)
{
    lease->registered = false;
    lease->row_version = 0;
    lease->renewed_us = 0;
    lease->next_renew_us = 0;
    lease->incarnation++;
}

static void
_le_handle_own_row_removed(le_lease *lease)
{
    if (lease->registered) {
        le_drop_registration(lease);
    }
    lease->row_version = 0; /* also an earlier process's, if not registered */
}

void
le_feed_instance_row(le_lease *lease, uint64_t now_us, const char *name,
                     const dl_row *row)
{
    le_peer_row *peer = g_hash_table_lookup(lease->peers, name);
    if (peer && row->version < peer->version) {
        return;
    }
    if (!row->value) {
        /* The name may be owned by the entry that is freed here. */
        bool self = le_is_self(lease, name);
        g_hash_table_remove(lease->peers, name);
        if (self && row->version > lease->row_version) {
            _le_handle_own_row_removed(lease);
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
        peer = g_new0(le_peer_row, 1);
        peer->instance = g_strdup(name);
        g_hash_table_insert(lease->peers, peer->instance, peer);
    }
    if (row->version != peer->version) {
        peer->version_since_us = now_us;
    }
    peer->version = row->version;
    peer->valid_us = read->valid_ms * 1000ULL;
    peer->seen_in_read = true;
    g_free(peer->zone);
    g_free(peer->address);
    peer->zone = g_strdup(read->zone);
    peer->address = g_strdup(read->address);
    peer->public = (le_peer){.instance = peer->instance,
                             .zone = peer->zone,
                             .address = peer->address,
                             .incarnation = read->incarnation,
                             .link_mbps = read->link_mbps,
                             .leaving = read->leaving};
    if (le_is_self(lease, name)) {
        lease->row_version = MAX(lease->row_version, row->version);
    }
    lacewing__exchange__instance_row__free_unpacked(read, NULL);
}

void
le_clear_holder(le_server_row *server, uint64_t now_us)
{
    g_clear_pointer(&server->holder, g_free);
    server->version = 0;
    server->row_since_us = now_us;
    server->incarnation = 0;
    server->given_up = false;
    server->giving_up = false;
    server->claimable_since_us = 0;
}

void
le_feed_server_row(le_lease *lease, uint64_t now_us, const char *id,
                   const dl_row *row)
{
    le_server_row *server = le_get_or_add_server(lease, id);
    server->seen_in_read = true;
    if (row->version <= MAX(server->version, server->removed_version)) {
        return;
    }
    le_clear_holder(server, now_us);
    if (!row->value) {
        server->removed_version = row->version;
        return;
    }
    server->version = row->version;
    gsize size = 0;
    const uint8_t *bytes = g_bytes_get_data(row->value, &size);
    Lacewing__Exchange__HolderRow *read =
        lacewing__exchange__holder_row__unpack(NULL, size, bytes);
    if (read) {
        server->holder = g_strdup(read->instance);
        server->incarnation = read->incarnation;
        server->given_up = read->given_up;
        if (read->era == dl_query_era(row->version)) {
            server->outdated = false;
            server->held_before = false;
        }
        else {
            /* From a copy, or a late write that was sent before. */
            server->outdated = true;
        }
        lacewing__exchange__holder_row__free_unpacked(read, NULL);
    }
}
