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
    _ND_STRING(peer_ip, "IP that other instances send datagrams to."),
    _ND_STRING(peer_ports, "Ports for other instances, FIRST,LAST."),
    _ND_STRING(store, "Address of the platform's store, IP:PORT."),
    _ND_DOUBLE(
        grace_s, "s", 0.5, 3600, "8",
        "Time from SIGTERM to SIGKILL; answers in progress end before it "
        "is over."),
    _ND_U32(config_apply_ms, "ms", 100, 600000, "2000",
            "Time within which a new configuration must be in force."),
    _ND_U32(drain_ms, "ms", 100, 600000, "2000",
            "Time after which a leaving server gets no new requests."),
    _ND_DOUBLE(
        pause_most_s, "s", 0.1, 86400, "30",
        "Longest pause of a server; one that asks for a longer pause gets "
        "this one."),
    _ND_U32(
        lease_ms, "ms", 500, 600000, "3000",
        "Least time between the last order of one holder of a server and the "
        "first order of the next."),
    _ND_U32(version_ms, "ms", 500, 600000, "5000",
            "Time within which a new version of an adapter must be in use."),
    _ND_DOUBLE(
        retry_ratio, "of requests", 0, 1, "0.2",
        "Resends allowed per first send of a service, over all instances."),
    _ND_DOUBLE(retry_window_s, "s", 1, 600, "10",
               "Window of time in which resends are counted."),
    _ND_DOUBLE(
        retry_slack, "sends", 0, 1e6, "50",
        "Further resends allowed per window, beside those by the ratio."),
    _ND_U32(
        memory_mb, "MB", 16, 1e6, "256",
        "Memory of this instance; buffered answers of servers take a quarter "
        "of it at most."),
    _ND_U32(descriptors, "files", 64, 1e6, "4096",
            "Open files and sockets of this instance."),
    _ND_DOUBLE(link_mbps, "Mbit/s", 0, 1e6, "0",
               "Speed of the network link of this instance. Among many "
               "instances, messages are relayed by those with fast links. 0: "
               "as fast as the others."),
    {.group = _ND_GROUP,
     .name = "log_level",
     .type = ST_ENUM,
     .offset = offsetof(nd_settings, log_level),
     .choices = lg_level_choices,
     .fallback = "info",
     .help = "Lowest level of the log lines that are written."},
    _ND_U32(log_requests_per_s, "requests", 1, 100000, "5",
            "Requests per second, about, whose routine log lines are written; "
            "failures "
            "are always logged."),
    _ND_U32(
        log_pending_kb, "kB", 16, 1e6, "256",
        "Log lines that wait for a slow reader of standard output; further "
        "ones are dropped and counted."),
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
