/* clients.c: clients with kept connections, and the project's instances. */
#include "bed.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_WORKS 60000
#define RESTART_MS 1000
#define RECONNECT_MS 500
#define GRACE_S 8

const char *const kind_names[KIND_NUM] = {"book", "stock", "chat", "draft"};

/* -- requests ------------------------------------------------------------- */

work *works;
int work_count;
static client clients[128];
static int client_count;

work *
find_work(const char *id)
{
    unsigned long long number = strtoull(id, NULL, 16);
    return number >= FIRST_ID && number < FIRST_ID + (uint64_t)work_count
               ? &works[number - FIRST_ID]
               : NULL;
}

static void send_next(void *data);
static void on_answer(conn *c);
static void on_lost(conn *c);

client *
add_client(int instance, int pause_ms)
{
    client *c = &clients[client_count];
    *c = (client){.number = client_count++,
                  .instance = instance,
                  .pause_ms = pause_ms,
                  .current = -1};
    return c;
}

void
start_client(client *c)
{
    call_later(0, send_next, c);
}

void
stop_clients(void)
{
    for (int i = 0; i < client_count; i++) {
        clients[i].stopped = true;
    }
}

const int deadlines_ms[KIND_NUM] = {4000, 4000, 12000, 15000};

static void
write_request(client *c, kind k, int number)
{
    buffer out = {0};
    bool plain = k == BOOK || k == STOCK;
    const char *body = k == STOCK ? "" : "{\"what\":\"a request\"}";
    buffer_print(&out,
                 "%s /%s/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %llx\r\n"
                 "Deadline-Ms: %d\r\n",
                 k == STOCK ? "GET" : "POST", kind_names[k], number, HOST,
                 FIRST_ID + (unsigned long long)number, deadlines_ms[k]);
    if (!plain) {
        char model[24];
        snprintf(model, sizeof(model), "%s/a%d", MODEL,
                 1 + (c->rare ? number % 3000 : number % 6));
        buffer_print(&out,
                     "Model: %s\r\nToken-Usage: %s\r\n"
                     "Prompt-Prefix: 5c1e07a2:198,%x:628\r\n",
                     c->model ? c->model : model,
                     c->tokens ? c->tokens : "826,240", number);
    }
    if (k != STOCK) {
        buffer_print(&out, "Content-Length: %zu\r\n", strlen(body));
    }
    buffer_print(&out, "\r\n%s", body);
    write_bytes(c->conn, out.data, out.length);
    free(out.data);
}

static void
give_up(void *data)
{
    int number = (int)(intptr_t)data;
    work *w = &works[number];
    client *c = &clients[w->client];
    if (w->done_ms || c->current != number) {
        return;
    }
    note("client %d gives up %llx (%s)", c->number,
         FIRST_ID + (unsigned long long)number, kind_names[w->kind]);
    close_conn(c->conn);
    c->conn = NULL;
    c->answers = 0;
    c->current = -1;
    if (!c->once) {
        call_later(c->pause_ms, send_next, c);
    }
}

static void
send_next(void *data)
{
    client *c = data;
    if (c->stopped || c->current >= 0) {
        return;
    }
    if (!c->conn || c->conn->freed) {
        const instance *i = &instances[c->instance];
        c->answers = 0;
        c->conn = open_conn(i->ip, i->listen_port, c->receive_bytes, c);
        if (!c->conn) {
            call_later(RECONNECT_MS, send_next, c);
            return;
        }
        c->conn->on_input = on_answer;
        c->conn->on_closed = on_lost;
    }
    if (work_count == MAX_WORKS) {
        exit(2);
    }
    kind k = c->kinds[c->next++ % c->kind_count];
    c->current = work_count++;
    works[c->current] = (work){.kind = k,
                               .instance = c->instance,
                               .client = c->number,
                               .kept = c->answers > 0,
                               .odd = c->odd,
                               .sent_ms = now_ms()};
    c->held = false;
    write_request(c, k, c->current);
    call_later(deadlines_ms[k], give_up, (void *)(intptr_t)c->current);
}

/* Returns the length of a whole answer; 0: it is not whole. */
static size_t
answer_length(const buffer *in, int *status)
{
    const char *end = in->length ? strstr(in->data, "\r\n\r\n") : NULL;
    char text[40];
    if (!end) {
        return 0;
    }
    *status = atoi(in->data + 9);
    size_t at = (size_t)(end - in->data) + 4;
    char *head = strndup(in->data, at - 2);
    bool chunked = get_header(head, "Transfer-Encoding", text, sizeof(text));
    get_header(head, "Content-Length", text, sizeof(text));
    free(head);
    if (!chunked) {
        size_t length = at + strtoul(text, NULL, 10);
        return in->length >= length ? length : 0;
    }
    while (at < in->length) {
        char *stop;
        size_t size = strtoul(in->data + at, &stop, 16);
        if (strncmp(stop, "\r\n", 2) != 0) {
            return 0;
        }
        at = (size_t)(stop - in->data) + 2 + size + 2;
        if (at > in->length) {
            return 0;
        }
        if (size == 0) {
            return at;
        }
    }
    return 0;
}

