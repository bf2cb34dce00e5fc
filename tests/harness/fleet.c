#include "fleet.h"

#include "http.h"
#include "lacewing/hash.h"
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Ports on the fleet's own address. */
#define _HN_PLATFORM_PORT 9000
#define _HN_FIRST_PORT 9010
#define _HN_PORTS_PER_MEMBER 3 /* callers, link, operators */
/* Every process exits by itself after this time. */
#define _HN_MAX_SECONDS "240"
#define _HN_START_TIMEOUT_MS 10000
#define _HN_POLL_PERIOD_US 20000

typedef enum _hn_kind {
    _HN_PLATFORM,
    _HN_SERVER,
    _HN_DAEMON,
} _hn_kind;

struct hn_member {
    hn_fleet *fleet;
    _hn_kind kind;
    char *name;
    char *zone;
    char *address; /* IP:PORT for callers, or of the stand-in */
    char *link;    /* IP:PORT for other instances */
    char *admin;   /* IP:PORT for operators */
    char *url;
    char *admin_url;
    char *history; /* path of the history file */
    char **argv;
    hn_server_desc server; /* if kind is _HN_SERVER */
    hn_daemon_desc daemon; /* if kind is _HN_DAEMON */
    GSubprocess *process;  /* NULL before the first start */
};

struct hn_fleet {
    char *bin;       /* directory of the programs */
    char *directory; /* settings, logs, histories, certificates */
    char *host;      /* loopback address of this fleet alone */
    bool verbose;
    char *ca; /* path of the PEM file; NULL: no TLS */
    uint32_t next_port;
    hn_member *platform;
    GPtrArray *members; /* the platform is the first */
};

/* -- private: members ----------------------------------------------------- */

static void
_hn_member_free(void *data)
{
    hn_member *member = data;
    g_clear_object(&member->process);
    g_free(member->name);
    g_free(member->zone);
    g_free(member->address);
    g_free(member->link);
    g_free(member->admin);
    g_free(member->url);
    g_free(member->admin_url);
    g_free(member->history);
    g_strfreev(member->argv);
    g_free(member);
}

static hn_member *
_hn_member_create(hn_fleet *fleet, _hn_kind kind, const char *name,
                  const char *zone, uint32_t port)
{
    hn_member *member = g_new0(hn_member, 1);
    member->fleet = fleet;
    member->kind = kind;
    member->name = g_strdup(name);
    member->zone = g_strdup(zone);
    member->address = g_strdup_printf("%s:%u", fleet->host, port);
    member->link = g_strdup_printf("%s:%u", fleet->host, port + 1);
    member->admin = g_strdup_printf("%s:%u", fleet->host, port + 2);
    bool tls = kind == _HN_DAEMON && fleet->ca;
    const char *scheme = tls ? "https" : "http";
    member->url = g_strdup_printf("%s://%s", scheme, member->address);
    member->admin_url = g_strdup_printf("%s://%s", scheme, member->admin);
    member->history = g_strdup_printf("%s/%s.history", fleet->directory, name);
    g_ptr_array_add(fleet->members, member);
    return member;
}

static hn_member *
_hn_add_member(hn_fleet *fleet, _hn_kind kind, const char *name,
               const char *zone)
{
    uint32_t port = fleet->next_port;
    fleet->next_port += _HN_PORTS_PER_MEMBER;
    return _hn_member_create(fleet, kind, name, zone, port);
}

/* -- private: command lines ----------------------------------------------- */

