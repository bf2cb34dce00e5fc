#include "http.h"
#include "rows.h"

typedef struct _ho_objects {
    pf_objects base; /* first member */
    ht_client *client;
} _ho_objects;

/* A call on its way. One of put_call and get_call is set. */
typedef struct _ho_open {
    pf_commit_callback put_call;
    pf_read_callback get_call;
    void *user_data;
    char *name;
} _ho_open;

/* -- private: answers ----------------------------------------------------- */

static void
_ho_on_put(er_code code, GBytes *body, void *user_data)
{
    (void)body;
    _ho_open *open = user_data;
    open->put_call(&(pf_commit_result){.code = code}, open->user_data);
    g_free(open->name);
    g_free(open);
}

static void
_ho_on_get(er_code code, GBytes *body, void *user_data)
{
    _ho_open *open = user_data;
    g_autoptr(GArray) rows = rw_create();
    if (code == ER_OK) {
        rw_add(rows, open->name, body, 1);
    }
    open->get_call(
        &(pf_read_result){.code = code,
                          .count = rows->len,
                          .rows = (const pf_row *)(void *)rows->data},
        open->user_data);
    g_free(open->name);
    g_free(open);
}

/* -- private: vtable ------------------------------------------------------ */

static void
_ho_destroy(pf_objects *base)
{
    _ho_objects *objects = (_ho_objects *)base;
    ht_destroy(objects->client);
    g_free(objects);
}

static char *
_ho_path(const char *name)
{
    g_autofree char *escaped = g_uri_escape_string(name, NULL, FALSE);
    return g_strconcat("/objects/", escaped, NULL);
}

static void
_ho_put(pf_objects *base, const char *name, GBytes *value,
        pf_commit_callback call, void *user_data)
{
    _ho_open *open = g_new0(_ho_open, 1);
    open->put_call = call;
    open->user_data = user_data;
    g_autofree char *path = _ho_path(name);
    ht_send(((_ho_objects *)base)->client,
            &(ht_request){.method = "PUT",
                          .path = path,
                          .type = "application/octet-stream",
                          .body = value,
                          .call = _ho_on_put,
                          .user_data = open});
}

static void
_ho_get(pf_objects *base, const char *name, pf_read_callback call,
        void *user_data)
{
    _ho_open *open = g_new0(_ho_open, 1);
    open->get_call = call;
    open->user_data = user_data;
    open->name = g_strdup(name);
    g_autofree char *path = _ho_path(name);
    ht_send(((_ho_objects *)base)->client, &(ht_request){.method = "GET",
                                                         .path = path,
                                                         .call = _ho_on_get,
                                                         .user_data = open});
}

static const pf_objects_vt _ho_vt = {
    .destroy = _ho_destroy,
    .put = _ho_put,
    .get = _ho_get,
};

/* -- public --------------------------------------------------------------- */

pf_objects *
pf_http_objects_create(const pf_http_desc *desc)
{
    _ho_objects *objects = g_new0(_ho_objects, 1);
    objects->base.vt = &_ho_vt;
    objects->client = ht_create(desc);
    return &objects->base;
}
