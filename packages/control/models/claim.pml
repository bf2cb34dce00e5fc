/*
 * Model of claims: several attempts of one (team, key) compete for its row.
 * Commits may take effect late, their answers may be lost, and claimers may
 * die.
 *
 * Checked: the operation runs at most once, and an attempt whose caller was
 * told "not run" never runs. Each macro removes one safeguard, and the check
 * must then fail:
 *   SEND_ON_TIMEOUT  a commit without an answer counts as committed
 *   TAKE_OVER        the row of another claimer is overwritten
 *   NO_CONDITION     a commit ignores the version it expects
 *   NO_GIVING_UP     after answering "not run", a late answer of the commit
 *                    still sends the operation
 */
#define ATTEMPTS 3
#define NOBODY ATTEMPTS

mtype = { absent, claimed, done, not_sent };
mtype = { none, ok, conflict };

mtype row = absent;
byte owner = NOBODY;
byte version = 0;
byte runs = 0;

bool in_flight[ATTEMPTS];
byte expect[ATTEMPTS];
mtype answer[ATTEMPTS] = none;
bool told_not_run[ATTEMPTS];

/* One commit in the network: it takes effect at any time after it was sent;
   its answer comes after that, or never. */
active [ATTEMPTS] proctype wire()
{
    byte me = _pid;
end:
    do
    :: atomic {
        in_flight[me] ->
        in_flight[me] = false;
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: version == expect[me] ->
#endif
            row = claimed;
            owner = me;
            version++;
            if
            :: answer[me] = ok
            :: skip /* lost */
            fi
        :: version != expect[me] ->
            if
            :: answer[me] = conflict
            :: skip
            fi
        fi
    }
    od
}

inline send()
{
    atomic {
        assert(!told_not_run[me]);
        runs++;
        assert(runs <= 1);
    }
}

/* Closing after an abandoned attempt: writes not_sent, and tries again as long
   as this attempt's commit has taken effect or still could. */
inline close_not_sent()
{
    do
    :: atomic {
        version == expect[me] ->
        row = not_sent;
        owner = me;
        version++;
        break
    }
    :: atomic {
        version != expect[me] ->
        if
        :: row == claimed && owner == me -> expect[me] = version
        :: row == not_sent && owner != me && in_flight[me] ->
            expect[me] = version
        :: else -> break
        fi
    }
    :: break /* dies */
    od
}

active [ATTEMPTS] proctype claimer()
{
    byte me = _pid - ATTEMPTS;

look:
    atomic {
        if
        :: row == absent || row == not_sent -> expect[me] = version
#ifdef TAKE_OVER
        :: row == claimed && owner != me -> expect[me] = version
#else
        :: row == claimed && owner != me -> goto over
#endif
        :: row == claimed && owner == me -> goto sending
        :: row == done -> goto over
        fi;
        in_flight[me] = true;
        answer[me] = none
    }
    if
    :: answer[me] == ok -> goto sending
    :: answer[me] == conflict -> goto look
    :: true -> goto silence
    :: true -> goto over /* dies */
    fi;

silence:
#ifdef SEND_ON_TIMEOUT
    goto sending;
#endif
    if
    :: atomic { row == claimed && owner == me -> goto sending }
    :: atomic {
        told_not_run[me] = true;
        goto give_up
    }
    fi;

give_up:
#ifdef NO_GIVING_UP
    if
    :: answer[me] == ok -> goto sending
    :: true -> skip
    fi;
#endif
    close_not_sent();
    goto over;

sending:
    send();
    if
    :: atomic { row == claimed && owner == me -> row = done; version++ }
    :: true /* dies */
    fi;

over:
    skip
}
