package gorsemast.simulation;

import anisebend.Balancer.Code;
import gorsemast.http.ConnectionState;
import gorsemast.http.ResponseMatch;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One edge's connections to servers in virtual time. As over sockets, {@link ConnectionState} decides which request an answer
 * belongs to and what may have run, and non-idempotent requests hold back their last byte.
 */
final class EdgeConnections {
    /** Called once with how an attempt ended; {@code reply} is null unless it was answered. */
    interface Ending {
        void ended(Code code, Servers.Reply reply);
    }

    /** An attempt in progress. */
    interface Attempt {
        void cancel();
    }

    private static final long HOLD_MICROS = 2_000;

    private final Edge edge;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();

    EdgeConnections(Edge edge) {
        this.edge = edge;
    }

    /** Sends a request on an idle connection or a new one. */
    Attempt send(String address, Servers.Request message, long wait, Ending ending) {
        Connection connection = free(message);
        connection.carry(address, message, ending);
        edge.after(wait, () -> connection.abandon(ending, Code.TIMEOUT, Code.CONNECT_FAILED));
        return () -> connection.abandon(ending, Code.CANCELLED, Code.NOT_SENT);
    }

    private Connection free(Servers.Request message) {
        Deque<Connection> kept = idle.computeIfAbsent(message.target(), target -> new ArrayDeque<>());
        while (!kept.isEmpty()) {
            Connection one = message.unsafe() ? kept.pollLast() : kept.pollFirst();
            if (one.state.canCarry(message.attempt(), false)) {
                return one;
            }
        }
        return new Connection();
    }

    /** The production rule, or one with the injected defect. */
    private ConnectionState state() {
        InjectedDefect defect = edge.simulation.defect;
        return new ConnectionState() {
            @Override
            public Disposition head(ResponseMatch whose, boolean interim, boolean notRun, boolean served) {
                boolean any = defect == InjectedDefect.TAKES_NAMELESS_ANSWERS && whose == ResponseMatch.UNIDENTIFIED;
                return super.head(any ? ResponseMatch.BY_ID : whose, interim, notRun, served);
            }

            @Override
            public boolean mayHaveRun() {
                return defect != InjectedDefect.RESET_NEVER_RAN && super.mayHaveRun();
            }
        };
    }

    /** One connection; at most one attempt is on it. */
    private final class Connection {
        private final ConnectionState state = state();
        private Servers.Request message;
        private Ending ending;
        private boolean reused;
        private boolean open = true;

        void carry(String address, Servers.Request next, Ending told) {
            state.assign(next.attempt(), next.unsafe(), false);
            message = next;
            ending = told;
            boolean forgotten = reused && edge.simulation.servers.forgets(address);
            if (forgotten) {
                edge.after(edge.simulation.links.randomLatency(400), this::lost);
            }
            if (next.unsafe()) {
                edge.after(HOLD_MICROS, () -> leaves(address, told, forgotten));
            } else {
                leaves(address, told, forgotten);
            }
        }

        private void leaves(String address, Ending told, boolean forgotten) {
            if (ending != told) {
                return;
            }
            state.lastByteSent();
            if (!forgotten) {
                edge.simulation.requestChecker.sent(edge, message);
                edge.simulation.servers.send(
                        edge.machine,
                        address,
                        message,
                        reply -> edge.run(() -> take(reply)),
                        () -> edge.run(() -> {
                            if (ending == told && reused) {
                                lost();
                            } else if (ending == told) {
                                end(Code.CONNECT_FAILED, null, state.abandoned());
                            }
                        }));
            }
        }

        private void take(Servers.Reply reply) {
            if (!open) {
                return; // the connection is closed: the answer is lost
            }
            if (reply.answer() == Servers.Answer.RESET) {
                lost();
                return;
            }
            ResponseMatch whose = reply.attemptId() == null
                    ? ResponseMatch.UNIDENTIFIED
                    : message != null && reply.attemptId().equals(message.attempt())
                            ? ResponseMatch.BY_ID
                            : ResponseMatch.OTHER_REQUEST;
            Code code =
                    switch (reply.answer()) {
                        case OK -> Code.OK;
                        case FULL -> Code.FULL;
                        case MISDIRECTED -> Code.CONNECT_FAILED;
                        default -> Code.ERROR;
                    };
            ConnectionState.Disposition take = state.head(whose, false, !code.mayHaveRun, code == Code.OK);
            if (take == ConnectionState.Disposition.BROKEN) {
                lost();
                return;
            }
            state.part(true);
            if (state.readDone(false) == ConnectionState.ReadOutcome.WHOLE) {
                edge.simulation.requestChecker.checkOwnAnswer(edge, message, reply);
                end(code, reply, state.completed(true));
            }
        }

        private void lost() {
            Code code = state.mayHaveRun() ? Code.RESET : reused ? Code.NOT_SENT : Code.CONNECT_FAILED;
            end(code, null, state.abandoned());
        }

        void abandon(Ending told, Code ran, Code never) {
            if (ending == told) {
                end(state.mayHaveRun() ? ran : never, null, state.abandoned());
            }
        }

        private void end(Code code, Servers.Reply reply, boolean again) {
            open = again;
            reused = true;
            Ending told = ending;
            ending = null;
            if (again) {
                idle.get(message.target()).addLast(this);
            }
            message = null;
            if (told != null) {
                told.ended(code, reply);
            }
        }
    }
}
