package gorsemast.http;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Model of two connections, three calls and a server that runs or refuses requests and answers late, twice or without
 * an id; it records which calls really ran. {@link #events} lists what may happen next. Throws {@link Violation} if a
 * rule is violated.
 */
final class AnswerModel {
    private static final int CALLS = 3;
    private static final int CONNECTIONS = 2;
    private static final int MAX_ATTEMPTS = 2;
    private static final int MAX_ANSWERS = 2;

    /** A rule has been violated. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1;

        Violation(String rule) {
            super(rule);
        }
    }

    /** A possible next event. */
    record Event(String name, Runnable action) {}

    /** A request that the server has received or that is in transit to it. */
    private static final class ServerRequest {
        final int call;
        boolean complete;
        boolean ran;
        boolean refused;
        int answers;

        ServerRequest(int call) {
            this.call = call;
        }

        @Override
        public String toString() {
            return "" + call + complete + ran + refused + answers;
        }
    }

    private static final class Connection {
        final ConnectionState state;
        final List<ServerRequest> requests = new ArrayList<>();
        int call = -1;
        boolean open = true;
        boolean hasStrayBytes;
        /** Within a read: another message may follow before its end. */
        boolean reading;
        /** The complete response whose attempt has not ended yet. */
        ServerRequest answer;

        Code code;

        Connection(ConnectionState state) {
            this.state = state;
        }

        @Override
        public String toString() {
            return state + " " + requests + call + open + hasStrayBytes + reading + code
                    + (answer == null ? -1 : answer.call);
        }
    }

    /** Whether responses carry the ids of their requests; otherwise they belong by position, and none is sent twice. */
    private final boolean hasIds;
    /** Whether each request has a connection of its own, so that responses without ids may be sent twice. */
    private final boolean exclusive;

    private final Connection[] connections = new Connection[CONNECTIONS];
    private final CallState[] calls = new CallState[CALLS];
    private final int[] runs = new int[CALLS];
    private final boolean[] refusalPromised = new boolean[CALLS];

    AnswerModel(boolean hasIds, boolean exclusive, Supplier<ConnectionState> newState) {
        this.exclusive = exclusive;
        this.hasIds = hasIds;
        for (int i = 0; i < CONNECTIONS; i++) {
            connections[i] = new Connection(newState.get());
        }
        for (int i = 0; i < CALLS; i++) {
            calls[i] = new CallState(!atMostOnce(i));
        }
    }

    private static boolean atMostOnce(int call) {
        return call != 1;
    }

    /** Identifies the state for the search. */
    String stateKey() {
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
                    .append(refusalPromised[i])
                    .append('|');
        }
        return key.toString();
    }

    List<Event> events() {
        List<Event> all = new ArrayList<>();
        for (int c = 0; c < CONNECTIONS; c++) {
            Connection on = connections[c];
            String at = " on " + c;
            for (ServerRequest one : on.requests) {
                addServerEvents(all, on, one, at);
            }
            if (!on.open) {
                continue;
            }
            if (on.reading) {
                all.add(new Event("read done" + at, () -> readDone(on, false)));
                all.add(new Event("half a line" + at, () -> readDone(on, true)));
                continue; // the client does nothing within a read
            }
            for (int k = 0; k < CALLS; k++) {
                int call = k;
                String name = hasIds ? "" + call : null;
                boolean may = calls[k].maySend() && calls[k].lastAttempt() + 1 < MAX_ATTEMPTS;
                if (may && on.call < 0 && on.state.canCarry(name, exclusive)) {
                    all.add(new Event("send " + k + at, () -> send(on, call, name)));
                }
            }
            addClientEvents(all, on, at);
        }
        return all;
    }

    private void addClientEvents(List<Event> all, Connection on, String at) {
        if (on.call >= 0) {
            ServerRequest last = on.requests.get(on.requests.size() - 1);
            if (!last.complete) {
                all.add(new Event("last byte" + at, () -> {
                    on.state.lastByteSent();
                    last.complete = true;
                }));
            }
            all.add(new Event("timeout" + at, () -> {
                Code code = on.state.mayHaveRun() ? Code.TIMEOUT : Code.CONNECT_FAILED;
                int call = on.call;
                freed(on, on.state.abandoned());
                callEnded(call, code, null);
            }));
        } else {
            all.add(new Event("bytes while idle" + at, () -> {
                on.hasStrayBytes = true;
                readDone(on, true);
            }));
        }
        all.add(new Event("reset" + at, () -> lost(on)));
    }

    private void addServerEvents(List<Event> all, Connection on, ServerRequest one, String at) {
        String which = " " + on.requests.indexOf(one) + at;
        boolean acts = !one.ran && !one.refused;
        if (acts && !one.complete && on.open && hasIds) {
            // Incomplete requests must not be run; a server that does so responds at once.
            all.add(new Event("runs and answers early" + which, () -> {
                run(one);
                answer(on, one, Code.OK, "" + one.call);
            }));
            all.add(new Event("runs and answers early, without id" + which, () -> {
                run(one);
                answer(on, one, Code.OK, null);
            }));
        }
        if (acts && one.complete) {
            all.add(new Event("runs" + which, () -> run(one)));
        }
        if (acts && (one.complete || on.open)) {
            all.add(new Event("refuses" + which, () -> one.refused = true));
        }
        if (!acts && on.open && one.answers < (hasIds || exclusive ? MAX_ANSWERS : 1)) {
            Code code = one.ran ? Code.OK : Code.FULL;
            all.add(new Event("answers" + which, () -> answer(on, one, code, "" + one.call)));
            if (hasIds) {
                all.add(new Event("answers without id" + which, () -> answer(on, one, code, null)));
            }
        }
    }

    private void run(ServerRequest one) {
        one.ran = true;
        runs[one.call]++;
        if (atMostOnce(one.call) && runs[one.call] > 1) {
            throw new Violation("TWICE");
        }
        if (refusalPromised[one.call]) {
            throw new Violation("REFUSED");
        }
    }

    private void send(Connection on, int call, String name) {
        if (on.hasStrayBytes) {
            throw new Violation("MIXED: stray bytes precede the response");
        }
        calls[call].attemptSent(calls[call].nextAttempt());
        on.state.assign(name, atMostOnce(call), exclusive);
        on.call = call;
        ServerRequest one = new ServerRequest(call);
        on.requests.add(one);
        if (!atMostOnce(call)) {
            on.state.lastByteSent();
            one.complete = true;
        }
    }

    private void answer(Connection on, ServerRequest one, Code code, String id) {
        one.answers++;
        on.reading = true;
        ResponseMatch match = ResponseMatch.BY_POSITION;
        if (hasIds) {
            match = id == null
                    ? ResponseMatch.UNIDENTIFIED
                    : id.equals("" + on.call) ? ResponseMatch.BY_ID : ResponseMatch.OTHER_REQUEST;
        }
        ConnectionState.Disposition take = on.state.head(match, false, !code.mayHaveRun, code == Code.OK);
        if (take == ConnectionState.Disposition.BROKEN) {
            lost(on);
            return;
        }
        if (on.state.part(true) == ConnectionState.Disposition.OWN) {
            on.answer = one;
            on.code = code;
        }
    }

    private void readDone(Connection on, boolean rest) {
        on.reading = false;
        switch (on.state.readDone(rest)) {
            case WHOLE -> conclude(on, true);
            case CLOSE -> lost(on);
            case MORE -> {
                // waits for more
            }
        }
        on.hasStrayBytes |= rest;
    }

    private void conclude(Connection on, boolean keeps) {
        int call = on.call;
        ServerRequest answer = on.answer;
        Code code = on.code;
        on.answer = null;
        on.code = null;
        freed(on, on.state.completed(keeps));
        callEnded(call, code, answer);
    }

    private void lost(Connection on) {
        on.reading = false;
        if (on.state.isComplete()) {
            on.state.connectionClosed();
            conclude(on, true);
            return;
        }
        Code code = on.state.mayHaveRun() ? Code.RESET : Code.NOT_SENT;
        int call = on.call;
        on.state.abandoned();
        freed(on, false);
        if (call >= 0) {
            callEnded(call, code, null);
        }
    }

    private void freed(Connection on, boolean again) {
        on.call = -1;
        on.open = again;
    }

    /** Checks that the response belongs to the call, and that a refused call never runs. */
    private void callEnded(int call, Code code, ServerRequest answer) {
        calls[call].attemptEnded(calls[call].lastAttempt(), code);
        if (answer != null && answer.call != call) {
            throw new Violation("MIXED: call " + call + " has the answer to " + answer.call);
        }
        if (code == Code.OK) {
            calls[call].markAnswered();
        }
        if (atMostOnce(call) && calls[call].mayRefuse()) {
            if (runs[call] > 0) {
                throw new Violation("REFUSED");
            }
            if (calls[call].lastAttempt() + 1 == MAX_ATTEMPTS) {
                refusalPromised[call] = true; // requests of the call that are still in transit must never run
                calls[call].markAnswered();
            }
        }
    }
}
