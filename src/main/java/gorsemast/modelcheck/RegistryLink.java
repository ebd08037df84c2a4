package gorsemast.modelcheck;

import gorsemast.modelcheck.RegistrySimulation.Violation;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One direction of a link between two registries: records arrive in order, wait behind a cut, and are lost when that
 * breaks the link. They are encoded as bytes, as each side has its own clock. Single-threaded.
 */
final class RegistryLink implements Neighbour {
    private final RegistrySimulation simulation;
    private final RegistryMachine from;
    private final RegistryMachine to;
    private final Deque<byte[]> sent = new ArrayDeque<>();
    private boolean up;

    RegistryLink(RegistrySimulation simulation, RegistryMachine from, RegistryMachine to) {
        this.simulation = simulation;
        this.from = from;
        this.to = to;
    }

    /** The machine at the other end. */
    RegistryMachine to() {
        return to;
    }

    /** Whether the link is up. */
    boolean isUp() {
        return up;
    }

    /** The link comes up. */
    void setUp() {
        up = true;
    }

    /** The link breaks, and what was on it is lost. */
    void drop() {
        up = false;
        sent.clear();
    }

    /** After a cut: each waiting record arrives after a random time. */
    void drain() {
        for (int i = sent.size(); i > 0; i--) {
            simulation.later(simulation.latency(), this::arrive);
        }
    }

    @Override
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(Program.REGISTRY, to.ip, "z", to.ip + ":80", to.incarnation);
    }

    @Override
    public void send(PeerMessage record) {
        if (up) {
            sent.add(bytes(record, from.now()));
            simulation.later(simulation.latency(), this::arrive);
        }
    }

    private void arrive() {
        if (!sent.isEmpty() && up && !from.cut && !to.cut && to.node != null) {
            byte[] next = sent.poll();
            // An arrived record is processed even if the link has broken since.
            to.run(
                    to.incarnation,
                    () -> to.node.received(to.peerLinks.get(from.ip), applyDefect(record(next, to.now()))));
        }
    }

    static byte[] bytes(PeerMessage record, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // in-memory streams do not fail
        }
        return bytes.toByteArray();
    }

    private static PeerMessage record(byte[] bytes, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return PeerMessage.read(in, now);
        } catch (IOException e) {
            throw new Violation("record cannot be decoded: " + e.getMessage());
        }
    }

    private PeerMessage applyDefect(PeerMessage record) {
        if (record instanceof PeerMessage.CompareResponse answer) {
            long at = simulation.defect() == RegistryDefect.LEASE_FROM_ARRIVAL ? to.now() : answer.sentAt();
            int parts = simulation.defect() == RegistryDefect.NOTHING_DIFFERS ? 0 : answer.buckets();
            return new PeerMessage.CompareResponse(at, answer.term(), answer.complete(), parts);
        }
        return record;
    }
}
