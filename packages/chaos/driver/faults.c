#include "faults.h"

#include "shop.h"
#include <signal.h>

#define _FT_STOP_TIMEOUT_MS 20000
#define _FT_READY_TIMEOUT_MS 15000
#define _FT_POLL_INTERVAL_US 20000
/* Time after which a load balancer notices that an instance does not answer;
   until then callers still use a paused daemon. */
#define _FT_BALANCER_DELAY_US 1000000
/* Time that a caller may need to notice that its connection has ended. */
#define _FT_CALLER_DELAY_US 500000
/* Interval at which crashed engines are restarted, as the platform does. */
#define _FT_RESTART_INTERVAL_US 1000000
#define _FT_CRASH_ON_POISON                                                   \
    "{\"order\":\"crash_on\",\"text\":\"" CR_POISON_PROMPT "\"}"
#define _FT_STOP_CRASHING "{\"order\":\"crash_on\",\"text\":\"\"}"

static const char *const _ft_engines[] = {"e1", "e2", "e3", "e4"};

/* A fault that has begun and not ended. */
typedef struct _ft_active_fault {
    pn_step step;
    int64_t at_us;
} _ft_active_fault;

typedef struct _ft_injector {
    const ft_desc *desc;
    GArray *active_faults; /* _ft_active_fault */
} _ft_injector;

/* -- private: members ----------------------------------------------------- */

static hn_member *
_ft_find_member(const _ft_injector *injector, const char *name)
{
    return hn_find(injector->desc->fleet, name);
}

static void
_ft_restart(const _ft_injector *injector, const char *name)
{
    hn_member *member = _ft_find_member(injector, name);
    if (!hn_query_running(member) && !hn_restart(member)) {
        g_printerr("chaos: %s failed to restart\n", name);
    }
}

/* Marks the daemon as usable once it is ready, or after the timeout. */
static void
_ft_wait_ready(const _ft_injector *injector, const char *daemon)
{
    g_autofree char *url = g_strconcat(
        hn_query_url(_ft_find_member(injector, daemon)), "/readyz", NULL);
    int64_t end_us = g_get_monotonic_time() + _FT_READY_TIMEOUT_MS * 1000;
    while (g_get_monotonic_time() < end_us) {
        g_auto(ht_response) answer = {0};
        ht_send_request(&(ht_desc){.url = url, .timeout_ms = 500}, &answer);
        if (answer.status == 200) {
            break;
        }
        g_usleep(_FT_POLL_INTERVAL_US);
    }
    rc_set_usable(injector->desc->record, daemon, true);
}

/* Separates zone z2 from z1 and from the platform, or connects them again. */
static void
_ft_set_partition(const _ft_injector *injector, bool enabled)
{
    hn_fleet *fleet = injector->desc->fleet;
    hn_send_order(_ft_find_member(injector, "platform"),
                  enabled ? "{\"order\":\"partition\",\"who\":[\"z2\"],"
                            "\"mode\":\"silent\"}"
                          : "{\"order\":\"partition\",\"who\":[]}");
    const char *cut_z2 = enabled ? "{\"zones\":[\"z2\"]}" : "{\"zones\":[]}";
    const char *cut_z1 = enabled ? "{\"zones\":[\"z1\"]}" : "{\"zones\":[]}";
    hn_set_partition(hn_find(fleet, "a"), cut_z2);
    hn_set_partition(hn_find(fleet, "b"), cut_z2);
    hn_set_partition(hn_find(fleet, "c"), cut_z1);
}

/* Lets callers send the poison prompt, and engines crash on it, or neither;
   restarts crashed engines at the end. */
static void
_ft_set_poison(const _ft_injector *injector, bool enabled)
{
    cr_set_poison(injector->desc->callers, enabled);
    for (size_t i = 0; i < G_N_ELEMENTS(_ft_engines); i++) {
        if (!enabled) {
            _ft_restart(injector, _ft_engines[i]);
        }
        hn_send_order(_ft_find_member(injector, _ft_engines[i]),
                      enabled ? _FT_CRASH_ON_POISON : _FT_STOP_CRASHING);
    }
}

/* -- private: steps ------------------------------------------------------- */

static void
_ft_begin_daemon_fault(const _ft_injector *injector, const pn_step *step)
{
    static const int signals[PN_FAULT_NUM] = {
        [PN_KILL_DAEMON] = SIGKILL,
        [PN_PAUSE_DAEMON] = SIGSTOP,
        [PN_STOP_DAEMON] = SIGTERM,
    };
    if (step->fault != PN_PAUSE_DAEMON) {
        rc_set_usable(injector->desc->record, step->member, false);
    }
    hn_signal(_ft_find_member(injector, step->member), signals[step->fault]);
    if (step->fault == PN_PAUSE_DAEMON) {
        g_usleep(_FT_BALANCER_DELAY_US);
        rc_set_usable(injector->desc->record, step->member, false);
    }
}

static void
_ft_end_daemon_fault(const _ft_injector *injector, const pn_step *step)
{
    hn_member *daemon = _ft_find_member(injector, step->member);
    int exit_code = 0;
    if (step->fault == PN_PAUSE_DAEMON) {
        hn_signal(daemon, SIGCONT);
    }
    else if (!hn_wait_exit(daemon, _FT_STOP_TIMEOUT_MS, &exit_code)) {
        g_printerr("chaos: %s did not exit before the timeout; killing it\n",
                   step->member);
        hn_signal(daemon, SIGKILL);
        hn_wait_exit(daemon, _FT_STOP_TIMEOUT_MS, NULL);
    }
    if (step->fault == PN_STOP_DAEMON && exit_code != 0) {
        g_print("chaos: %s stopped with exit code %d\n", step->member,
                exit_code);
    }
    if (step->fault != PN_PAUSE_DAEMON) {
        _ft_restart(injector, step->member);
    }
    _ft_wait_ready(injector, step->member);
}

