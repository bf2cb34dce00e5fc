#include "members.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

/* Default of mm_desc.list_period_ms. */
#define _MM_LIST_PERIOD_MS 2000

struct mm_members {
    mb_machine *machine;
    pe_peers *peers;
    pf_instances *instances;
    tm_service *timers;
    tm_timer list_timer;
    wk_wakeup wakeup;
    GHashTable *listed; /* names of instances in the platform's last list */
    GCancellable *cancellable; /* cancelled by mm_destroy(); list calls hold
                                  a reference */
    char *instance;
    const mm_callbacks *callbacks;
    void *user_data;
    bool executing; /* a callback of an action may feed further events */
};

static uint64_t
_mm_now_us(const mm_members *members)
{
    return tm_query_now_us(members->timers);
}

/* -- private: heartbeats on the wire -------------------------------------- */

static void
_mm_pack_peer(const mb_peer *from, Lacewing__HeartbeatPeer *to)
{
    lacewing__heartbeat_peer__init(to);
    to->instance = (char *)from->instance;
    to->incarnation = from->incarnation;
    to->state = from->state;
    to->sequence = from->sequence;
    to->address = (char *)from->address;
    to->zone = (char *)from->zone;
}

static void
_mm_send_heartbeat(mm_members *members, const mb_action *action)
{
    const mb_heartbeat *from = &action->heartbeat;
    Lacewing__HeartbeatPeer peers[MB_SAMPLE_MAX];
    Lacewing__HeartbeatPeer *peer_list[MB_SAMPLE_MAX];
    Lacewing__Heartbeat to = LACEWING__HEARTBEAT__INIT;
    for (size_t i = 0; i < from->peer_count && i < MB_SAMPLE_MAX; i++) {
        _mm_pack_peer(&from->peers[i], &peers[i]);
        peer_list[i] = &peers[i];
        to.n_peers = i + 1;
    }
    to.peers = peer_list;
    to.sequence = from->sequence;
    to.state = from->state;
    to.config_version = from->config_version;
    to.ack_sequence = from->ack_sequence;
    to.ack_incarnation = from->ack_incarnation;
    to.incarnation = from->incarnation;
    to.watch = from->watch;
    to.answer = from->answer;
    to.leaving_servers = (char **)from->leaving_servers;
    to.n_leaving_servers = from->leaving_count;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &to;
    if (pe_send(members->peers, action->instance, action->address,
                &envelope)) {
        ct_add(CT_CONTROL_BYTES_OUT,
               (int64_t)lacewing__envelope__get_packed_size(&envelope));
    }
}

static void
_mm_handle_heartbeat(mm_members *members, const pe_peer *peer,
                     const Lacewing__Heartbeat *from)
{
    mb_peer peers[MB_SAMPLE_MAX];
    size_t count = MIN(from->n_peers, MB_SAMPLE_MAX);
    for (size_t i = 0; i < count; i++) {
        peers[i] = (mb_peer){.instance = from->peers[i]->instance,
                             .zone = from->peers[i]->zone,
                             .address = from->peers[i]->address,
                             .incarnation = from->peers[i]->incarnation,
                             .sequence = from->peers[i]->sequence,
                             .state = (co_peer_state)from->peers[i]->state};
    }
    mb_heartbeat heartbeat = {
        .incarnation = from->incarnation,
        .sequence = from->sequence,
        .ack_sequence = from->ack_sequence,
        .ack_incarnation = from->ack_incarnation,
        .config_version = from->config_version,
        .state = (co_peer_state)from->state,
        .watch = from->watch,
        .answer = from->answer,
        .peers = peers,
        .peer_count = count,
        .leaving_servers = (const char *const *)from->leaving_servers,
        .leaving_count = from->n_leaving_servers,
    };
    mb_feed(members->machine, _mm_now_us(members),
            &(mb_event){.type = MB_EVENT_HEARTBEAT,
                        .instance = peer->instance,
                        .zone = peer->zone,
                        .address = peer->address,
                        .heartbeat = &heartbeat});
}

/* -- private: actions ----------------------------------------------------- */

static void
_mm_log_peer(const mb_action *action)
{
    if (action->state == CO_PEER_READY) {
        lg_write(LG_PEER_READY, "peer", action->instance, NULL);
    }
    else if (action->state == CO_PEER_LEAVING) {
        lg_write(LG_PEER_LEAVING, "peer", action->instance, NULL);
    }
    else if (action->state == CO_PEER_DEAD) {
        lg_write(LG_PEER_DEAD, "peer", action->instance, NULL);
    }
}

