package gorsemast.http;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Two connections, three calls, a server that runs, turns away, answers late, twice or namelessly, and a referee that
 * knows what ran. One world; {@link #events} tells what may happen next. Throws {@link Broken} where a rule is.
 */
final class AnswerModel {
    private static final int CALLS = 3;
    private static final int CONNECTIONS = 2;
    private static final int MOST_ATTEMPTS = 2;
    private static final int MOST_ANSWERS = 2;

    /** A rule is broken. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1;

        Broken(String rule) {
            super(rule);
        }
    }

    /** What may happen. */
    record Event(String name, Runnable happens) {}

    /** One request that a server has, or that is on its way to it. */
    private static final class Asked {
        final int call;
        boolean whole;
        boolean ran;
        boolean turnedAway;
        int answers;

        Asked(int call) {
            this.call = call;
        }

        @Override
        public String toString() {
            return "" + call + whole + ran + turnedAway + answers;
        }
    }

    private static final class Connection {
        final ConnectionState state;
        final List<Asked> asked = new ArrayList<>();
        int call = -1;
        boolean open = true;
        boolean noise;
        /** Within a read: another message may follow before it ends. */
        boolean reading;
        /** The answer that is whole and not concluded. */
        Asked answer;

        Code says;

        Connection(ConnectionState state) {
            this.state = state;
        }

        @Override
        public String toString() {
            return state + " " + asked + call + open + noise + reading + says + (answer == null ? -1 : answer.call);
        }
    }

    /** Whether answers name their requests; else they belong by place, and none comes twice. */
    private final boolean named;
    /** Whether each has its connection alone, so that nameless answers may come twice. */
    private final boolean alone;

    private final Connection[] connections = new Connection[CONNECTIONS];
    private final CallState[] calls = new CallState[CALLS];
    private final int[] runs = new int[CALLS];
    private final boolean[] promised = new boolean[CALLS];

    AnswerModel(boolean named, boolean alone, Supplier<ConnectionState> fresh) {
        this.alone = alone;
        this.named = named;
        for (int i = 0; i < CONNECTIONS; i++) {
            connections[i] = new Connection(fresh.get());
        }
        for (int i = 0; i < CALLS; i++) {
            calls[i] = new CallState(!once(i));
        }
    }

    private static boolean once(int call) {
        return call != 1;
    }

    /** All that its future depends on. */
    String key() {
        StringBuilder key = new StringBuilder();
        for (Connection connection : connections) {
            key.append(connection).append('|');
        }
        for (int i = 0; i < CALLS; i++) {
            key.append(calls[i].lastAttempt())
                    .append(calls[i].isInFlight())
                    .append(calls[i].isAnswered())
                    .append(calls[i].mayRefuse())
                    .append(runs[i])
                    .append(promised[i])
                    .append('|');
        }
        return key.toString();
    }

    List<Event> events() {
        List<Event> all = new ArrayList<>();
        for (int c = 0; c < CONNECTIONS; c++) {
            Connection on = connections[c];
            String at = " on " + c;
            for (Asked one : on.asked) {
                server(all, on, one, at);
            }
            if (!on.open) {
                continue;
            }
            if (on.reading) {
                all.add(new Event("read done" + at, () -> readDone(on, false)));
                all.add(new Event("half a line" + at, () -> readDone(on, true)));
                continue; // nothing of ours happens within a read
            }
            for (int k = 0; k < CALLS; k++) {
                int call = k;
                String name = named ? "" + call : null;
                boolean may = calls[k].maySend() && calls[k].lastAttempt() + 1 < MOST_ATTEMPTS;
                if (may && on.call < 0 && on.state.canCarry(name, alone)) {
                    all.add(new Event("send " + k + at, () -> send(on, call, name)));
                }
            }
            ours(all, on, at);
        }
        return all;
    }

    private void ours(List<Event> all, Connection on, String at) {
        if (on.call >= 0) {
            Asked last = on.asked.get(on.asked.size() - 1);
            if (!last.whole) {
                all.add(new Event("last byte" + at, () -> {
                    on.state.lastByteSent();
                    last.whole = true;
                }));
            }
            all.add(new Event("time-out" + at, () -> {
                Code code = on.state.mayHaveRun() ? Code.TIMEOUT : Code.CONNECT_FAILED;
                int call = on.call;
                freed(on, on.state.abandoned());
                told(call, code, null);
            }));
        } else {
            all.add(new Event("bytes while idle" + at, () -> {
                on.noise = true;
                readDone(on, true);
            }));
        }
        all.add(new Event("reset" + at, () -> lost(on)));
    }

    private void server(List<Event> all, Connection on, Asked one, String at) {
        String which = " " + on.asked.indexOf(one) + at;
        boolean acts = !one.ran && !one.turnedAway;
        if (acts && !one.whole && on.open && named) {
            // What has not come whole is not run; a server that does so all the same says so at once.
            all.add(new Event("runs and answers early" + which, () -> {
                run(one);
                answer(on, one, Code.OK, "" + one.call);
            }));
            all.add(new Event("runs and answers early, nameless" + which, () -> {
                run(one);
                answer(on, one, Code.OK, null);
            }));
        }
        if (acts && one.whole) {
            all.add(new Event("runs" + which, () -> run(one)));
        }
        if (acts && (one.whole || on.open)) {
            all.add(new Event("turns away" + which, () -> one.turnedAway = true));
        }
        if (!acts && on.open && one.answers < (named || alone ? MOST_ANSWERS : 1)) {
            Code code = one.ran ? Code.OK : Code.FULL;
            all.add(new Event("answers" + which, () -> answer(on, one, code, "" + one.call)));
            if (named) {
                all.add(new Event("answers nameless" + which, () -> answer(on, one, code, null)));
            }
        }
    }

    private void run(Asked one) {
        one.ran = true;
        runs[one.call]++;
        if (once(one.call) && runs[one.call] > 1) {
            throw new Broken("TWICE");
        }
        if (promised[one.call]) {
            throw new Broken("REFUSED");
        }
    }

    private void send(Connection on, int call, String name) {
        if (on.noise) {
            throw new Broken("MIXED: bytes of before are in the way");
        }
        calls[call].attemptSent(calls[call].nextAttempt());
        on.state.carry(name, once(call), alone);
        on.call = call;
        Asked one = new Asked(call);
        on.asked.add(one);
        if (!once(call)) {
            on.state.lastByteSent();
            one.whole = true;
        }
    }

    private void answer(Connection on, Asked one, Code code, String told) {
        one.answers++;
        on.reading = true;
        ResponseMatch whose = ResponseMatch.BY_POSITION;
        if (named) {
            whose = told == null
                    ? ResponseMatch.UNIDENTIFIED
                    : told.equals("" + on.call) ? ResponseMatch.BY_ID : ResponseMatch.OTHER_REQUEST;
        }
        ConnectionState.Disposition take = on.state.head(whose, false, !code.mayHaveRun, code == Code.OK);
        if (take == ConnectionState.Disposition.BROKEN) {
            lost(on);
            return;
        }
        if (on.state.part(true) == ConnectionState.Disposition.OWN) {
            on.answer = one;
            on.says = code;
        }
    }

    private void readDone(Connection on, boolean rest) {
        on.reading = false;
        switch (on.state.readDone(rest)) {
            case WHOLE -> conclude(on, true);
            case CLOSE -> lost(on);
            case MORE -> {
                // nothing yet
            }
        }
        on.noise |= rest;
    }

    private void conclude(Connection on, boolean keeps) {
        int call = on.call;
        Asked answer = on.answer;
        Code code = on.says;
        on.answer = null;
        on.says = null;
        freed(on, on.state.completed(keeps));
        told(call, code, answer);
    }

    private void lost(Connection on) {
        on.reading = false;
        if (on.state.isWhole()) {
            on.state.connectionClosed();
            conclude(on, true);
            return;
        }
        Code code = on.state.mayHaveRun() ? Code.RESET : Code.NOT_SENT;
        int call = on.call;
        on.state.abandoned();
        freed(on, false);
        if (call >= 0) {
            told(call, code, null);
        }
    }

    private void freed(Connection on, boolean again) {
        on.call = -1;
        on.open = again;
    }

    /** The referee: the answer is the call's own, and "not run" is true for ever. */
    private void told(int call, Code code, Asked answer) {
        calls[call].attemptEnded(calls[call].lastAttempt(), code);
        if (answer != null && answer.call != call) {
            throw new Broken("MIXED: call " + call + " has the answer to " + answer.call);
        }
        if (code == Code.OK) {
            calls[call].markAnswered();
        }
        if (once(call) && calls[call].mayRefuse()) {
            if (runs[call] > 0) {
                throw new Broken("REFUSED");
            }
            if (calls[call].lastAttempt() + 1 == MOST_ATTEMPTS) {
                promised[call] = true; // and whatever of it is on its way must never run
                calls[call].markAnswered();
            }
        }
    }
}