static void _hn_add_arg(GPtrArray *argv, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
_hn_add_arg(GPtrArray *argv, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_ptr_array_add(argv, g_strdup_vprintf(format, args));
    va_end(args);
}

static void
_hn_add_platform_args(hn_member *platform, GPtrArray *argv)
{
    hn_fleet *fleet = platform->fleet;
    _hn_add_arg(argv, "%s/lacewing-standin-platform", fleet->bin);
    _hn_add_arg(argv, "--listen=%s", platform->address);
    _hn_add_arg(argv, "--loads-per-s=60");
    _hn_add_arg(argv, "--loads-at-once=6");
    _hn_add_arg(argv, "--max-seconds=%s", _HN_MAX_SECONDS);
    for (guint i = 1; i < fleet->members->len; i++) {
        const hn_member *member = fleet->members->pdata[i];
        bool daemon = member->kind == _HN_DAEMON;
        _hn_add_arg(argv, "--instance=%s,%s,%s,%s", member->name, member->zone,
                    daemon ? member->link : member->address,
                    daemon ? "entry" : "server");
    }
}

static void
_hn_add_server_args(hn_member *member, GPtrArray *argv)
{
    const hn_server_desc *desc = &member->server;
    hn_fleet *fleet = member->fleet;
    _hn_add_arg(argv, "%s/lacewing-standin-server", fleet->bin);
    _hn_add_arg(argv, "--kind=%s", desc->service ? "service" : "engine");
    _hn_add_arg(argv, "--listen=%s", member->address);
    _hn_add_arg(argv, "--platform=%s", fleet->platform->url);
    _hn_add_arg(argv, "--name=%s", member->name);
    _hn_add_arg(argv, "--zone=%s", member->zone);
    _hn_add_arg(argv, "--fence=%s", desc->checks_fence ? "check" : "ignore");
    _hn_add_arg(argv, "--slots=%u", desc->slots);
    _hn_add_arg(argv, "--adapter-slots=%u", desc->adapter_slots);
    _hn_add_arg(argv, "--tokens-per-s=%u", desc->tokens_per_s);
    _hn_add_arg(argv, "--history=%s", member->history);
    _hn_add_arg(argv, "--max-seconds=%s", _HN_MAX_SECONDS);
}

static char *
_hn_tls_settings(const hn_fleet *fleet)
{
    if (!fleet->ca) {
        return g_strdup("");
    }
    const char *directory = fleet->directory;
    return g_strdup_printf("[tls]\ncertificate = %s/cert.pem\n"
                           "key = %s/key.pem\n"
                           "link_certificate = %s/cert.pem\n"
                           "link_key = %s/key.pem\nlink_ca = %s\n",
                           directory, directory, directory, directory,
                           fleet->ca);
}

static void
_hn_add_daemon_args(hn_member *member, GPtrArray *argv)
{
    hn_fleet *fleet = member->fleet;
    g_autofree char *file =
        g_strdup_printf("%s/%s.ini", fleet->directory, member->name);
    g_autofree char *tls = _hn_tls_settings(fleet);
    g_autofree char *text = g_strdup_printf(
        "[daemon]\ninstance = %s\nzone = %s\nlisten = %s\nlink = %s\n"
        "admin = %s\nplatform = %s\nnotice_ms = %u\n"
        "platform_timeout_ms = 500\n[test]\nhooks = true\n"
        "max_seconds = " _HN_MAX_SECONDS "\n%s",
        member->name, member->zone, member->address, member->link,
        member->admin, fleet->platform->url, member->daemon.notice_ms, tls);
    g_file_set_contents(file, text, -1, NULL);
    _hn_add_arg(argv, "%s/lacewingd", fleet->bin);
    _hn_add_arg(argv, "--settings=%s", file);
}

static void
_hn_build_argv(hn_member *member)
{
    GPtrArray *argv = g_ptr_array_new();
    if (member->kind == _HN_PLATFORM) {
        _hn_add_platform_args(member, argv);
    }
    else if (member->kind == _HN_SERVER) {
        _hn_add_server_args(member, argv);
    }
    else {
        _hn_add_daemon_args(member, argv);
    }
    g_ptr_array_add(argv, NULL);
    member->argv = (char **)g_ptr_array_free(argv, FALSE);
}

/* -- private: starting ---------------------------------------------------- */

static bool
_hn_wait_response(const hn_member *member)
{
    g_autofree char *url = g_strdup_printf("%s/healthz", member->url);
    if (member->kind == _HN_PLATFORM) {
        g_free(url);
        url = g_strdup_printf("%s/instances", member->url);
    }
    gint64 timeout_at_us =
        g_get_monotonic_time() + _HN_START_TIMEOUT_MS * 1000;
    while (g_get_monotonic_time() < timeout_at_us) {
        g_auto(ht_response) response = {0};
        ht_send_request(
            &(ht_desc){.url = url, .ca = member->fleet->ca, .timeout_ms = 500},
            &response);
        if (response.status) {
            return true;
        }
        g_usleep(_HN_POLL_PERIOD_US);
    }
    return false;
}

static bool
_hn_start_member(hn_member *member)
{
    g_autoptr(GSubprocessLauncher) launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
    if (!member->fleet->verbose) {
        g_autofree char *log = g_strdup_printf(
            "%s/%s.log", member->fleet->directory, member->name);
        g_subprocess_launcher_set_stderr_file_path(launcher, log);
    }
    g_autoptr(GError) error = NULL;
    g_clear_object(&member->process);
    member->process = g_subprocess_launcher_spawnv(
        launcher, (const char *const *)member->argv, &error);
    if (!member->process) {
        g_printerr("fleet: cannot start a process: %s\n", error->message);
    }
    return member->process && _hn_wait_response(member);
}

/* -- private: the configuration ------------------------------------------- */

static char *
_hn_config_text(hn_fleet *fleet, const char *extra)
{
    g_autoptr(GString) text =
        g_string_new("[deployment]\nname = fleet\nregion = local\n");
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 1; i < fleet->members->len; i++) {
        const hn_member *member = fleet->members->pdata[i];
        if (g_hash_table_add(zones, member->zone)) {
            g_string_append_printf(text, "[zone %s]\nlatency_ms = 1\n",
                                   member->zone);
        }
        const hn_server_desc *desc = &member->server;
        if (member->kind == _HN_SERVER) {
            g_string_append_printf(
                text,
                "[server %s]\nzone = %s\naddress = %s\nkind = %s\n"
                "slots = %u\nadapter_slots = %u\ntokens_per_s = %u\n"
                "fence = %s\n",
                member->name, member->zone, member->address,
                desc->service ? "service" : "engine", desc->slots,
                desc->adapter_slots, desc->tokens_per_s,
                desc->checks_fence ? "check" : "ignore");
        }
    }
    g_string_append(text, extra);
    return g_strdup(text->str);
}

