/* Callbacks of the tasks: pass what a task reports to other tasks or send it
   to other instances. */
#include "daemon_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"

/* -- scheduler ------------------------------------------------------------ */

static bool
_dn_send_forward(const sc_forward *forward, void *data)
{
    return fw_send(((dn_daemon *)data)->forwards, forward);
}

static void
_dn_send_forward_cancel(uint64_t draft, uint32_t attempt, const char *instance,
                        void *data)
{
    fw_send_cancel(((dn_daemon *)data)->forwards, draft, attempt, instance);
}

static void
_dn_send_credit(uint64_t draft, uint32_t attempt, const char *instance,
                uint32_t tokens, void *data)
{
    fw_send_credit(((dn_daemon *)data)->forwards, draft, attempt, instance,
                   tokens);
}

/* Sends to every linked instance and counts the bytes. */
static void
_dn_broadcast(dn_daemon *daemon, const Lacewing__Envelope *envelope)
{
    size_t size = lacewing__envelope__get_packed_size(envelope);
    uint32_t links = pe_query_link_count(mm_query_peers(daemon->members));
    ct_add(CT_CONTROL_BYTES_OUT, (int64_t)(size * links));
    mm_broadcast(daemon->members, envelope);
}

static void
_dn_broadcast_summary(const char *server, const lwd_summary *from, void *data)
{
    Lacewing__ServerChange changes[LWD_SUMMARY_CHANGES];
    Lacewing__ServerChange *list[LWD_SUMMARY_CHANGES];
    for (uint32_t i = 0; i < from->change_count; i++) {
        lacewing__server_change__init(&changes[i]);
        changes[i].model_tag = from->changes[i].adapter_tag;
        changes[i].resident = from->changes[i].resident;
        list[i] = &changes[i];
    }
    Lacewing__ServerSummary summary = LACEWING__SERVER_SUMMARY__INIT;
    summary.server = (char *)server;
    summary.sequence = from->sequence;
    summary.running = from->running;
    summary.waiting = from->waiting;
    summary.backlog_ms = from->backlog_ms;
    summary.token_interval_us = from->token_interval_us;
    summary.ejected = from->ejected;
    summary.load_wait_ms = from->load_wait_ms;
    summary.n_changes = from->change_count;
    summary.changes = list;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_SUMMARY;
    envelope.summary = &summary;
    _dn_broadcast(data, &envelope);
    wg_set_load_wait(((dn_daemon *)data)->weights, server, from->load_wait_ms);
}

static void
_dn_broadcast_suspect(uint64_t fingerprint, uint32_t deaths, void *data)
{
    Lacewing__Suspect suspect = LACEWING__SUSPECT__INIT;
    suspect.fingerprint = fingerprint;
    suspect.deaths = deaths;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_SUSPECT;
    envelope.suspect = &suspect;
    _dn_broadcast(data, &envelope);
}

static void
_dn_on_fenced(const char *server, void *data)
{
    dn_daemon *daemon = data;
    /* The engine's fence is not reported; it is at least one higher. */
    uint64_t fence = 0;
    ow_query_owner(on_query_machine(daemon->owner), server, &fence);
    on_feed(daemon->owner, &(ow_event){.type = OW_EVENT_FENCE_REFUSED,
                                       .server = server,
                                       .fence = fence + 1});
}

static bool
_dn_may_command(const char *server, bool evict, void *data)
{
    return on_query_may_command(((dn_daemon *)data)->owner, server, evict);
}

static void
_dn_on_handover_drained(const char *server, void *data)
{
    on_handle_drained(((dn_daemon *)data)->owner, server);
}

static void
_dn_on_probe_done(const char *server, bool reached, void *data)
{
    on_feed(((dn_daemon *)data)->owner,
            &(ow_event){.type = OW_EVENT_PROBE_RESULT,
                        .server = server,
                        .reachable = reached});
}