static void
_mm_execute_action(mm_members *members, const mb_action *action)
{
    members->callbacks->membership_action(action, members->user_data);
    if (action->type == MB_ACTION_SEND) {
        _mm_send_heartbeat(members, action);
    }
    else if (action->type == MB_ACTION_PEER_CHANGED) {
        _mm_log_peer(action);
        /* The link may be dead without an error; a new one may work. */
        if (action->state == CO_PEER_SUSPECT ||
            action->state == CO_PEER_DEAD) {
            pe_close_link(members->peers, action->instance);
        }
    }
}

static void
_mm_execute_actions(mm_members *members)
{
    if (members->executing) {
        return;
    }
    members->executing = true;
    mb_action action;
    while (mb_next_action(members->machine, &action)) {
        _mm_execute_action(members, &action);
    }
    members->executing = false;
    ct_set(CT_PEERS_READY, mb_query_count(members->machine, CO_PEER_READY));
    wk_set(&members->wakeup, mb_query_wakeup_us(members->machine));
}

static void
_mm_feed(mm_members *members, const mb_event *event)
{
    mb_feed(members->machine, _mm_now_us(members), event);
    _mm_execute_actions(members);
}

static void
_mm_on_tick(uint64_t now_us, void *data)
{
    (void)now_us;
    _mm_feed(data, &(mb_event){.type = MB_EVENT_TICK});
}

/* -- private: links ------------------------------------------------------- */

static void
_mm_on_message(const pe_peer *peer, const Lacewing__Envelope *envelope,
               void *data)
{
    mm_members *members = data;
    if (envelope->body_case == LACEWING__ENVELOPE__BODY_HEARTBEAT) {
        _mm_handle_heartbeat(members, peer, envelope->heartbeat);
        _mm_execute_actions(members);
        return;
    }
    members->callbacks->message(peer, envelope, members->user_data);
}

static void
_mm_on_lost(const char *instance, void *data)
{
    mm_members *members = data;
    members->callbacks->link_lost(instance, members->user_data);
}

/* -- private: the platform's list ----------------------------------------- */

typedef struct _mm_list_call {
    mm_members *members;
    GCancellable *cancellable;
} _mm_list_call;

static void
_mm_feed_listed(mm_members *members, const pf_instance *instance)
{
    if (strcmp(instance->name, members->instance) == 0) {
        return;
    }
    g_hash_table_add(members->listed, g_strdup(instance->name));
    _mm_feed(members, &(mb_event){.type = MB_EVENT_LISTED,
                                  .instance = instance->name,
                                  .zone = instance->zone,
                                  .address = instance->address,
                                  .leaving = instance->leaving});
}

static void
_mm_feed_unlisted(mm_members *members, GHashTable *before)
{
    GHashTableIter iter;
    void *name;
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_hash_table_contains(members->listed, name)) {
            _mm_feed(members,
                     &(mb_event){.type = MB_EVENT_UNLISTED, .instance = name});
            members->callbacks->instance_unlisted(name, members->user_data);
        }
    }
}

static void
_mm_handle_list(mm_members *members, const pf_instances_result *result)
{
    g_autoptr(GHashTable) before = members->listed;
    members->listed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (size_t i = 0; i < result->count; i++) {
        const pf_instance *instance = &result->instances[i];
        if (instance->kind == PF_INSTANCE_ENTRY) {
            _mm_feed_listed(members, instance);
        }
    }
    _mm_feed_unlisted(members, before);
}

static void
_mm_on_list(const pf_instances_result *result, void *data)
{
    _mm_list_call *call = data;
    if (!g_cancellable_is_cancelled(call->cancellable)) {
        if (result->code == ER_OK) {
            _mm_handle_list(call->members, result);
        }
        call->members->callbacks->instances_listed(result,
                                                   call->members->user_data);
    }
    g_object_unref(call->cancellable);
    g_free(call);
}

static void
_mm_start_list(uint64_t now_us, void *data)
{
    (void)now_us;
    mm_members *members = data;
    _mm_list_call *call = g_new0(_mm_list_call, 1);
    call->members = members;
    call->cancellable = g_object_ref(members->cancellable);
    pf_instances_list(members->instances, _mm_on_list, call);
}