static void
read_on(void *data)
{
    conn *c = data;
    c->reading = true;
}

static void
end_answer(client *c, int status)
{
    work *w = &works[c->current];
    w->done_ms = now_ms();
    w->status = status;
    if (w->odd || status >= 400 || w->done_ms > w->sent_ms + 4000) {
        note("client %d: answer %d to %llx (%s) after %lld ms", c->number,
             status, FIRST_ID + (unsigned long long)c->current,
             kind_names[w->kind], (long long)(w->done_ms - w->sent_ms));
    }
    c->answers++;
    c->current = -1;
    if (!c->once) {
        call_later(c->pause_ms, send_next, c);
    }
}

static void
on_answer(conn *nc)
{
    client *c = nc->owner;
    int status = 0;
    if (c->current < 0) {
        return;
    }
    works[c->current].begun = true;
    if (c->hold_ms && !c->held && c->answers > 0) {
        c->held = true;
        nc->reading = false;
        call_later(c->hold_ms, read_on, nc);
    }
    size_t length = answer_length(&nc->in, &status);
    if (length) {
        char text[40];
        work *w = &works[c->current];
        snprintf(text, sizeof(text), "\nid: %d\n", STREAM_EVENTS);
        w->incomplete = (w->kind == CHAT || w->kind == DRAFT) &&
                        status == 200 && !strstr(nc->in.data, text);
        if (w->incomplete) {
            note("client %d: the answer to %llx (%s) looks complete, without "
                 "its last event",
                 c->number, FIRST_ID + (unsigned long long)c->current,
                 kind_names[w->kind]);
        }
        bool last = get_header(nc->in.data, "Connection", text, sizeof(text));
        buffer_drop(&nc->in, length);
        if (last) {
            close_conn(nc);
        }
        end_answer(c, status);
    }
}

static void
on_lost(conn *nc)
{
    client *c = nc->owner;
    if (c->conn != nc) {
        return;
    }
    c->conn = NULL;
    if (c->current >= 0) {
        work *w = &works[c->current];
        w->closed_ms = now_ms();
        w->done_ms = w->closed_ms;
        note("client %d: %s closed the connection of %llx (%s, %s connection) "
             "without %s answer; %s; %zu bytes came",
             c->number, instances[c->instance].name,
             FIRST_ID + (unsigned long long)c->current, kind_names[w->kind],
             w->kept ? "kept" : "new", w->begun ? "a whole" : "an",
             w->arrived ? "a server has it" : "no server has it",
             nc->in.length);
        c->current = -1;
    }
    if (!c->once) {
        call_later(RECONNECT_MS, send_next, c);
    }
}

/* -- instances ------------------------------------------------------------ */

instance instances[MAX_INSTANCES];
int instance_count;
char work_folder[200];

static const char *
setting(const instance *i, const char *name)
{
    static char text[64];
    struct {
        const char *name;
        const char *value;
    } fixed[] = {{"NodeName", i->name},
                 {"Zone", "z1"},
                 {"Ip", i->ip},
                 {"Platform.Address", store_address},
                 {"Bounds.GracePeriodS", "8"},
                 {"Bounds.ConfigApplyMs", "2000"},
                 {"Bounds.DrainTimeoutMs", "2000"},
                 {"Bounds.LeaseTtlMs", "3000"},
                 {"Bounds.version_ms", "5000"},
                 {"Bounds.RetryBudgetRatio", "0.2"},
                 {"Bounds.BudgetWindowS", "10"},
                 {"Bounds.BudgetSlack", "52"},
                 {"Limits.MemoryMb", "260"},
                 {"Limits.MaxFds", "4200"},
                 {"Limits.LinkMbps", "1000.0"}};
    static int peer_port;
    for (size_t n = 0; n < sizeof(fixed) / sizeof(fixed[0]); n++) {
        if (strcmp(fixed[n].name, name) == 0) {
            return fixed[n].value;
        }
    }
    if (strcmp(name, "Listen.Front") == 0) {
        snprintf(text, sizeof(text), "%s:%d", i->ip, i->listen_port);
    }
    else if (strcmp(name, "Listen.Ready") == 0) {
        snprintf(text, sizeof(text), "%s:%d", i->ip, i->ready_port);
    }
    else if (strcmp(name, "InternalPorts") == 0) {
        /* The same on all machines, which differ in their addresses. */
        peer_port = peer_port ? peer_port : free_port(i->ip);
        snprintf(text, sizeof(text), "%d,%d", peer_port, peer_port + 15);
    }
    else {
        text[0] = '\0';
    }
    return text;
}

