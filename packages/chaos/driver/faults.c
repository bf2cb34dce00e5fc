#include "faults.h"

#include "shop.h"
#include <signal.h>

#define _FT_STOP_WAIT_MS 20000
#define _FT_READY_WAIT_MS 15000
#define _FT_POLL_US 20000
/* Time in which a balancer sees that an instance does not answer. */
#define _FT_BALANCER_US 1000000
/* Time that the caller's end of a connection may need to see its end. */
#define _FT_AFTER_US 500000

/* Time in which the platform starts an engine again that crashed. */
#define _FT_REVIVE_US 1000000
#define _FT_POISON_ON "{\"order\":\"crash_on\",\"text\":\"" CR_POISON "\"}"
#define _FT_POISON_OFF "{\"order\":\"crash_on\",\"text\":\"\"}"

static const char *const _ft_engines[] = {"e1", "e2", "e3", "e4"};

/* A fault that has begun. */
typedef struct _ft_open {
    pn_step step;
    int64_t at_us;
} _ft_open;

typedef struct _ft_state {
    const ft_desc *desc;
    GArray *open; /* _ft_open */
} _ft_state;

/* -- private: members ----------------------------------------------------- */

static hn_member *
_ft_member(const _ft_state *state, const char *name)
{
    return hn_find(state->desc->fleet, name);
}

static void
_ft_restart(const _ft_state *state, const char *name)
{
    hn_member *member = _ft_member(state, name);
    if (!hn_query_running(member) && !hn_restart(member)) {
        g_printerr("chaos: %s does not come up again\n", name);
    }
}

static void
_ft_wait_ready(const _ft_state *state, const char *daemon)
{
    g_autofree char *url =
        g_strconcat(hn_query_url(_ft_member(state, daemon)), "/readyz", NULL);
    int64_t end_us = g_get_monotonic_time() + _FT_READY_WAIT_MS * 1000;
    while (g_get_monotonic_time() < end_us) {
        g_auto(ht_response) answer = {0};
        ht_send_request(&(ht_desc){.url = url, .timeout_ms = 500}, &answer);
        if (answer.status == 200) {
            break;
        }
        g_usleep(_FT_POLL_US);
    }
    rc_set_usable(state->desc->record, daemon, true);
}

static void
_ft_cut(const _ft_state *state, bool on)
{
    hn_fleet *fleet = state->desc->fleet;
    hn_send_order(_ft_member(state, "platform"),
                  on ? "{\"order\":\"partition\",\"who\":[\"z2\"],"
                       "\"mode\":\"silent\"}"
                     : "{\"order\":\"partition\",\"who\":[]}");
    const char *towards_z2 = on ? "{\"zones\":[\"z2\"]}" : "{\"zones\":[]}";
    const char *towards_z1 = on ? "{\"zones\":[\"z1\"]}" : "{\"zones\":[]}";
    hn_set_partition(hn_find(fleet, "a"), towards_z2);
    hn_set_partition(hn_find(fleet, "b"), towards_z2);
    hn_set_partition(hn_find(fleet, "c"), towards_z1);
}

static void
_ft_poison(const _ft_state *state, bool on)
{
    cr_set_poison(state->desc->callers, on);
    for (size_t i = 0; i < G_N_ELEMENTS(_ft_engines); i++) {
        if (!on) {
            _ft_restart(state, _ft_engines[i]);
        }
        hn_send_order(_ft_member(state, _ft_engines[i]),
                      on ? _FT_POISON_ON : _FT_POISON_OFF);
    }
}

/* -- private: steps ------------------------------------------------------- */

static void
_ft_begin_daemon(const _ft_state *state, const pn_step *step)
{
    static const int signals[PN_FAULT_NUM] = {
        [PN_KILL_DAEMON] = SIGKILL,
        [PN_PAUSE_DAEMON] = SIGSTOP,
        [PN_STOP_DAEMON] = SIGTERM,
    };
    if (step->fault != PN_PAUSE_DAEMON) {
        rc_set_usable(state->desc->record, step->member, false);
    }
    hn_signal(_ft_member(state, step->member), signals[step->fault]);
    if (step->fault == PN_PAUSE_DAEMON) {
        g_usleep(_FT_BALANCER_US);
        rc_set_usable(state->desc->record, step->member, false);
    }
}

static void
_ft_end_daemon(const _ft_state *state, const pn_step *step)
{
    hn_member *daemon = _ft_member(state, step->member);
    int exit_code = 0;
    if (step->fault == PN_PAUSE_DAEMON) {
        hn_signal(daemon, SIGCONT);
    }
    else if (!hn_wait_exit(daemon, _FT_STOP_WAIT_MS, &exit_code)) {
        g_printerr("chaos: %s did not stop\n", step->member);
        hn_signal(daemon, SIGKILL);
        hn_wait_exit(daemon, _FT_STOP_WAIT_MS, NULL);
    }
    if (step->fault == PN_STOP_DAEMON && exit_code != 0) {
        g_print("chaos: %s stopped with exit code %d\n", step->member,
                exit_code);
    }
    if (step->fault != PN_PAUSE_DAEMON) {
        _ft_restart(state, step->member);
    }
    _ft_wait_ready(state, step->member);
}