static void
_dn_on_foreign_requests(const char *server, uint32_t count, void *data)
{
    on_feed(((dn_daemon *)data)->owner,
            &(ow_event){.type = OW_EVENT_FOREIGN_REQUESTS,
                        .server = server,
                        .foreign_requests = count});
}

static void
_dn_on_server_leaving(const char *server, void *data)
{
    mm_announce_server_leaving(((dn_daemon *)data)->members, server);
}

const sc_callbacks _dn_scheduler_callbacks = {
    .send_forward = _dn_send_forward,
    .cancel_forward = _dn_send_forward_cancel,
    .publish_summary = _dn_broadcast_summary,
    .publish_suspect = _dn_broadcast_suspect,
    .fenced = _dn_on_fenced,
    .may_order = _dn_may_command,
    .send_credit = _dn_send_credit,
    .handover_drained = _dn_on_handover_drained,
    .foreign_requests = _dn_on_foreign_requests,
    .probe_done = _dn_on_probe_done,
    .server_leaving = _dn_on_server_leaving,
};

/* -- configuration -------------------------------------------------------- */

static void
_dn_send_config_fetch(const char *instance, uint64_t version, void *data)
{
    Lacewing__ConfigFetch fetch = LACEWING__CONFIG_FETCH__INIT;
    fetch.version = version;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_CONFIG_FETCH;
    envelope.config_fetch = &fetch;
    mm_send(((dn_daemon *)data)->members, instance, &envelope);
}

static void
_dn_send_config_text(const char *instance, uint64_t version, bool snapshot,
                     const char *text, void *data)
{
    Lacewing__ConfigText config = LACEWING__CONFIG_TEXT__INIT;
    config.version = version;
    config.snapshot = snapshot;
    config.text = (char *)text;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_CONFIG_TEXT;
    envelope.config_text = &config;
    mm_send(((dn_daemon *)data)->members, instance, &envelope);
}

const cf_callbacks _dn_config_callbacks = {
    .changed = _dn_config_changed,
    .send_fetch = _dn_send_config_fetch,
    .send_text = _dn_send_config_text,
};

/* -- ownership ------------------------------------------------------------ */

/* Reports that owner owns the server, or, with drained, has nothing open on it
   any more. instance is the receiver; NULL: all linked instances. */
static void
_dn_send_ownership(dn_daemon *daemon, const char *instance, const char *server,
                   const char *owner, uint64_t fence, bool drained)
{
    Lacewing__Ownership ownership = LACEWING__OWNERSHIP__INIT;
    ownership.server = (char *)server;
    ownership.instance = (char *)owner;
    ownership.fence = fence;
    ownership.drained = drained;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_OWNERSHIP;
    envelope.ownership = &ownership;
    if (instance) {
        mm_send(daemon->members, instance, &envelope);
    }
    else {
        _dn_broadcast(daemon, &envelope);
    }
}

static void
_dn_on_server_acquired(const char *server, uint64_t fence,
                       uint64_t evict_after_us, void *data)
{
    dn_daemon *daemon = data;
    sc_own(daemon->scheduler, server, fence, evict_after_us);
    _dn_send_ownership(daemon, NULL, server, daemon->instance, fence, false);
}

static void
_dn_on_evict_after_changed(const char *server, uint64_t evict_after_us,
                           void *data)
{
    sc_set_evict_after(((dn_daemon *)data)->scheduler, server, evict_after_us);
}

static void
_dn_on_server_lost(const char *server, bool planned, void *data)
{
    sc_disown(((dn_daemon *)data)->scheduler, server, planned);
}

static void
_dn_on_owner_changed(const char *server, const char *instance, uint64_t fence,
                     void *data)
{
    (void)fence;
    sc_set_owner(((dn_daemon *)data)->scheduler, server, instance);
}

