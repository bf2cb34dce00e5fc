/* HTTP adapter of the list of instances. */
#include "http.h"
#include "json.h"

typedef struct _hi_instances {
    pf_instances base; /* first member */
    ht_client *client;
} _hi_instances;

typedef struct _hi_call {
    pf_instances_callback callback;
    void *user_data;
} _hi_call;

/* -- private -------------------------------------------------------------- */

static void
_hi_instance_clear(void *item)
{
    pf_instance *instance = item;
    g_free(instance->name);
    g_free(instance->zone);
    g_free(instance->address);
}

static void
_hi_on_list(er_code code, GBytes *body, void *user_data)
{
    g_autofree _hi_call *call = user_data;
    g_autoptr(GArray) list = g_array_new(FALSE, TRUE, sizeof(pf_instance));
    g_array_set_clear_func(list, _hi_instance_clear);
    pf_instances_result result = {.code = code};
    bool malformed = code == ER_OK && !js_read_instances(body, list);
    if (malformed || code == ER_CONFLICT) {
        result.code = ER_INTERNAL;
    }
    else if (code == ER_OK) {
        result.count = list->len;
        result.instances = (const pf_instance *)(void *)list->data;
    }
    call->callback(&result, call->user_data);
}

static void
_hi_destroy(pf_instances *base)
{
    _hi_instances *instances = (_hi_instances *)base;
    ht_destroy(instances->client);
    g_free(instances);
}

static void
_hi_list(pf_instances *base, pf_instances_callback callback, void *user_data)
{
    _hi_call *call = g_new0(_hi_call, 1);
    call->callback = callback;
    call->user_data = user_data;
    ht_send(((_hi_instances *)base)->client,
            &(ht_request){.method = "GET",
                          .path = "/instances",
                          .callback = _hi_on_list,
                          .user_data = call});
}

static const pf_instances_vt _hi_vt = {
    .destroy = _hi_destroy,
    .list = _hi_list,
};

/* -- public --------------------------------------------------------------- */

pf_instances *
pf_http_instances_create(const pf_http_desc *desc)
{
    _hi_instances *instances = g_new0(_hi_instances, 1);
    instances->base.vt = &_hi_vt;
    instances->client = ht_create(desc);
    return &instances->base;
}
