/* Public functions that dispatch to the vtables of the adapters. */
#include "lacewing/store.h"

void
pf_table_destroy(pf_table *table)
{
    if (table) {
        table->vt->destroy(table);
    }
}

void
pf_table_commit(pf_table *table, const pf_op *ops, size_t count,
                pf_commit_callback callback, void *user_data)
{
    table->vt->commit(table, ops, count, callback, user_data);
}

void
pf_table_read(pf_table *table, const char *key, pf_read_callback callback,
              void *user_data)
{
    table->vt->read(table, key, callback, user_data);
}

void
pf_table_scan(pf_table *table, const char *prefix, const char *after,
              uint32_t limit, pf_read_callback callback, void *user_data)
{
    table->vt->scan(table, prefix, after, limit, callback, user_data);
}

void
pf_objects_destroy(pf_objects *objects)
{
    if (objects) {
        objects->vt->destroy(objects);
    }
}

void
pf_objects_put(pf_objects *objects, const char *name, GBytes *value,
               pf_commit_callback callback, void *user_data)
{
    objects->vt->put(objects, name, value, callback, user_data);
}

void
pf_objects_get(pf_objects *objects, const char *name,
               pf_read_callback callback, void *user_data)
{
    objects->vt->get(objects, name, callback, user_data);
}

void
pf_instances_destroy(pf_instances *instances)
{
    if (instances) {
        instances->vt->destroy(instances);
    }
}

void
pf_instances_list(pf_instances *instances, pf_instances_callback callback,
                  void *user_data)
{
    instances->vt->list(instances, callback, user_data);
}
