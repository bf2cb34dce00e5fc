#include "exchange_private.h"

#include <string.h>

/* Returns whether an engine has the model and, if one is named, the adapter.
 */
static bool
_xc_has_adapter(const rc_service *engine, const dl_dialect *dialect,
                const char *model_name, const char *adapter_name)
{
    if (engine->models->len == 0) {
        return true; /* its models are not known */
    }
    const rc_model *model = rc_query_model(engine, model_name);
    return model &&
           (!adapter_name || model->adapter_count == 0 ||
            dialect->names_adapter(adapter_name, model->adapter_count));
}

bool
xc_query_unknown_adapter(const xc_exchange *exchange)
{
    const xc_core *core = exchange->core;
    const char *key =
        h1_query_header(exchange->head, core->desc.dialect->headers[DL_MODEL]);
    if (!key || !core->desc.callbacks->config_fresh(core->desc.user_data)) {
        return false;
    }
    g_auto(GStrv) names = g_strsplit(key, "/", 2);
    const char *model = names[0] ? names[0] : "";
    const char *adapter = names[0] ? names[1] : NULL;
    const GArray *targets = exchange->route->targets;
    for (guint i = 0; i < targets->len; i++) {
        const rc_service *service = rc_query_service(
            exchange->table, g_array_index(targets, rc_target, i).service);
        if (service &&
            (!service->engine ||
             _xc_has_adapter(service, core->desc.dialect, model, adapter))) {
            return false;
        }
    }
    return true;
}