static void
_mm_feed_seeds(mm_members *members, const char *const *seeds)
{
    for (; seeds && *seeds; seeds++) {
        g_auto(GStrv) parts = g_strsplit(*seeds, "@", 3);
        if (g_strv_length(parts) == 3 &&
            strcmp(parts[0], members->instance) != 0) {
            _mm_feed(members, &(mb_event){.type = MB_EVENT_LISTED,
                                          .instance = parts[0],
                                          .zone = parts[1],
                                          .address = parts[2]});
        }
    }
}

/* -- public --------------------------------------------------------------- */

mm_members *
mm_create(const mm_desc *desc, er_status *status)
{
    mm_members *members = g_new0(mm_members, 1);
    members->timers = desc->timers;
    members->instances = desc->instances;
    members->callbacks = desc->callbacks;
    members->user_data = desc->user_data;
    members->instance = g_strdup(desc->instance);
    members->cancellable = g_cancellable_new();
    members->listed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    members->machine = mb_create(&(mb_desc){.instance = desc->instance,
                                            .zone = desc->zone,
                                            .address = desc->address,
                                            .incarnation = desc->incarnation,
                                            .seed = desc->incarnation});
    wk_setup(&members->wakeup, desc->timers, _mm_on_tick, members);
    members->peers = pe_create(&(pe_desc){.instance = desc->instance,
                                          .zone = desc->zone,
                                          .address = desc->address,
                                          .secret = desc->secret,
                                          .incarnation = desc->incarnation,
                                          .tls = desc->tls,
                                          .on_message = _mm_on_message,
                                          .on_lost = _mm_on_lost,
                                          .user_data = members},
                               status);
    if (!members->peers) {
        mm_destroy(members);
        return NULL;
    }
    members->list_timer = tm_make_timer(
        desc->timers, &(tm_timer_desc){.period_ms = desc->list_period_ms
                                                        ? desc->list_period_ms
                                                        : _MM_LIST_PERIOD_MS,
                                       .call = _mm_start_list,
                                       .user_data = members});
    _mm_feed_seeds(members, desc->seeds);
    _mm_start_list(0, members);
    return members;
}

void
mm_destroy(mm_members *members)
{
    if (members) {
        g_cancellable_cancel(members->cancellable);
        g_object_unref(members->cancellable);
        tm_destroy_timer(members->timers, members->list_timer);
        wk_shutdown(&members->wakeup);
        pe_destroy(members->peers);
        mb_destroy(members->machine);
        g_hash_table_unref(members->listed);
        g_free(members->instance);
        g_free(members);
    }
}

void
mm_set_state(mm_members *members, co_peer_state state)
{
    mb_set_state(members->machine, _mm_now_us(members), state);
    _mm_execute_actions(members);
}

void
mm_set_incarnation(mm_members *members, uint64_t incarnation)
{
    pe_set_incarnation(members->peers, incarnation);
    mb_set_incarnation(members->machine, _mm_now_us(members), incarnation);
    _mm_execute_actions(members);
}

void
mm_set_config_version(mm_members *members, uint64_t version)
{
    mb_set_config_version(members->machine, _mm_now_us(members), version);
    _mm_execute_actions(members);
}

void
mm_stop_acknowledging(mm_members *members, const char *instance,
                      uint64_t incarnation)
{
    mb_feed(members->machine, _mm_now_us(members),
            &(mb_event){.type = MB_EVENT_REFUSE_ACKS,
                        .instance = instance,
                        .incarnation = incarnation});
}

void
mm_announce_server_leaving(mm_members *members, const char *server)
{
    _mm_feed(members,
             &(mb_event){.type = MB_EVENT_SERVER_LEAVING, .server = server});
}

bool
mm_send(mm_members *members, const char *instance,
        const Lacewing__Envelope *envelope)
{
    mb_peer peer = {0};
    const char *address = NULL;
    if (mb_query_peer(members->machine, instance, &peer)) {
        address = peer.address;
    }
    return pe_send(members->peers, instance, address, envelope);
}

void
mm_broadcast(mm_members *members, const Lacewing__Envelope *envelope)
{
    pe_broadcast(members->peers, envelope);
}

const mb_machine *
mm_query_machine(const mm_members *members)
{
    return members->machine;
}

pe_peers *
mm_query_peers(const mm_members *members)
{
    return members->peers;
}
