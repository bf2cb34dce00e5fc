#include "membership_internal.h"

#include <string.h>

#define _MB_PERIOD_MS 250
#define _MB_REMOTE_PERIOD_MS 1000
#define _MB_ZONE_LINKS 6
#define _MB_REMOTE_LINKS 1
#define _MB_SAMPLE_PEERS 2
#define _MB_SUSPECT_MS 800
#define _MB_DEAD_MS 1200
#define _MB_INDIRECT_DEAD_MS 30000
#define _MB_FORGET_MS 600000
#define _MB_LEAVING_REPEATS 8
#define _MB_PEER_CAPACITY 1024

/* -- private: periodic work ----------------------------------------------- */

/* Frees peers that have been dead or unheard of for forget_ms and are not in
   the platform's list. */
static void
_mb_forget_gone_peers(mb_machine *mb, uint64_t now_us)
{
    for (guint i = mb->peer_list->len; i > 0; i--) {
        const _mb_peer *peer = mb->peer_list->pdata[i - 1];
        bool gone = peer->state == CO_PEER_DEAD || !peer->incarnation;
        uint64_t since_us =
            peer->state == CO_PEER_DEAD ? peer->dead_us : peer->last_alive_us;
        if (gone && !peer->listed &&
            now_us - since_us >= _co_ms_to_us(mb->desc.forget_ms)) {
            g_ptr_array_remove_index(mb->peer_list, i - 1);
            g_hash_table_remove(mb->peers, peer->instance);
            mb->links_stale = true;
        }
    }
}

/* Moves the peers' last signs of life forward by the time in which this
   process itself was paused, since it could not receive heartbeats then. */
static void
_mb_discount_own_pause(mb_machine *mb, uint64_t now_us)
{
    uint64_t late_us = mb->next_work_us ? now_us - mb->next_work_us : 0;
    if (late_us < _MB_OWN_PAUSE_MIN_US) {
        return;
    }
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        peer->last_direct_us = MIN(peer->last_direct_us + late_us, now_us);
        peer->last_alive_us = MIN(peer->last_alive_us + late_us, now_us);
    }
}

/* Once per _MB_WORK_PERIOD_US, or earlier if heartbeats were made due: checks
   the time-outs of all peers, updates the links and sends what is due. */
static void
_mb_work(mb_machine *mb, uint64_t now_us)
{
    if (now_us < mb->next_work_us) {
        return;
    }
    _mb_discount_own_pause(mb, now_us);
    mb->next_work_us = now_us + _MB_WORK_PERIOD_US;
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer_check_timeouts(mb, mb->peer_list->pdata[i], now_us);
    }
    _mb_forget_gone_peers(mb, now_us);
    _mb_update_links(mb, now_us);
    _mb_send_due(mb, now_us);
}

/* -- public: creation ----------------------------------------------------- */

static mb_desc
_mb_resolve_defaults(const mb_desc *desc)
{
    mb_desc resolved = *desc;
    resolved.instance = g_strdup(desc->instance);
    resolved.zone = g_strdup(desc->zone);
    resolved.address = g_strdup(desc->address);
    resolved.period_ms = _co_or_default(desc->period_ms, _MB_PERIOD_MS);
    resolved.remote_period_ms =
        _co_or_default(desc->remote_period_ms, _MB_REMOTE_PERIOD_MS);
    resolved.zone_links = _co_or_default(desc->zone_links, _MB_ZONE_LINKS);
    resolved.remote_links =
        _co_or_default(desc->remote_links, _MB_REMOTE_LINKS);
    resolved.sample_peers = MIN(
        _co_or_default(desc->sample_peers, _MB_SAMPLE_PEERS), MB_SAMPLE_MAX);
    resolved.suspect_ms = _co_or_default(desc->suspect_ms, _MB_SUSPECT_MS);
    resolved.dead_ms = _co_or_default(desc->dead_ms, _MB_DEAD_MS);
    resolved.indirect_dead_ms =
        _co_or_default(desc->indirect_dead_ms, _MB_INDIRECT_DEAD_MS);
    resolved.forget_ms = _co_or_default(desc->forget_ms, _MB_FORGET_MS);
    resolved.leaving_repeats =
        _co_or_default(desc->leaving_repeats, _MB_LEAVING_REPEATS);
    resolved.peer_capacity =
        _co_or_default(desc->peer_capacity, _MB_PEER_CAPACITY);
    return resolved;
}

mb_machine *
mb_create(const mb_desc *desc)
{
    if (!desc->instance || !desc->zone || !desc->address ||
        !desc->incarnation) {
        return NULL;
    }
    mb_machine *mb = g_new0(mb_machine, 1);
    mb->desc = _mb_resolve_defaults(desc);
    mb->outbox = _co_outbox_new(sizeof(mb_action));
    mb->rand = g_rand_new_with_seed((guint32)(desc->seed ? desc->seed : 1));
    mb->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _mb_peer_free);
    mb->peer_list = g_ptr_array_new();
    mb->leaving_servers = g_ptr_array_new_with_free_func(g_free);
    mb->leaving_set = g_hash_table_new(g_str_hash, g_str_equal);
    mb->incarnation = desc->incarnation;
    mb->state = CO_PEER_STARTING;
    mb->sample_cursor = g_rand_int(mb->rand);
    return mb;
}

