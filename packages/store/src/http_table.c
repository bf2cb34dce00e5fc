/* HTTP adapter of the table service. */
#include "http.h"
#include "json.h"

typedef struct _hb_table {
    pf_table base; /* first member */
    ht_client *client;
} _hb_table;

typedef struct _hb_commit {
    pf_commit_callback callback;
    void *user_data;
    size_t count; /* number of ops */
} _hb_commit;

typedef struct _hb_read {
    pf_read_callback callback;
    void *user_data;
    bool single; /* true: the body is one row; false: a scan */
} _hb_read;

/* -- private: answers ----------------------------------------------------- */

static void
_hb_on_commit(er_code code, GBytes *body, void *user_data)
{
    g_autofree _hb_commit *commit = user_data;
    g_autoptr(GArray) versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_autoptr(GArray) rows = rw_create();
    bool versions_malformed =
        code == ER_OK &&
        (!js_read_versions(body, versions) || versions->len != commit->count);
    bool rows_malformed = code == ER_CONFLICT && (!js_read_rows(body, rows) ||
                                                  rows->len != commit->count);
    pf_commit_result result = {.code = code};
    if (versions_malformed || rows_malformed) {
        result.code = ER_INTERNAL;
    }
    else if (code == ER_OK || code == ER_CONFLICT) {
        result.count = commit->count;
        result.versions = (const uint64_t *)(void *)versions->data;
        result.rows = (const pf_row *)(void *)rows->data;
    }
    commit->callback(&result, commit->user_data);
}

static void
_hb_on_read(er_code code, GBytes *body, void *user_data)
{
    g_autofree _hb_read *read = user_data;
    g_autoptr(GArray) rows = rw_create();
    pf_read_result result = {.code = code};
    bool malformed =
        code == ER_CONFLICT ||
        (code == ER_OK &&
         !(read->single ? js_read_row(body, rows) : js_read_rows(body, rows)));
    if (malformed) {
        result.code = ER_INTERNAL;
    }
    else {
        result.count = rows->len;
        result.rows = (const pf_row *)(void *)rows->data;
    }
    read->callback(&result, read->user_data);
}

/* -- private: vtable ------------------------------------------------------ */

static void
_hb_destroy(pf_table *base)
{
    _hb_table *table = (_hb_table *)base;
    ht_destroy(table->client);
    g_free(table);
}

static void
_hb_send_commit(pf_table *base, const pf_op *ops, size_t count,
                pf_commit_callback callback, void *user_data)
{
    _hb_commit *commit = g_new0(_hb_commit, 1);
    commit->callback = callback;
    commit->user_data = user_data;
    commit->count = count;
    g_autoptr(GBytes) body = js_commit_body(ops, count);
    ht_send(((_hb_table *)base)->client,
            &(ht_request){.method = "POST",
                          .path = "/table/commit",
                          .body = body,
                          .callback = _hb_on_commit,
                          .user_data = commit});
}

static void
_hb_send_read(pf_table *base, const char *path, bool single,
              pf_read_callback callback, void *user_data)
{
    _hb_read *read = g_new0(_hb_read, 1);
    read->callback = callback;
    read->user_data = user_data;
    read->single = single;
    ht_send(((_hb_table *)base)->client, &(ht_request){.method = "GET",
                                                       .path = path,
                                                       .callback = _hb_on_read,
                                                       .user_data = read});
}

static void
_hb_send_read_row(pf_table *base, const char *key, pf_read_callback callback,
                  void *user_data)
{
    g_autofree char *escaped = g_uri_escape_string(key, NULL, FALSE);
    g_autofree char *path = g_strconcat("/table/row?key=", escaped, NULL);
    _hb_send_read(base, path, true, callback, user_data);
}

static void
_hb_send_scan(pf_table *base, const char *prefix, const char *after,
              uint32_t limit, pf_read_callback callback, void *user_data)
{
    g_autofree char *start = g_uri_escape_string(prefix, NULL, FALSE);
    g_autofree char *next =
        g_uri_escape_string(after ? after : "", NULL, FALSE);
    g_autofree char *path = g_strdup_printf(
        "/table/scan?prefix=%s&after=%s&limit=%u", start, next, limit);
    _hb_send_read(base, path, false, callback, user_data);
}

static const pf_table_vt _hb_vt = {
    .destroy = _hb_destroy,
    .commit = _hb_send_commit,
    .read = _hb_send_read_row,
    .scan = _hb_send_scan,
};

/* -- public --------------------------------------------------------------- */

pf_table *
pf_http_table_create(const pf_http_desc *desc)
{
    _hb_table *table = g_new0(_hb_table, 1);
    table->base.vt = &_hb_vt;
    table->client = ht_create(desc);
    return &table->base;
}