/* Orders to stand-ins that begin and end a fault; NULL: nothing to do. */
static const char *const _ft_orders[PN_FAULT_NUM][2] = {
    [PN_PLATFORM_DOWN] = {"{\"order\":\"down\",\"ms\":60000}",
                          "{\"order\":\"heal\"}"},
    [PN_PLATFORM_SILENT] = {"{\"order\":\"down\",\"ms\":60000,"
                            "\"mode\":\"silent\"}",
                            "{\"order\":\"heal\"}"},
    [PN_PLATFORM_LATE] = {"{\"order\":\"late\",\"ms\":300}",
                          "{\"order\":\"late\",\"ms\":0}"},
    [PN_LOSE_ANSWERS] = {"{\"order\":\"lose_answers\",\"count\":4}", NULL},
    [PN_FAIL_LOADS] = {"{\"order\":\"fail_loads\",\"count\":4}", NULL},
    [PN_RESTART_ENGINE] = {"{\"order\":\"restart_empty\"}", NULL},
    [PN_SILENT_ENGINE] = {"{\"order\":\"silent\"}", NULL},
    [PN_SLOW_ENGINE] = {"{\"order\":\"slow\",\"factor\":10,\"ms\":60000}",
                        "{\"order\":\"slow\",\"factor\":1,\"ms\":1}"},
    [PN_LEAVING] = {"{\"order\":\"leaving\",\"lag_ms\":3000}", NULL},
};

static void
_ft_carry_out(const _ft_state *state, const pn_step *step)
{
    switch (step->fault) {
    case PN_KILL_DAEMON:
    case PN_PAUSE_DAEMON:
    case PN_STOP_DAEMON:
        step->end ? _ft_end_daemon(state, step)
                  : _ft_begin_daemon(state, step);
        break;
    case PN_KILL_ENGINE:
        step->end ? _ft_restart(state, step->member)
                  : hn_signal(_ft_member(state, step->member), SIGKILL);
        break;
    case PN_POISON:
        _ft_poison(state, !step->end);
        break;
    case PN_PARTITION:
        _ft_cut(state, !step->end);
        break;
    default:
        if (_ft_orders[step->fault][step->end]) {
            hn_send_order(_ft_member(state, step->member),
                          _ft_orders[step->fault][step->end]);
        }
        break;
    }
}

/* -- private: crashed engines --------------------------------------------- */

static bool
_ft_is_out(const _ft_state *state, const char *engine)
{
    for (guint i = 0; i < state->open->len; i++) {
        const _ft_open *open = &g_array_index(state->open, _ft_open, i);
        if (open->step.fault == PN_KILL_ENGINE &&
            g_str_equal(open->step.member, engine)) {
            return true;
        }
    }
    return false;
}

/* The platform starts an engine again that crashed by itself. */
static void
_ft_revive(const _ft_state *state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(_ft_engines); i++) {
        const char *engine = _ft_engines[i];
        bool crashed = !hn_query_running(_ft_member(state, engine)) &&
                       !_ft_is_out(state, engine);
        if (crashed) {
            _ft_restart(state, engine);
            hn_send_order(_ft_member(state, engine), _FT_POISON_ON);
        }
    }
}

static void
_ft_wait_until(const _ft_state *state, int64_t until_us)
{
    int64_t left_us;
    while ((left_us = until_us - g_get_monotonic_time()) > 0) {
        g_usleep((gulong)MIN(left_us, _FT_REVIVE_US));
        if (left_us > _FT_REVIVE_US) {
            _ft_revive(state);
        }
    }
}

/* -- private: the record -------------------------------------------------- */

/* Only a killed daemon excuses answers cut off at it. */
static void
_ft_note(const _ft_state *state, const _ft_open *open)
{
    const pn_step *step = &open->step;
    bool killed = step->fault == PN_KILL_DAEMON;
    g_autofree char *name =
        g_strdup_printf("%s %s", pn_query_name(step->fault), step->member);
    rc_add(state->desc->record,
           &(hk_event){.type = HK_FAULT,
                       .who = killed ? step->member : name,
                       .at_us = open->at_us,
                       .end_us = g_get_real_time() + _FT_AFTER_US});
}

static void
_ft_take_step(_ft_state *state, const pn_step *step)
{
    g_print("chaos: %5u ms %s %s %s\n", step->at_ms,
            step->end ? "ends" : "begins", pn_query_name(step->fault),
            step->member);
    int64_t at_us = g_get_real_time();
    if (step->fault == PN_LEAVING) {
        rc_add(state->desc->record, &(hk_event){.type = HK_LEAVING,
                                                .who = step->member,
                                                .at_us = at_us});
    }
    _ft_carry_out(state, step);
    if (!step->end) {
        _ft_open open = {.step = *step, .at_us = at_us};
        g_array_append_val(state->open, open);
        return;
    }
    for (guint i = 0; i < state->open->len; i++) {
        const _ft_open *open = &g_array_index(state->open, _ft_open, i);
        if (open->step.fault == step->fault &&
            open->step.member == step->member) {
            _ft_note(state, open);
            g_array_remove_index(state->open, i);
            return;
        }
    }
}

/* -- public --------------------------------------------------------------- */

void
ft_run(const ft_desc *desc)
{
    _ft_state state = {
        .desc = desc,
        .open = g_array_new(FALSE, FALSE, sizeof(_ft_open)),
    };
    int64_t start_us = g_get_monotonic_time();
    for (guint i = 0; i < desc->steps->len; i++) {
        const pn_step *step = &g_array_index(desc->steps, pn_step, i);
        _ft_wait_until(&state, start_us + step->at_ms * INT64_C(1000));
        _ft_take_step(&state, step);
    }
    g_array_unref(state.open);
}
