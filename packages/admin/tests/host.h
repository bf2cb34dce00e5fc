/*
 * A host for tests of the administration API. It commits changes to a table in
 * memory with the same keys as the chain of the control package, and applies
 * its own changes at once, but never those of other hosts. Two hosts that
 * share a table act as two daemons, of which one is behind.
 */
#ifndef LACEWING_ADMIN_TEST_HOST_H
#define LACEWING_ADMIN_TEST_HOST_H

#include "lacewing/admin.h"
#include <check.h>
#include <string.h>

typedef struct host {
    ad_host base;
    pf_table *table;
    dc_config *config;
    uint64_t version;
    SoupServer *server;
    SoupSession *session;
    ad_admin *admin;
    char *url;
} host;

/* A change that is being committed. */
typedef struct submission {
    host *committer; /* host that applies it */
    char *text;
    uint64_t expect;
    ad_outcome_callback callback;
    void *user_data;
} submission;

static void
host_apply_edits(host *self, const char *text)
{
    g_autoptr(dc_edits) edits = NULL;
    dc_config *next = NULL;
    ck_assert_int_eq(dc_edits_parse(text, &edits, NULL), ER_OK);
    ck_assert_int_eq(dc_apply_edits(self->config, edits, &next, NULL), ER_OK);
    dc_unref(self->config);
    self->config = next;
    self->version++;
}

static void
host_on_commit(const pf_commit_result *result, void *data)
{
    submission *sent = data;
    if (result->code == ER_OK) {
        host_apply_edits(sent->committer, sent->text);
    }
    const ad_outcome outcome = {.code = result->code,
                                .version = sent->expect + 1};
    sent->callback(&outcome, sent->user_data);
    g_free(sent->text);
    g_free(sent);
}

static void
host_submit(ad_host *base, const ad_change *change,
            ad_outcome_callback callback, void *user_data)
{
    host *self = (host *)base;
    submission *sent = g_new0(submission, 1);
    *sent = (submission){.committer = self,
                         .text = g_strdup(change->text),
                         .expect = change->expect,
                         .callback = callback,
                         .user_data = user_data};
    g_autofree char *key = g_strdup_printf(
        "config/change/%012" G_GUINT64_FORMAT, change->expect + 1);
    g_autofree char *audit_key = ad_query_change_key(change->expect + 1);
    g_autoptr(GBytes) text = g_bytes_new(change->text, strlen(change->text));
    g_autoptr(GBytes) audit =
        g_bytes_new(change->audit, strlen(change->audit));
    const pf_op ops[] = {{.key = key, .value = text},
                         {.key = audit_key, .value = audit}};
    pf_table_commit(self->table, ops, G_N_ELEMENTS(ops), host_on_commit, sent);
}

static dc_config *
host_config(ad_host *base, uint64_t *version)
{
    host *self = (host *)base;
    *version = self->version;
    return self->config;
}

static char *
host_status(ad_host *base)
{
    host *self = (host *)base;
    return g_strdup_printf(
        "{\"instance\":\"test\",\"config_version\":%" G_GUINT64_FORMAT
        ",\"behind\":[]}",
        self->version);
}

static char *
host_servers(ad_host *base)
{
    (void)base;
    return g_strdup("[{\"name\":\"engine-1\",\"owner\":\"test\"}]");
}

static char *
host_explain(ad_host *base, const char *request, const char *team)
{
    (void)base;
    bool known = strcmp(request, "r-1") == 0;
    bool own = !team || strcmp(team, "volunteers") == 0;
    return known && own ? g_strdup("{\"request\":\"r-1\"}") : NULL;
}

static const ad_host_vt host_vt = {.config = host_config,
                                   .submit = host_submit,
                                   .status = host_status,
                                   .servers = host_servers,
                                   .explain = host_explain};

static char *
host_hash(const char *secret)
{
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, secret, -1);
}

/* Returns the configuration of the tests. Its API keys are op-key, editor-key
   and caller-key (team volunteers), and other-key (editor of team others). */
static char *
host_sample(void)
{
    g_autofree char *op = host_hash("op-key");
    g_autofree char *editor = host_hash("editor-key");
    g_autofree char *caller = host_hash("caller-key");
    g_autofree char *other = host_hash("other-key");
    return g_strdup_printf(
        "[deployment]\nname=sample\n[zone a]\n"
        "[server engine-1]\nzone=a\naddress=10.0.0.1:80\nfence=check\n"
        "[server engine-2]\nzone=a\naddress=10.0.0.2:80\n"
        "[server order-1]\nzone=a\naddress=10.0.0.3:80\nkind=service\n"
        "[model base]\n"
        "[team operators]\nkeys=operator:%s\n"
        "[team volunteers]\nkeys=editor:%s;caller:%s\n"
        "[team others]\nkeys=editor:%s\n"
        "[adapter binder]\nmodel=base\nteam=volunteers\nversions=1\n"
        "[adapter other]\nmodel=base\nteam=others\nversions=1\n"
        "[operation quote]\ndeadline_ms=10000\n"
        "[operation book]\nkind=call\n",
        op, editor, caller, other);
}

/* Creates a host on table, or on a new table if table is NULL. */
static host *
host_create(pf_table *table)
{
    host *self = g_new0(host, 1);
    self->base.vt = &host_vt;
    self->table = table ? table : pf_memory_table_create();
    self->version = 1;
    g_autofree char *text = host_sample();
    er_status status = {0};
    ck_assert_msg(dc_parse(text, "sample", &self->config, &status) == ER_OK,
                  "%s", status.message);
    self->server = soup_server_new(NULL, NULL);
    ck_assert(soup_server_listen_local(self->server, 0,
                                       SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
    GSList *uris = soup_server_get_uris(self->server);
    self->url =
        g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    self->session = soup_session_new();
    self->admin = ad_setup(&(ad_desc){
        .server = self->server, .table = self->table, .host = &self->base});
    return self;
}

static void
host_destroy(host *self, bool with_table)
{
    ck_assert_uint_eq(ad_query_open_calls(self->admin), 0);
    ad_shutdown(self->admin);
    soup_session_abort(self->session);
    g_object_unref(self->session);
    soup_server_disconnect(self->server);
    g_object_unref(self->server);
    if (with_table) {
        pf_table_destroy(self->table);
    }
    dc_unref(self->config);
    g_free(self->url);
    g_free(self);
}

#endif
