/* Passes messages of other instances and membership changes to the tasks. */
#include "daemon_private.h"

/* -- membership ----------------------------------------------------------- */

static void
_dn_handle_summary(dn_daemon *daemon, const Lacewing__ServerSummary *from)
{
    lwd_summary summary = {
        .sequence = from->sequence,
        .running = from->running,
        .waiting = from->waiting,
        .backlog_ms = from->backlog_ms,
        .token_interval_us = from->token_interval_us,
        .ejected = from->ejected,
        .load_wait_ms = from->load_wait_ms,
    };
    for (size_t i = 0; i < from->n_changes && i < LWD_SUMMARY_CHANGES; i++) {
        summary.changes[i].adapter_tag = from->changes[i]->model_tag;
        summary.changes[i].resident = from->changes[i]->resident;
        summary.change_count++;
    }
    sc_receive_summary(daemon->scheduler, from->server, &summary);
}

/* Uses a peer's report while the table has not told the owner of a server.
   If the table is down from the start, there is no other source. */
static void
_dn_set_owner_if_unknown(dn_daemon *daemon, const Lacewing__Ownership *from)
{
    const ow_machine *machine = on_query_machine(daemon->owner);
    if (!from->drained && !ow_query_owner(machine, from->server, NULL)) {
        sc_set_owner(daemon->scheduler, from->server, from->instance);
    }
}

static void
_dn_handle_ownership(dn_daemon *daemon, const Lacewing__Ownership *from)
{
    _dn_set_owner_if_unknown(daemon, from);
    on_feed(daemon->owner,
            &(ow_event){.type = from->drained ? OW_EVENT_OLD_OWNER_DRAINED
                                              : OW_EVENT_OWNER_REPORTED,
                        .server = from->server,
                        .instance = from->instance,
                        .fence = from->fence});
}

static void
_dn_handle_config_text(dn_daemon *daemon, const char *instance,
                       const Lacewing__ConfigText *from)
{
    cf_feed(daemon->config, &(cc_event){.type = CC_EVENT_TEXT_RECEIVED,
                                        .instance = instance,
                                        .version = from->version,
                                        .text = from->text,
                                        .snapshot = from->snapshot});
    _dn_set_ready_if_configured(daemon);
}

static void
_dn_handle_loan_grant(dn_daemon *daemon, const char *instance,
                      const Lacewing__LoanGrant *from)
{
    wg_feed(daemon->weights, &(ws_event){.type = WS_EVENT_LOAN_GRANT,
                                         .instance = instance,
                                         .number = from->number,
                                         .rate_milli = from->loads_per_s_milli,
                                         .duration_ms = from->duration_ms});
}

static void
_dn_on_message(const pe_peer *peer, const Lacewing__Envelope *envelope,
               void *data)
{
    dn_daemon *daemon = data;
    if (fw_receive_message(daemon->forwards, peer, envelope)) {
        return;
    }
    switch (envelope->body_case) {
    case LACEWING__ENVELOPE__BODY_SUMMARY:
        _dn_handle_summary(daemon, envelope->summary);
        break;
    case LACEWING__ENVELOPE__BODY_OWNERSHIP:
        _dn_handle_ownership(daemon, envelope->ownership);
        break;
    case LACEWING__ENVELOPE__BODY_SUSPECT:
        sc_receive_suspect(daemon->scheduler, envelope->suspect->fingerprint,
                           envelope->suspect->deaths);
        break;
    case LACEWING__ENVELOPE__BODY_LOAN_ASK:
        wg_feed(
            daemon->weights,
            &(ws_event){.type = WS_EVENT_LOAN_REQUEST,
                        .instance = peer->instance,
                        .number = envelope->loan_ask->number,
                        .rate_milli = envelope->loan_ask->loads_per_s_milli});
        break;
    case LACEWING__ENVELOPE__BODY_LOAN_GRANT:
        _dn_handle_loan_grant(daemon, peer->instance, envelope->loan_grant);
        break;
    case LACEWING__ENVELOPE__BODY_CONFIG_FETCH:
        cf_feed(daemon->config,
                &(cc_event){.type = CC_EVENT_FETCH_REQUESTED,
                            .instance = peer->instance,
                            .version = envelope->config_fetch->version});
        break;
    case LACEWING__ENVELOPE__BODY_CONFIG_TEXT:
        _dn_handle_config_text(daemon, peer->instance, envelope->config_text);
        break;
    default:
        break;
    }
}

