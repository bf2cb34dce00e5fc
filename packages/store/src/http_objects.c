/* HTTP adapter of the object store. */
#include "http.h"
#include "rows.h"

typedef struct _ho_objects {
    pf_objects base; /* first member */
    ht_client *client;
} _ho_objects;

/* A call in flight. One of put_callback and get_callback is set. */
typedef struct _ho_call {
    pf_commit_callback put_callback;
    pf_read_callback get_callback;
    void *user_data;
    char *name; /* only of a get */
} _ho_call;

/* -- private: answers ----------------------------------------------------- */

static void
_ho_on_put(er_code code, GBytes *body, void *user_data)
{
    (void)body;
    _ho_call *call = user_data;
    call->put_callback(&(pf_commit_result){.code = code}, call->user_data);
    g_free(call->name);
    g_free(call);
}

static void
_ho_on_get(er_code code, GBytes *body, void *user_data)
{
    _ho_call *call = user_data;
    g_autoptr(GArray) rows = rw_create();
    if (code == ER_OK) {
        rw_add(rows, call->name, body, 1);
    }
    call->get_callback(
        &(pf_read_result){.code = code,
                          .count = rows->len,
                          .rows = (const pf_row *)(void *)rows->data},
        call->user_data);
    g_free(call->name);
    g_free(call);
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
        pf_commit_callback callback, void *user_data)
{
    _ho_call *call = g_new0(_ho_call, 1);
    call->put_callback = callback;
    call->user_data = user_data;
    g_autofree char *path = _ho_path(name);
    ht_send(((_ho_objects *)base)->client,
            &(ht_request){.method = "PUT",
                          .path = path,
                          .type = "application/octet-stream",
                          .body = value,
                          .callback = _ho_on_put,
                          .user_data = call});
}

static void
_ho_get(pf_objects *base, const char *name, pf_read_callback callback,
        void *user_data)
{
    _ho_call *call = g_new0(_ho_call, 1);
    call->get_callback = callback;
    call->user_data = user_data;
    call->name = g_strdup(name);
    g_autofree char *path = _ho_path(name);
    ht_send(((_ho_objects *)base)->client,
            &(ht_request){.method = "GET",
                          .path = path,
                          .callback = _ho_on_get,
                          .user_data = call});
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