static bool
_hn_write_config(hn_fleet *fleet, const char *extra)
{
    g_autofree char *text = _hn_config_text(fleet, extra);
    g_autofree char *file = g_strdup_printf("%s/config.ini", fleet->directory);
    g_autofree char *tool = g_strdup_printf("%s/lacewing", fleet->bin);
    g_file_set_contents(file, text, -1, NULL);
    g_autoptr(GError) error = NULL;
    g_autoptr(GSubprocess) init = g_subprocess_new(
        G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE,
        &error, tool, "init", "--platform", fleet->platform->url, file, NULL);
    if (!init || !g_subprocess_wait_check(init, NULL, &error)) {
        g_printerr("fleet: lacewing init: %s\n", error->message);
        return false;
    }
    return true;
}

/* -- public: certificates ------------------------------------------------- */

static bool
_hn_run_certtool(const hn_fleet *fleet, const char *arguments)
{
    g_autofree char *line = g_strdup_printf("certtool %s", arguments);
    g_auto(GStrv) argv = g_strsplit(line, " ", -1);
    g_autoptr(GSubprocessLauncher) launcher = g_subprocess_launcher_new(
        G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE);
    g_subprocess_launcher_set_cwd(launcher, fleet->directory);
    g_autoptr(GSubprocess) process = g_subprocess_launcher_spawnv(
        launcher, (const char *const *)argv, NULL);
    return process && g_subprocess_wait_check(process, NULL, NULL);
}

bool
hn_renew_certificates(hn_fleet *fleet)
{
    g_autofree char *ca = g_build_filename(fleet->directory, "ca.cfg", NULL);
    g_autofree char *leaf =
        g_build_filename(fleet->directory, "leaf.cfg", NULL);
    g_autofree char *leaf_text =
        g_strdup_printf("cn = fleet\nip_address = %s\ntls_www_server\n"
                        "tls_www_client\nsigning_key\n",
                        fleet->host);
    g_file_set_contents(ca, "cn = ca\nca\ncert_signing_key\n", -1, NULL);
    g_file_set_contents(leaf, leaf_text, -1, NULL);
    return _hn_run_certtool(fleet, "--generate-privkey --key-type ecdsa "
                                   "--outfile ca-key.pem") &&
           _hn_run_certtool(fleet, "--generate-self-signed --load-privkey "
                                   "ca-key.pem --template ca.cfg "
                                   "--outfile ca.pem") &&
           _hn_run_certtool(fleet, "--generate-privkey --key-type ecdsa "
                                   "--outfile key.pem") &&
           _hn_run_certtool(
               fleet, "--generate-certificate --load-privkey key.pem "
                      "--load-ca-certificate ca.pem --load-ca-privkey "
                      "ca-key.pem --template leaf.cfg --outfile cert.pem");
}

