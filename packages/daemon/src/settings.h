/*
 * settings.h: the daemon's own settings (prefix ds_).
 *
 * Holds what a process must know before it can reach the platform, such as its
 * name, zone and addresses. Everything else is in the deployment's
 * configuration.
 *
 *     ds_settings settings = {0};
 *     ds_load("lacewingd.ini", &settings, &status);
 *     ds_clear(&settings);
 *
 * Limits: read once at start. Only the certificate files are read again, on
 * SIGHUP.
 */
#ifndef LACEWING_DAEMON_SETTINGS_H
#define LACEWING_DAEMON_SETTINGS_H

#include "lacewing/error.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct ds_settings {
    char *instance;
    char *zone;
    char *listen;   /* IP:PORT for callers */
    char *link;     /* IP:PORT for other instances */
    char *admin;    /* IP:PORT for operators */
    char *platform; /* URL */
    char **seeds;   /* NAME@ZONE@IP:PORT */
    char *link_secret;
    uint32_t platform_timeout_ms;
    uint32_t notice_ms; /* a planned stop waits this long for the load
                           balancer to see that the instance is leaving */
    uint32_t log_level; /* index into debug, info, warning, error */
    bool log_json;
    bool test_hooks;
    uint32_t test_max_s; /* the process exits after this time; 0: never */
    char *certificate;   /* PEM, for the ports of callers and operators */
    char *key;
    char *client_ca; /* callers must present a certificate signed by it */
    char *link_certificate;
    char *link_key;
    char *link_ca;
} ds_settings;

er_code ds_load(const char *file, ds_settings *settings, er_status *status);
void ds_clear(ds_settings *settings);
/* Returns the reference of all keys in Markdown; free with g_free(). */
char *ds_query_reference(void);

#endif
