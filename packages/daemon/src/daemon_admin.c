/* The operators' port: serves the administration API, a status page for probes
   that needs no key, and, if enabled, a fault injection hook for tests. */
#include "daemon_private.h"

#include "http_reply.h"
#include "lacewing/json_depth.h"
#include "lacewing/log.h"
#include "listen.h"
#include <string.h>

/* -- private: host functions of the administration API -------------------- */

typedef struct _dn_host {
    ad_host base; /* first member */
    dn_daemon *daemon;
} _dn_host;

static dn_daemon *
_dn_daemon_of_host(ad_host *host)
{
    return ((_dn_host *)host)->daemon;
}

static dc_config *
_dn_host_config(ad_host *host, uint64_t *version)
{
    const dn_daemon *daemon = _dn_daemon_of_host(host);
    *version = cf_query_version(daemon->config);
    return (dc_config *)cf_query_config(daemon->config);
}

typedef struct _dn_submit {
    ad_outcome_callback call;
    void *user_data;
} _dn_submit;

static void
_dn_on_submitted(er_code code, uint64_t version, const char *text,
                 const char *who, void *data)
{
    (void)text;
    (void)who;
    g_autofree _dn_submit *submit = data;
    lg_write(code == ER_OK ? LG_CONFIG_ACCEPTED : LG_CONFIG_REFUSED, "why",
             er_query_name(code), NULL);
    submit->call(&(ad_outcome){.code = code, .version = version},
                 submit->user_data);
}

static void
_dn_host_submit(ad_host *host, const ad_change *change,
                ad_outcome_callback call, void *user_data)
{
    _dn_submit *submit = g_new0(_dn_submit, 1);
    submit->call = call;
    submit->user_data = user_data;
    er_code code = cf_submit(_dn_daemon_of_host(host)->config,
                             &(cc_submit_desc){.expect = change->expect,
                                               .id = change->id,
                                               .who = change->who,
                                               .text = change->text,
                                               .audit = change->audit},
                             _dn_on_submitted, submit);
    if (code != ER_OK) {
        _dn_on_submitted(code, 0, NULL, NULL, submit);
    }
}

static void
_dn_add_int(JsonBuilder *json, const char *name, int64_t value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_int_value(json, value);
}

static void
_dn_add_string(JsonBuilder *json, const char *name, const char *value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_string_value(json, value ? value : "");
}

static void
_dn_add_peer(const mb_peer *peer, void *data)
{
    static const char *const states[CO_PEER_STATE_NUM] = {
        [CO_PEER_DEFAULT] = "unknown", [CO_PEER_STARTING] = "starting",
        [CO_PEER_READY] = "ready",     [CO_PEER_LEAVING] = "leaving",
        [CO_PEER_SUSPECT] = "suspect", [CO_PEER_DEAD] = "dead",
    };
    JsonBuilder *json = data;
    json_builder_begin_object(json);
    _dn_add_string(json, "instance", peer->instance);
    _dn_add_string(json, "zone", peer->zone);
    _dn_add_string(json, "state",
                   states[MIN(peer->state, CO_PEER_STATE_NUM - 1)]);
    _dn_add_int(json, "config_version", (int64_t)peer->config_version);
    json_builder_end_object(json);
}

static void
_dn_add_outdated_instance(const char *instance, uint64_t version, void *data)
{
    JsonBuilder *json = data;
    json_builder_begin_object(json);
    _dn_add_string(json, "instance", instance);
    _dn_add_int(json, "config_version", (int64_t)version);
    json_builder_end_object(json);
}

static void
_dn_add_status(const dn_daemon *daemon, JsonBuilder *json)
{
    cl_stats claims = cs_query_stats(daemon->calls);
    _dn_add_string(json, "instance", daemon->instance);
    _dn_add_string(json, "zone", daemon->zone);
    _dn_add_int(json, "config_version",
                (int64_t)cf_query_version(daemon->config));
    json_builder_set_member_name(json, "ready");
    json_builder_add_boolean_value(json, daemon->ready);
    json_builder_set_member_name(json, "stopping");
    json_builder_add_boolean_value(json, daemon->stopping);
    json_builder_set_member_name(json, "table_down");
    json_builder_add_boolean_value(json, tb_query_down(daemon->table));
    _dn_add_int(json, "open_requests",
                ca_query_open_requests(daemon->callers));
    _dn_add_int(json, "claims", (int64_t)claims.claims);
    json_builder_set_member_name(json, "peers");
    json_builder_begin_array(json);
    mb_query_each(mm_query_machine(daemon->members), _dn_add_peer, json);
    json_builder_end_array(json);
    json_builder_set_member_name(json, "behind");
    json_builder_begin_array(json);
    cc_query_lagging_peers(cf_query_chain(daemon->config),
                           _dn_add_outdated_instance, json);
    json_builder_end_array(json);
}

static char *
_dn_json_text(JsonBuilder *json)
{
    g_autoptr(JsonNode) root = json_builder_get_root(json);
    return json_to_string(root, FALSE);
}

