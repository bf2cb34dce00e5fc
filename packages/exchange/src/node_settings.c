#include "lacewing/node.h"

#include "lacewing/log.h"
#include "lacewing/settings.h"

#define _ND_GROUP "exchange"

#define _ND_STRING(field, help_)                                              \
    ST_KEY_STRING(nd_settings, _ND_GROUP, field, NULL, help_)
#define _ND_U32(field, unit_, min_, max_, fallback_, help_)                   \
    {                                                                         \
        .group = _ND_GROUP, .name = #field, .type = ST_U32,                   \
        .offset = offsetof(nd_settings, field), .unit = (unit_),              \
        .min = (min_), .max = (max_), .fallback = (fallback_),                \
        .help = (help_)                                                       \
    }
#define _ND_DOUBLE(field, unit_, min_, max_, fallback_, help_)                \
    {                                                                         \
        .group = _ND_GROUP, .name = #field, .type = ST_DOUBLE,                \
        .offset = offsetof(nd_settings, field), .unit = (unit_),              \
        .min = (min_), .max = (max_), .fallback = (fallback_),                \
        .help = (help_)                                                       \
    }

static const st_key _nd_keys[] = {
    _ND_STRING(instance, "Name of this instance, unique."),
    _ND_STRING(zone, "Availability zone it runs in."),
    _ND_STRING(listen, "Address for callers, IP:PORT."),
    _ND_STRING(ready, "Address of /readyz and /metrics, IP:PORT."),
    _ND_STRING(peer_ip, "IP for datagrams of other instances."),
    _ND_STRING(peer_ports, "Ports for other instances, FIRST,LAST."),
    _ND_STRING(store, "Address of the platform's store, IP:PORT."),
    _ND_DOUBLE(grace_s, "s", 0.5, 3600, "8",
               "From SIGTERM to SIGKILL; answers under way end before."),
    _ND_U32(config_apply_ms, "ms", 100, 600000, "2000",
            "A configuration is in force within."),
    _ND_U32(drain_ms, "ms", 100, 600000, "2000",
            "A leaving server gets nothing new after."),
    _ND_DOUBLE(pause_most_s, "s", 0.1, 86400, "30",
               "A server that asks for a longer pause gets this one."),
    _ND_U32(lease_ms, "ms", 500, 600000, "3000",
            "Two holders of a server order it this far apart."),
    _ND_U32(version_ms, "ms", 500, 600000, "5000",
            "A new version of an adapter is in use within."),
    _ND_DOUBLE(retry_ratio, "of requests", 0, 1, "0.2",
               "Sends after the first, of a service, over all instances."),
    _ND_DOUBLE(retry_window_s, "s", 1, 600, "10", "Their window."),
    _ND_DOUBLE(retry_slack, "sends", 0, 1e6, "50",
               "Sends after the first in a window beside the ratio."),
    _ND_U32(memory_mb, "MB", 16, 1e6, "256", "Memory of this instance."),
    _ND_U32(descriptors, "files", 64, 1e6, "4096",
            "Open files and sockets of this instance."),
    _ND_DOUBLE(link_mbps, "Mbit/s", 0, 1e6, "0",
               "Its network link; words among many instances go by way of "
               "fast ones. 0: as fast as the others."),
    {.group = _ND_GROUP,
     .name = "log_level",
     .type = ST_ENUM,
     .offset = offsetof(nd_settings, log_level),
     .choices = lg_level_choices,
     .fallback = "info",
     .help = "Least level that is written."},
    _ND_U32(log_requests_per_s, "requests", 1, 100000, "5",
            "Requests that are served and logged all the same."),
    _ND_U32(log_pending_kb, "kB", 16, 1e6, "256",
            "Lines kept while nobody reads them."),
};

bool
nd_query_is_settings_file(const char *file)
{
    g_autoptr(GKeyFile) parsed = g_key_file_new();
    return g_key_file_load_from_file(parsed, file, G_KEY_FILE_NONE, NULL) &&
           g_key_file_has_group(parsed, _ND_GROUP);
}

er_code
nd_load_settings(const char *file, nd_settings *settings, er_status *status)
{
    return st_load(&(st_load_desc){.file = file,
                                   .keys = _nd_keys,
                                   .key_count = G_N_ELEMENTS(_nd_keys),
                                   .out = settings},
                   status);
}

void
nd_clear_settings(nd_settings *settings)
{
    st_clear(_nd_keys, G_N_ELEMENTS(_nd_keys), settings);
}

char *
nd_query_settings_reference(void)
{
    return st_query_reference("Settings of an instance on a platform",
                              _nd_keys, G_N_ELEMENTS(_nd_keys));
}