static void
_dn_send_drained(const char *server, const char *instance, uint64_t fence,
                 void *data)
{
    dn_daemon *daemon = data;
    _dn_send_ownership(daemon, instance, server, daemon->instance, fence,
                       true);
}

static void
_dn_probe_server(const char *server, void *data)
{
    sc_probe(((dn_daemon *)data)->scheduler, server);
}

static void
_dn_stop_acknowledging(const char *instance, uint64_t incarnation, void *data)
{
    mm_stop_acknowledging(((dn_daemon *)data)->members, instance, incarnation);
}

static gboolean
_dn_apply_next_incarnation(void *data)
{
    dn_daemon *daemon = data;
    daemon->incarnation_source = 0;
    daemon->incarnation = daemon->next_incarnation;
    mm_set_incarnation(daemon->members, daemon->incarnation);
    return G_SOURCE_REMOVE;
}

static void
_dn_on_incarnation_ended(uint64_t incarnation, void *data)
{
    dn_daemon *daemon = data;
    daemon->next_incarnation = incarnation;
    if (!daemon->incarnation_source) {
        daemon->incarnation_source = g_idle_add_full(
            G_PRIORITY_DEFAULT, _dn_apply_next_incarnation, daemon, NULL);
    }
}

const on_callbacks _dn_owner_callbacks = {
    .server_acquired = _dn_on_server_acquired,
    .evict_after_changed = _dn_on_evict_after_changed,
    .server_lost = _dn_on_server_lost,
    .owner_changed = _dn_on_owner_changed,
    .send_drained = _dn_send_drained,
    .probe_server = _dn_probe_server,
    .stop_acknowledging = _dn_stop_acknowledging,
    .incarnation_ended = _dn_on_incarnation_ended,
};

void
_dn_broadcast_owned_servers(uint64_t now_us, void *data)
{
    (void)now_us;
    dn_daemon *daemon = data;
    const dc_config *config = cf_query_config(daemon->config);
    uint32_t count = config ? dc_query_count(config, DC_SERVER) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const dc_server *server = dc_query_server_at(config, i);
        uint64_t fence = 0;
        ow_use use = ow_query_use(on_query_machine(daemon->owner),
                                  tm_query_now_us(daemon->timers),
                                  server->name, &fence);
        if (use == OW_USE_FULL || use == OW_USE_NO_EVICTIONS) {
            _dn_send_ownership(daemon, NULL, server->name, daemon->instance,
                               fence, false);
        }
    }
    _dn_set_ready_if_configured(daemon);
}

/* -- weights -------------------------------------------------------------- */

static void
_dn_on_weight_share(uint32_t rate_milli, uint32_t in_transit, void *data)
{
    sc_set_weight_share(((dn_daemon *)data)->scheduler, rate_milli,
                        in_transit);
}

static void
_dn_send_loan_ask(const char *instance, uint64_t number, uint32_t rate_milli,
                  void *data)
{
    Lacewing__LoanAsk ask = LACEWING__LOAN_ASK__INIT;
    ask.number = number;
    ask.loads_per_s_milli = rate_milli;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_LOAN_ASK;
    envelope.loan_ask = &ask;
    mm_send(((dn_daemon *)data)->members, instance, &envelope);
}

static void
_dn_send_loan_grant(const char *instance, uint64_t number, uint32_t rate_milli,
                    uint32_t duration_ms, void *data)
{
    Lacewing__LoanGrant grant = LACEWING__LOAN_GRANT__INIT;
    grant.number = number;
    grant.loads_per_s_milli = rate_milli;
    grant.duration_ms = duration_ms;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_LOAN_GRANT;
    envelope.loan_grant = &grant;
    mm_send(((dn_daemon *)data)->members, instance, &envelope);
}

const wg_callbacks _dn_weights_callbacks = {
    .share_changed = _dn_on_weight_share,
    .send_loan_ask = _dn_send_loan_ask,
    .send_loan_grant = _dn_send_loan_grant,
};