static char *
_dn_host_status(ad_host *host)
{
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    _dn_add_status(_dn_daemon_of_host(host), json);
    json_builder_end_object(json);
    return _dn_json_text(json);
}

static char *
_dn_host_servers(ad_host *host)
{
    g_autoptr(JsonBuilder) json = json_builder_new();
    sc_query_servers(_dn_daemon_of_host(host)->scheduler, json);
    return _dn_json_text(json);
}

static char *
_dn_host_explain(ad_host *host, const char *request, const char *team)
{
    g_autoptr(JsonBuilder) json = json_builder_new();
    if (!ex_query_json(_dn_daemon_of_host(host)->explain, request, team,
                       json)) {
        return NULL;
    }
    return _dn_json_text(json);
}

static const ad_host_vt _dn_host_vt = {
    .config = _dn_host_config,
    .submit = _dn_host_submit,
    .status = _dn_host_status,
    .servers = _dn_host_servers,
    .explain = _dn_host_explain,
};

/* -- private: pages ------------------------------------------------------- */

/* Serves status and servers to probes; needs no key. */
static void
_dn_on_status(SoupServer *soup, SoupServerMessage *message, const char *path,
              GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    const dn_daemon *daemon = data;
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    _dn_add_status(daemon, json);
    json_builder_set_member_name(json, "servers");
    sc_query_servers(daemon->scheduler, json);
    json_builder_end_object(json);
    hp_json(message, SOUP_STATUS_OK, json);
}

/* Test hook: {"zones":["z2"]} simulates a partition from these zones; an empty
   list ends it. */
static void
_dn_on_set_partition(SoupServer *soup, SoupServerMessage *message,
                     const char *path, GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    const dn_daemon *daemon = data;
    g_autoptr(GBytes) body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size = 0;
    const char *text = g_bytes_get_data(body, &size);
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!size || !jd_query_fits(text, size) ||
        !json_parser_load_from_data(parser, text, (gssize)size, NULL)) {
        hp_text(message, SOUP_STATUS_BAD_REQUEST, "text/plain",
                "the body is not JSON\n");
        return;
    }
    g_autoptr(GPtrArray) zones = g_ptr_array_new();
    JsonObject *object = json_node_get_object(json_parser_get_root(parser));
    JsonArray *list = json_object_get_array_member(object, "zones");
    for (guint i = 0; list && i < json_array_get_length(list); i++) {
        g_ptr_array_add(zones, (void *)json_array_get_string_element(list, i));
    }
    g_ptr_array_add(zones, NULL);
    pe_set_partitioned_zones(mm_query_peers(daemon->members),
                             (const char *const *)zones->pdata);
    hp_text(message, SOUP_STATUS_OK, "application/json", "{}");
}

/* -- private: the port ---------------------------------------------------- */

static bool
_dn_admin_listen(dn_daemon *daemon, const char *text, er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GSocketAddress) address = ln_parse_address(text, status);
    SoupServerListenOptions options = 0;
    if (!address) {
        return false;
    }
    if (daemon->tls) {
        soup_server_set_tls_certificate(daemon->admin,
                                        tl_query_certificate(daemon->tls));
        options = SOUP_SERVER_LISTEN_HTTPS;
    }
    if (!soup_server_listen(daemon->admin, address, options, &error)) {
        er_set(status, ER_FILE, "%s: %s", text, error->message);
        return false;
    }
    return true;
}

/* -- shared with the other files of the daemon ---------------------------- */

bool
_dn_admin_setup(dn_daemon *daemon, const ds_settings *settings,
                er_status *status)
{
    daemon->admin = soup_server_new("server-header", "lacewing", NULL);
    soup_server_add_handler(daemon->admin, "/status", _dn_on_status, daemon,
                            NULL);
    if (settings->test_hooks) {
        soup_server_add_handler(daemon->admin, "/test/cut",
                                _dn_on_set_partition, daemon, NULL);
    }
    _dn_host *host = g_new0(_dn_host, 1);
    host->base.vt = &_dn_host_vt;
    host->daemon = daemon;
    daemon->admin_host = &host->base;
    daemon->admin_api = ad_setup(&(ad_desc){.server = daemon->admin,
                                            .table = daemon->pf_table,
                                            .host = daemon->admin_host});
    return _dn_admin_listen(daemon, settings->admin, status);
}

void
_dn_admin_shutdown(dn_daemon *daemon)
{
    if (daemon->admin) {
        ad_shutdown(daemon->admin_api);
        soup_server_disconnect(daemon->admin);
        g_clear_object(&daemon->admin);
        g_clear_pointer(&daemon->admin_host, g_free);
    }
}

void
_dn_admin_reload(dn_daemon *daemon)
{
    if (daemon->tls) {
        soup_server_set_tls_certificate(daemon->admin,
                                        tl_query_certificate(daemon->tls));
    }
}
