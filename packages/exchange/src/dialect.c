#include "lacewing/dialect.h"

uint64_t
dl_make_version(uint64_t era, uint64_t number)
{
    g_assert(era <= DL_MAX_ERA && number <= DL_MAX_VERSION_NUMBER);
    return era << DL_ERA_SHIFT | number;
}

uint64_t
dl_query_era(uint64_t version)
{
    return version >> DL_ERA_SHIFT;
}

uint64_t
dl_query_version_number(uint64_t version)
{
    return version & DL_MAX_VERSION_NUMBER;
}

static void
_dl_clear_adapter(void *data)
{
    g_free(((dl_adapter *)data)->name);
}

static void
_dl_clear_model(void *data)
{
    dl_model *model = data;
    g_free(model->name);
    if (model->adapters) {
        g_array_set_clear_func(model->adapters, _dl_clear_adapter);
        g_array_unref(model->adapters);
    }
}

static void
_dl_clear_row(void *data)
{
    dl_row *row = data;
    g_free(row->key);
    if (row->value) {
        g_bytes_unref(row->value);
    }
}

GArray *
dl_make_models(void)
{
    GArray *models = g_array_new(FALSE, TRUE, sizeof(dl_model));
    g_array_set_clear_func(models, _dl_clear_model);
    return models;
}

GArray *
dl_make_rows(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(dl_row));
    g_array_set_clear_func(rows, _dl_clear_row);
    return rows;
}

void
dl_clear_rows(dl_rows *rows)
{
    g_clear_pointer(&rows->rows, g_array_unref);
}

void
dl_clear_server(dl_server *server)
{
    g_clear_pointer(&server->id, g_free);
    g_clear_pointer(&server->service, g_free);
    g_clear_pointer(&server->address, g_free);
    g_clear_pointer(&server->zone, g_free);
    g_clear_pointer(&server->software, g_free);
    g_clear_pointer(&server->models, g_array_unref);
}

void
dl_clear_operator(dl_operator *operator)
{
    g_clear_pointer(&operator->config, rc_unref);
    g_clear_pointer(&operator->model, g_free);
    g_clear_pointer(&operator->adapter, g_free);
}