static void
_dn_on_link_lost(const char *instance, void *data)
{
    dn_daemon *daemon = data;
    sc_set_reachable(daemon->scheduler, instance, false);
    fw_handle_link_lost(daemon->forwards, instance);
    sc_handle_link_lost(daemon->scheduler, instance);
}

static void
_dn_handle_peer_state(dn_daemon *daemon, const mb_action *action)
{
    on_feed(daemon->owner, &(ow_event){.type = OW_EVENT_PEER_STATE,
                                       .instance = action->instance,
                                       .zone = action->zone,
                                       .incarnation = action->incarnation,
                                       .state = action->state});
    if (!action->incarnation) { /* not known yet */
        return;
    }
    if (action->state == CO_PEER_SUSPECT || action->state == CO_PEER_DEAD) {
        sc_set_reachable(daemon->scheduler, action->instance, false);
    }
    bool alive = action->state != CO_PEER_DEAD;
    wg_feed(daemon->weights, &(ws_event){.type = WS_EVENT_PEER,
                                         .instance = action->instance,
                                         .alive = alive});
    cs_update_peer(daemon->calls, action->instance, action->incarnation,
                   alive);
    if (!alive) {
        cf_feed(daemon->config, &(cc_event){.type = CC_EVENT_PEER_GONE,
                                            .instance = action->instance});
    }
}

static void
_dn_handle_heard(dn_daemon *daemon, const mb_action *action)
{
    sc_set_reachable(daemon->scheduler, action->instance, true);
    on_feed(daemon->owner,
            &(ow_event){.type = OW_EVENT_HEARTBEAT_RECEIVED,
                        .instance = action->instance,
                        .incarnation = action->incarnation,
                        .asks_to_watch = action->asks_to_watch});
    cf_feed(daemon->config, &(cc_event){.type = CC_EVENT_PEER_VERSION,
                                        .instance = action->instance,
                                        .version = action->version});
    _dn_set_ready_if_configured(daemon);
}

static void
_dn_on_membership_action(const mb_action *action, void *data)
{
    dn_daemon *daemon = data;
    switch (action->type) {
    case MB_ACTION_SEND:
        if (action->heartbeat.watch) {
            on_feed(daemon->owner,
                    &(ow_event){.type = OW_EVENT_HEARTBEAT_SENT,
                                .instance = action->instance,
                                .zone = action->zone,
                                .incarnation = action->incarnation});
        }
        break;
    case MB_ACTION_PEER_STOPPED_WATCHING:
        on_feed(daemon->owner,
                &(ow_event){.type = OW_EVENT_PEER_STOPPED_WATCHING,
                            .instance = action->instance,
                            .zone = action->zone,
                            .incarnation = action->incarnation});
        break;
    case MB_ACTION_PEER_CHANGED:
        _dn_handle_peer_state(daemon, action);
        break;
    case MB_ACTION_HEARTBEAT_RECEIVED:
        _dn_handle_heard(daemon, action);
        break;
    case MB_ACTION_HEARTBEAT_ACKED:
        on_feed(daemon->owner, &(ow_event){.type = OW_EVENT_HEARTBEAT_ACKED,
                                           .instance = action->instance,
                                           .incarnation = action->incarnation,
                                           .sent_us = action->sent_us});
        break;
    case MB_ACTION_SERVER_LEAVING:
        sc_set_leaving(daemon->scheduler, action->server);
        cs_set_leaving(daemon->calls, action->server);
        break;
    case MB_ACTION_DEFAULT:
    case MB_ACTION_NUM:
        break;
    }
}

static void
_dn_on_instances_listed(const pf_instances_result *result, void *data)
{
    dn_daemon *daemon = data;
    for (size_t i = 0; result->code == ER_OK && i < result->count; i++) {
        const pf_instance *instance = &result->instances[i];
        if (instance->kind == PF_INSTANCE_SERVER && instance->leaving) {
            mm_announce_server_leaving(daemon->members, instance->name);
        }
    }
}

static void
_dn_on_instance_unlisted(const char *instance, void *data)
{
    on_feed(((dn_daemon *)data)->owner,
            &(ow_event){.type = OW_EVENT_INSTANCE_GONE, .instance = instance});
}

const mm_callbacks _dn_members_callbacks = {
    .message = _dn_on_message,
    .link_lost = _dn_on_link_lost,
    .membership_action = _dn_on_membership_action,
    .instances_listed = _dn_on_instances_listed,
    .instance_unlisted = _dn_on_instance_unlisted,
};
