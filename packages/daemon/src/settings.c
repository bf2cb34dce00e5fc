#include "settings.h"

#include "lacewing/log.h"
#include "lacewing/settings.h"

#define _DS_STRING(group_, field, fallback_, help_)                           \
    ST_KEY_STRING(ds_settings, group_, field, fallback_, help_)

static const st_key _ds_keys[] = {
    _DS_STRING("daemon", instance, NULL, "Name of this instance, unique."),
    _DS_STRING("daemon", zone, NULL, "Availability zone it runs in."),
    _DS_STRING("daemon", listen, NULL, "Address for callers, IP:PORT."),
    _DS_STRING("daemon", link, NULL, "Address for other instances, IP:PORT."),
    _DS_STRING("daemon", admin, NULL, "Address for operators, IP:PORT."),
    _DS_STRING("daemon", platform, NULL, "URL of the platform's services."),
    {.group = "daemon",
     .name = "seeds",
     .type = ST_LIST,
     .offset = offsetof(ds_settings, seeds),
     .fallback = "",
     .help = "Other instances to try at start, NAME@ZONE@IP:PORT."},
    _DS_STRING("daemon", link_secret, "",
               "Secret that both ends of a link must have."),
    {.group = "daemon",
     .name = "platform_timeout_ms",
     .type = ST_U32,
     .offset = offsetof(ds_settings, platform_timeout_ms),
     .unit = "ms",
     .min = 50,
     .max = 60000,
     .fallback = "1000",
     .help = "Timeout of one call to the platform."},
    {.group = "daemon",
     .name = "notice_ms",
     .type = ST_U32,
     .offset = offsetof(ds_settings, notice_ms),
     .unit = "ms",
     .min = 0,
     .max = 600000,
     .fallback = "2000",
     .help = "Wait at a planned stop for the load balancer to notice it."},
    {.group = "log",
     .name = "level",
     .type = ST_ENUM,
     .offset = offsetof(ds_settings, log_level),
     .choices = lg_level_choices,
     .fallback = "info",
     .help = "Least level that is written."},
    {.group = "log",
     .name = "json",
     .type = ST_BOOL,
     .offset = offsetof(ds_settings, log_json),
     .fallback = "false",
     .help = "JSON lines in place of key=value."},
    _DS_STRING("tls", certificate, "",
               "PEM file shown to callers and operators; empty: no TLS."),
    _DS_STRING("tls", key, "", "PEM file of its key."),
    _DS_STRING("tls", client_ca, "",
               "PEM file; callers must show a certificate from it."),
    _DS_STRING("tls", link_certificate, "",
               "PEM file shown to other instances; empty: no TLS."),
    _DS_STRING("tls", link_key, "", "PEM file of its key."),
    _DS_STRING("tls", link_ca, "",
               "PEM file; other instances must show a certificate from it."),
    {.group = "test",
     .name = "hooks",
     .type = ST_BOOL,
     .offset = offsetof(ds_settings, test_hooks),
     .fallback = "false",
     .help = "Accepts faults to inject on the operators' port; never in "
             "production."},
    {.group = "test",
     .name = "max_seconds",
     .type = ST_U32,
     .offset = offsetof(ds_settings, test_max_s),
     .unit = "s",
     .min = 0,
     .max = 86400,
     .fallback = "0",
     .help = "The process exits after this time; 0: never."},
};

static er_code
_ds_check(const ds_settings *settings, const char *file, er_status *status)
{
    if (!*settings->certificate != !*settings->key) {
        return er_set(status, ER_SETTING_CONFLICT,
                      "%s: [tls] certificate and key must be set together",
                      file);
    }
    if (!*settings->link_certificate != !*settings->link_key) {
        return er_set(
            status, ER_SETTING_CONFLICT,
            "%s: [tls] link_certificate and link_key must be set together",
            file);
    }
    return ER_OK;
}

er_code
ds_load(const char *file, ds_settings *settings, er_status *status)
{
    er_code code = st_load(&(st_load_desc){.file = file,
                                           .keys = _ds_keys,
                                           .key_count = G_N_ELEMENTS(_ds_keys),
                                           .out = settings},
                           status);
    if (code == ER_OK) {
        code = _ds_check(settings, file, status);
    }
    return code;
}

void
ds_clear(ds_settings *settings)
{
    st_clear(_ds_keys, G_N_ELEMENTS(_ds_keys), settings);
}

char *
ds_query_reference(void)
{
    return st_query_reference("Settings of lacewingd", _ds_keys,
                              G_N_ELEMENTS(_ds_keys));
}