/* Fills in the template of the deploy file. */
static void
write_settings(const instance *i)
{
    FILE *in = fopen("platform/instance.ini.template", "r");
    FILE *out = fopen(i->settings, "w");
    char line[512];
    if (!in || !out) {
        perror("settings");
        exit(2);
    }
    while (fgets(line, sizeof(line), in)) {
        char *open;
        char *close;
        char *at = line;
        while ((open = strstr(at, "{{")) && (close = strstr(open, "}}"))) {
            fwrite(at, 1, (size_t)(open - at), out);
            *close = '\0';
            if (open[2] != ' ') {
                fputs(setting(i, open + 2), out);
            }
            at = close + 2;
        }
        fputs(at, out);
    }
    fclose(in);
    fclose(out);
}

static void
start_instance(void *data)
{
    instance *i = data;
    if (i->stopping) {
        return;
    }
    i->pid = fork();
    if (i->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log =
            open(i->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        char *const words[] = {"target/bin/lacewingd", "--settings",
                               i->settings, NULL};
        char *const names[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8", NULL};
        execve(words[0], words, names);
        perror(words[0]);
        _exit(3);
    }
    note("%s starts, process %d", i->name, (int)i->pid);
}

static void
watch_instances(void *data)
{
    (void)data;
    for (int n = 0; n < instance_count; n++) {
        instance *i = &instances[n];
        int status;
        if (i->pid && waitpid(i->pid, &status, WNOHANG) == i->pid) {
            i->pid = 0;
            if (!i->stopping) {
                i->own_ends++;
                note("%s ended by itself (%s %d), without a signal from here",
                     i->name, WIFSIGNALED(status) ? "signal" : "code",
                     WIFSIGNALED(status) ? WTERMSIG(status)
                                         : WEXITSTATUS(status));
                call_later(RESTART_MS, start_instance, i);
            }
        }
    }
    call_later(20, watch_instances, NULL);
}

static void
kill_all(void)
{
    for (int n = 0; n < instance_count; n++) {
        if (instances[n].pid) {
            kill(instances[n].pid, SIGKILL);
            waitpid(instances[n].pid, NULL, 0);
            instances[n].pid = 0;
        }
    }
}

void
add_instances(int count, int running)
{
    atexit(kill_all);
    works = calloc(MAX_WORKS, sizeof(*works));
    for (int n = 0; n < count; n++) {
        instance *i = &instances[instance_count++];
        snprintf(i->name, sizeof(i->name), "entry-%d", n + 1);
        /* Addresses that no other run uses at the same time. */
        snprintf(i->ip, sizeof(i->ip), "127.%d.%d.%d", 20 + getpid() % 200,
                 getpid() / 200 % 250, 11 + n);
        i->listen_port = free_port(i->ip);
        i->ready_port = free_port(i->ip);
        snprintf(i->settings, sizeof(i->settings), "%s/%s.ini", work_folder,
                 i->name);
        snprintf(i->log, sizeof(i->log), "%s/%s.log", work_folder, i->name);
        write_settings(i);
        i->waits = n >= running;
        if (!i->waits) {
            start_instance(i);
        }
    }
    call_later(20, watch_instances, NULL);
}

void
start_more_instances(void)
{
    for (int n = 0; n < instance_count; n++) {
        if (instances[n].waits) {
            instances[n].waits = false;
            start_instance(&instances[n]);
        }
    }
}

static bool ready[MAX_INSTANCES];

static void
on_ready_answer(conn *c)
{
    const instance *i = c->owner;
    ready[i - instances] =
        c->in.length > 12 && strncmp(c->in.data + 9, "200", 3) == 0;
    close_conn(c);
}

void
await_ready(void)
{
    int64_t until_ms = now_ms() + 20000;
    int count = 0;
    while (count < instance_count && now_ms() < until_ms) {
        count = 0;
        for (int n = 0; n < instance_count && !instances[n].waits; n++) {
            conn *c = open_conn(instances[n].ip, instances[n].ready_port, 0,
                                &instances[n]);
            if (c) {
                c->on_input = on_ready_answer;
                write_text(c, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
            }
        }
        run_until(now_ms() + 200);
        for (int n = 0; n < instance_count; n++) {
            count += ready[n] || instances[n].waits;
        }
    }
    if (count < instance_count) {
        note("the instances do not become ready");
        exit(2);
    }
    note("%d instances are ready", count);
}

void
stop_instances(void)
{
    for (int n = 0; n < instance_count; n++) {
        instances[n].stopping = true;
        if (instances[n].pid) {
            kill(instances[n].pid, SIGTERM);
        }
    }
    int64_t until_ms = now_ms() + GRACE_S * 1000;
    bool any = true;
    while (any && now_ms() < until_ms) {
        run_until(now_ms() + 50);
        any = false;
        for (int n = 0; n < instance_count; n++) {
            any = any || instances[n].pid;
        }
    }
    kill_all();
}