/* -- public: lifecycle ---------------------------------------------------- */

hn_fleet *
hn_create(const hn_desc *desc)
{
    static uint32_t count;
    hn_fleet *fleet = g_new0(hn_fleet, 1);
    const char *bin = desc->bin ? desc->bin : g_getenv("LACEWING_BIN");
    uint32_t pid = (uint32_t)getpid();
    fleet->bin = g_strdup(bin ? bin : "build/bin");
    fleet->verbose = desc->verbose;
    fleet->directory = g_dir_make_tmp("lacewing-XXXXXX", NULL);
    fleet->host = g_strdup_printf("127.%u.%u.%u", 1 + (pid >> 8) % 254,
                                  pid % 256, 1 + count++ % 254);
    fleet->next_port = _HN_FIRST_PORT;
    if (desc->tls) {
        fleet->ca = g_strdup_printf("%s/ca.pem", fleet->directory);
        hn_renew_certificates(fleet);
    }
    fleet->members = g_ptr_array_new_with_free_func(_hn_member_free);
    fleet->platform = _hn_member_create(fleet, _HN_PLATFORM, "platform", "",
                                        _HN_PLATFORM_PORT);
    return fleet;
}

static void
_hn_kill_member(hn_member *member)
{
    if (member->process) {
        hn_signal(member, SIGKILL);
        g_subprocess_wait(member->process, NULL, NULL);
    }
}

static void
_hn_remove_directory(const char *directory)
{
    g_autoptr(GDir) dir = g_dir_open(directory, 0, NULL);
    const char *name;
    while (dir && (name = g_dir_read_name(dir))) {
        g_autofree char *path = g_build_filename(directory, name, NULL);
        g_remove(path);
    }
    g_rmdir(directory);
}

void
hn_destroy(hn_fleet *fleet)
{
    if (!fleet) {
        return;
    }
    for (guint i = 0; i < fleet->members->len; i++) {
        _hn_kill_member(fleet->members->pdata[i]);
    }
    if (!g_getenv("LACEWING_KEEP")) {
        _hn_remove_directory(fleet->directory);
    }
    g_ptr_array_unref(fleet->members);
    g_free(fleet->bin);
    g_free(fleet->directory);
    g_free(fleet->ca);
    g_free(fleet->host);
    g_free(fleet);
}

void
hn_add_server(hn_fleet *fleet, const hn_server_desc *desc)
{
    hn_member *member =
        _hn_add_member(fleet, _HN_SERVER, desc->name, desc->zone);
    member->server = *desc;
    if (!desc->slots) {
        member->server.slots = 16;
    }
    if (!desc->adapter_slots) {
        member->server.adapter_slots = 16;
    }
    if (!desc->tokens_per_s) {
        member->server.tokens_per_s = 200;
    }
}

void
hn_add_daemon(hn_fleet *fleet, const hn_daemon_desc *desc)
{
    hn_member *member =
        _hn_add_member(fleet, _HN_DAEMON, desc->name, desc->zone);
    member->daemon = *desc;
    if (!desc->notice_ms) {
        member->daemon.notice_ms = 300;
    }
}

bool
hn_start(hn_fleet *fleet, const char *extra)
{
    for (guint i = 0; i < fleet->members->len; i++) {
        hn_member *member = fleet->members->pdata[i];
        _hn_build_argv(member);
        if (!_hn_start_member(member)) {
            g_printerr("fleet: %s does not answer after its start\n",
                       member->name);
            return false;
        }
        if (i == 0 && !_hn_write_config(fleet, extra)) {
            return false;
        }
    }
    return true;
}

/* -- public: waiting ------------------------------------------------------ */

