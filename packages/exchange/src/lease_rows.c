#include "lease_private.h"

#include "exchange.pb-c.h"
#include <string.h>

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