/* Orders to stand-ins: {begin, end}; NULL: none. Durations of 60000 ms outlast
   the fault, which its end order stops. */
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
_ft_apply_step(const _ft_injector *injector, const pn_step *step)
{
    switch (step->fault) {
    case PN_KILL_DAEMON:
    case PN_PAUSE_DAEMON:
    case PN_STOP_DAEMON:
        step->is_end ? _ft_end_daemon_fault(injector, step)
                     : _ft_begin_daemon_fault(injector, step);
        break;
    case PN_KILL_ENGINE:
        step->is_end
            ? _ft_restart(injector, step->member)
            : hn_signal(_ft_find_member(injector, step->member), SIGKILL);
        break;
    case PN_POISON:
        _ft_set_poison(injector, !step->is_end);
        break;
    case PN_PARTITION:
        _ft_set_partition(injector, !step->is_end);
        break;
    default:
        if (_ft_orders[step->fault][step->is_end]) {
            hn_send_order(_ft_find_member(injector, step->member),
                          _ft_orders[step->fault][step->is_end]);
        }
        break;
    }
}

/* -- private: crashed engines --------------------------------------------- */

static bool
_ft_is_killed(const _ft_injector *injector, const char *engine)
{
    for (guint i = 0; i < injector->active_faults->len; i++) {
        const _ft_active_fault *fault =
            &g_array_index(injector->active_faults, _ft_active_fault, i);
        if (fault->step.fault == PN_KILL_ENGINE &&
            g_str_equal(fault->step.member, engine)) {
            return true;
        }
    }
    return false;
}

/* Restarts engines that ended without a kill fault, as the platform does, and
   repeats the order to crash on the poison prompt, which a restart loses. */
static void
_ft_restart_crashed(const _ft_injector *injector)
{
    for (size_t i = 0; i < G_N_ELEMENTS(_ft_engines); i++) {
        const char *engine = _ft_engines[i];
        bool crashed = !hn_query_running(_ft_find_member(injector, engine)) &&
                       !_ft_is_killed(injector, engine);
        if (crashed) {
            _ft_restart(injector, engine);
            hn_send_order(_ft_find_member(injector, engine),
                          _FT_CRASH_ON_POISON);
        }
    }
}

/* Waits, and restarts crashed engines meanwhile. */
static void
_ft_wait_until(const _ft_injector *injector, int64_t until_us)
{
    int64_t left_us;
    while ((left_us = until_us - g_get_monotonic_time()) > 0) {
        g_usleep((gulong)MIN(left_us, _FT_RESTART_INTERVAL_US));
        if (left_us > _FT_RESTART_INTERVAL_US) {
            _ft_restart_crashed(injector);
        }
    }
}

/* -- private: recording --------------------------------------------------- */

/* Records a fault that ended. Only a killed daemon excuses answers that were
   cut off there, so other faults are recorded with a subject that is no
   daemon's name. */
static void
_ft_record_fault(const _ft_injector *injector, const _ft_active_fault *fault)
{
    const pn_step *step = &fault->step;
    bool killed = step->fault == PN_KILL_DAEMON;
    g_autofree char *name =
        g_strdup_printf("%s %s", pn_query_name(step->fault), step->member);
    rc_add(injector->desc->record,
           &(hk_event){.type = HK_FAULT,
                       .subject = killed ? step->member : name,
                       .at_us = fault->at_us,
                       .end_us = g_get_real_time() + _FT_CALLER_DELAY_US});
}

static void
_ft_run_step(_ft_injector *injector, const pn_step *step)
{
    g_print("chaos: %5u ms %s %s %s\n", step->at_ms,
            step->is_end ? "ends" : "begins", pn_query_name(step->fault),
            step->member);
    int64_t at_us = g_get_real_time();
    if (step->fault == PN_LEAVING) {
        rc_add(injector->desc->record, &(hk_event){.type = HK_LEAVING,
                                                   .subject = step->member,
                                                   .at_us = at_us});
    }
    _ft_apply_step(injector, step);
    if (!step->is_end) {
        _ft_active_fault fault = {.step = *step, .at_us = at_us};
        g_array_append_val(injector->active_faults, fault);
        return;
    }
    for (guint i = 0; i < injector->active_faults->len; i++) {
        const _ft_active_fault *fault =
            &g_array_index(injector->active_faults, _ft_active_fault, i);
        if (fault->step.fault == step->fault &&
            fault->step.member == step->member) {
            _ft_record_fault(injector, fault);
            g_array_remove_index(injector->active_faults, i);
            return;
        }
    }
}

/* -- public --------------------------------------------------------------- */

void
ft_run(const ft_desc *desc)
{
    _ft_injector injector = {
        .desc = desc,
        .active_faults = g_array_new(FALSE, FALSE, sizeof(_ft_active_fault)),
    };
    int64_t start_us = g_get_monotonic_time();
    for (guint i = 0; i < desc->steps->len; i++) {
        const pn_step *step = &g_array_index(desc->steps, pn_step, i);
        _ft_wait_until(&injector, start_us + step->at_ms * INT64_C(1000));
        _ft_run_step(&injector, step);
    }
    g_array_unref(injector.active_faults);
}
