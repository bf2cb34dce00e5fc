#include "record.h"

const char *const rc_daemon_names[RC_DAEMON_COUNT] = {"a", "b", "c"};

void
rc_setup(rc_record *record)
{
    *record = (rc_record){.history = hk_create()};
    g_mutex_init(&record->lock);
    for (int i = 0; i < RC_DAEMON_COUNT; i++) {
        g_atomic_int_set(&record->usable[i], true);
    }
}

void
rc_shutdown(rc_record *record)
{
    hk_destroy(record->history);
    g_mutex_clear(&record->lock);
}

void
rc_add(rc_record *record, const hk_event *event)
{
    g_mutex_lock(&record->lock);
    hk_add(record->history, event);
    g_mutex_unlock(&record->lock);
}

void
rc_set_usable(rc_record *record, const char *daemon, bool usable)
{
    for (int i = 0; i < RC_DAEMON_COUNT; i++) {
        if (g_str_equal(rc_daemon_names[i], daemon)) {
            g_atomic_int_set(&record->usable[i], usable);
        }
    }
}