static bool
_hn_is_daemon_ready(const hn_member *member)
{
    g_autofree char *ready = g_strdup_printf("%s/readyz", member->url);
    g_autofree char *status = g_strdup_printf("%s/status", member->admin_url);
    g_auto(ht_response) readiness = {0};
    g_auto(ht_response) status_page = {0};
    const char *ca = member->fleet->ca;
    ht_send_request(&(ht_desc){.url = ready, .ca = ca, .timeout_ms = 500},
                    &readiness);
    ht_send_request(&(ht_desc){.url = status, .ca = ca, .timeout_ms = 500},
                    &status_page);
    return readiness.status == 200 && status_page.status == 200 &&
           !strstr(status_page.body, "\"owner\":\"\"");
}

bool
hn_wait_ready(hn_fleet *fleet, uint32_t timeout_ms)
{
    gint64 timeout_at_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    for (guint i = 0; i < fleet->members->len; i++) {
        const hn_member *member = fleet->members->pdata[i];
        if (member->kind != _HN_DAEMON || !hn_query_running(member)) {
            continue;
        }
        while (!_hn_is_daemon_ready(member)) {
            if (g_get_monotonic_time() > timeout_at_us) {
                g_printerr("fleet: %s is not ready in time\n", member->name);
                return false;
            }
            g_usleep(_HN_POLL_PERIOD_US);
        }
    }
    return true;
}

bool
hn_wait_member_ready(const hn_member *daemon, uint32_t timeout_ms)
{
    g_autofree char *url = g_strdup_printf("%s/readyz", daemon->url);
    gint64 timeout_at_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    while (g_get_monotonic_time() < timeout_at_us) {
        g_auto(ht_response) response = {0};
        ht_send_request(
            &(ht_desc){.url = url, .ca = daemon->fleet->ca, .timeout_ms = 500},
            &response);
        if (response.status == 200) {
            return true;
        }
        g_usleep(_HN_POLL_PERIOD_US);
    }
    return false;
}

/* -- public: members ------------------------------------------------------ */

hn_member *
hn_find(hn_fleet *fleet, const char *name)
{
    for (guint i = 0; i < fleet->members->len; i++) {
        hn_member *member = fleet->members->pdata[i];
        if (strcmp(member->name, name) == 0) {
            return member;
        }
    }
    return NULL;
}

void
hn_signal(hn_member *member, int signal)
{
    g_subprocess_send_signal(member->process, signal);
}

bool
hn_wait_exit(hn_member *member, uint32_t timeout_ms, int *exit_code)
{
    gint64 timeout_at_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    while (hn_query_running(member)) {
        if (g_get_monotonic_time() > timeout_at_us) {
            return false;
        }
        g_usleep(_HN_POLL_PERIOD_US);
    }
    g_subprocess_wait(member->process, NULL, NULL);
    if (exit_code) {
        *exit_code = g_subprocess_get_if_exited(member->process)
                         ? g_subprocess_get_exit_status(member->process)
                         : -1;
    }
    return true;
}

bool
hn_restart(hn_member *member)
{
    return _hn_start_member(member);
}

static bool
_hn_post(const hn_member *member, const char *base, const char *path,
         const char *json)
{
    g_autofree char *url = g_strdup_printf("%s%s", base, path);
    g_auto(ht_response) response = {0};
    ht_send_request(&(ht_desc){.url = url,
                               .body = json,
                               .ca = member->fleet->ca,
                               .timeout_ms = 2000},
                    &response);
    return response.status == 200;
}

bool
hn_send_order(hn_member *member, const char *json)
{
    return _hn_post(member, member->url, "/control", json);
}

bool
hn_set_partition(hn_member *daemon, const char *json)
{
    return _hn_post(daemon, daemon->admin_url, "/test/cut", json);
}

/* -- public: queries ------------------------------------------------------ */

const char *
hn_query_url(const hn_member *member)
{
    return member->url;
}

const char *
hn_query_admin_url(const hn_member *member)
{
    return member->admin_url;
}

const char *
hn_query_platform_url(const hn_fleet *fleet)
{
    return fleet->platform->url;
}

bool
hn_query_running(const hn_member *member)
{
    /* GSubprocess clears the identifier when the main context has reaped the
       process. */
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    return member->process &&
           g_subprocess_get_identifier(member->process) != NULL;
}

const char *
hn_query_history(const hn_member *member)
{
    return member->history;
}

const char *
hn_query_directory(const hn_fleet *fleet)
{
    return fleet->directory;
}

const char *
hn_query_ca(const hn_fleet *fleet)
{
    return fleet->ca;
}