void
mb_destroy(mb_machine *mb)
{
    if (mb) {
        g_hash_table_unref(mb->leaving_set);
        g_ptr_array_unref(mb->leaving_servers);
        g_ptr_array_unref(mb->peer_list);
        g_hash_table_unref(mb->peers);
        g_rand_free(mb->rand);
        _co_outbox_free(mb->outbox);
        g_free((char *)mb->desc.instance);
        g_free((char *)mb->desc.zone);
        g_free((char *)mb->desc.address);
        g_free(mb);
    }
}

/* -- public: commands ----------------------------------------------------- */

void
mb_set_state(mb_machine *mb, uint64_t now_us, co_peer_state state)
{
    if (mb->state != state) {
        mb->state = state;
        _mb_schedule_send_to_linked(mb, now_us);
        _mb_work(mb, now_us);
    }
}

void
mb_set_incarnation(mb_machine *mb, uint64_t now_us, uint64_t incarnation)
{
    mb->incarnation = incarnation;
    /* Acknowledgements of the old incarnation's heartbeats no longer count. */
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        memset(peer->sent, 0, sizeof(peer->sent));
    }
    _mb_schedule_send_to_linked(mb, now_us);
    _mb_work(mb, now_us);
}

void
mb_set_config_version(mb_machine *mb, uint64_t now_us, uint64_t version)
{
    if (mb->config_version != version) {
        mb->config_version = version;
        _mb_schedule_send_to_linked(mb, now_us);
        _mb_work(mb, now_us);
    }
}

er_code
mb_feed(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    er_code code = ER_OK;
    switch (event->type) {
    case MB_EVENT_TICK:
        break;
    case MB_EVENT_HEARTBEAT:
        code = _mb_on_heartbeat(mb, now_us, event);
        break;
    case MB_EVENT_LISTED:
        code = _mb_on_listed(mb, now_us, event);
        break;
    case MB_EVENT_UNLISTED:
        if (!event->instance) {
            return ER_BAD_REQUEST;
        }
        _mb_on_unlisted(mb, event->instance);
        break;
    case MB_EVENT_SERVER_LEAVING:
        if (!event->server) {
            return ER_BAD_REQUEST;
        }
        _mb_add_leaving_server(mb, now_us, event->server);
        break;
    case MB_EVENT_REFUSE_ACKS:
        if (!event->instance) {
            return ER_BAD_REQUEST;
        }
        _mb_on_refuse_acks(mb, event);
        break;
    case MB_EVENT_DEFAULT:
    case MB_EVENT_NUM:
        return ER_BAD_REQUEST;
    }
    _mb_work(mb, now_us);
    return code;
}

bool
mb_next_action(mb_machine *mb, mb_action *action)
{
    return _co_outbox_pop(mb->outbox, action);
}

/* -- public: queries ------------------------------------------------------ */

uint64_t
mb_query_wakeup_us(const mb_machine *mb)
{
    return mb->next_work_us;
}

static mb_peer
_mb_describe(const _mb_peer *peer)
{
    return (mb_peer){
        .instance = peer->instance,
        .zone = peer->zone,
        .address = peer->address,
        .incarnation = peer->incarnation,
        .sequence = peer->sequence,
        .config_version = peer->config_version,
        .state = peer->state,
    };
}

bool
mb_query_peer(const mb_machine *mb, const char *instance, mb_peer *peer)
{
    const _mb_peer *known = _mb_peer_find(mb, instance);
    if (known) {
        *peer = _mb_describe(known);
    }
    return known != NULL;
}

uint32_t
mb_query_count(const mb_machine *mb, co_peer_state state)
{
    uint32_t count = 0;
    for (guint i = 0; i < mb->peer_list->len; i++) {
        const _mb_peer *peer = mb->peer_list->pdata[i];
        bool counted = state == CO_PEER_DEFAULT ? _mb_peer_alive(peer)
                                                : peer->state == state;
        count += counted;
    }
    return count;
}

void
mb_query_each(const mb_machine *mb,
              void (*call)(const mb_peer *peer, void *user_data),
              void *user_data)
{
    for (guint i = 0; i < mb->peer_list->len; i++) {
        mb_peer peer = _mb_describe(mb->peer_list->pdata[i]);
        call(&peer, user_data);
    }
}

bool
mb_query_server_leaving(const mb_machine *mb, const char *server)
{
    return g_hash_table_contains(mb->leaving_set, server);
}
