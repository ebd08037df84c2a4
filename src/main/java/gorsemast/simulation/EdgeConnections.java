package gorsemast.simulation;

import anisebend.Balancer.Code;
import gorsemast.http.ConnectionState;
import gorsemast.http.ResponseMatch;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One edge's connections to servers in virtual time. Whose an answer is and what may have run is decided by
 * {@link ConnectionState}, as over sockets; what may run once keeps its last byte back as there.
 */
final class EdgeConnections {
    /** Told once how an attempt ended; {@code reply} where it was answered. */
    interface Ending {
        void ended(Code code, Servers.Reply reply);
    }

    /** An attempt that is on its way. */
    interface Attempt {
        void cancel();
    }

    private static final long HOLD_MICROS = 2_000;

    private final Edge edge;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();

    EdgeConnections(Edge edge) {
        this.edge = edge;
    }

    /** Sends it, on a connection that is idle or on a new one. */
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

    /** The rule, or one with a defect. */
    private ConnectionState state() {
        Plant plant = edge.world.plant;
        return new ConnectionState() {
            @Override
            public Disposition head(ResponseMatch whose, boolean interim, boolean notRun, boolean served) {
                boolean any = plant == Plant.TAKES_NAMELESS_ANSWERS && whose == ResponseMatch.UNIDENTIFIED;
                return super.head(any ? ResponseMatch.BY_ID : whose, interim, notRun, served);
            }

            @Override
            public boolean mayHaveRun() {
                return plant != Plant.RESET_NEVER_RAN && super.mayHaveRun();
            }
        };
    }

    /** One connection; at most one attempt is on it. */
    private final class Connection {
        private final ConnectionState state = state();
        private Servers.Request message;
        private Ending ending;
        private boolean kept;
        private boolean open = true;

        void carry(String address, Servers.Request next, Ending told) {
            state.assign(next.attempt(), next.unsafe(), false);
            message = next;
            ending = told;
            boolean forgotten = kept && edge.world.servers.forgets(address);
            if (forgotten) {
                edge.after(edge.world.ways.way(400), this::lost);
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
                edge.world.referee.sent(edge, message);
                edge.world.servers.send(
                        edge.machine,
                        address,
                        message,
                        reply -> edge.run(() -> take(reply)),
                        () -> edge.run(() -> {
                            if (ending == told && kept) {
                                lost();
                            } else if (ending == told) {
                                end(Code.CONNECT_FAILED, null, state.abandoned());
                            }
                        }));
            }
        }

        private void take(Servers.Reply reply) {
            if (!open) {
                return; // it was closed: this reaches nobody
            }
            if (reply.answer() == Servers.Answer.RESET) {
                lost();
                return;
            }
            ResponseMatch whose = reply.told() == null
                    ? ResponseMatch.UNIDENTIFIED
                    : message != null && reply.told().equals(message.attempt())
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
                edge.world.referee.owns(edge, message, reply);
                end(code, reply, state.completed(true));
            }
        }

        private void lost() {
            Code code = state.mayHaveRun() ? Code.RESET : kept ? Code.NOT_SENT : Code.CONNECT_FAILED;
            end(code, null, state.abandoned());
        }

        void abandon(Ending told, Code ran, Code never) {
            if (ending == told) {
                end(state.mayHaveRun() ? ran : never, null, state.abandoned());
            }
        }

        private void end(Code code, Servers.Reply reply, boolean again) {
            open = again;
            kept = true;
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
