package gorsemast.modelcheck;

import gorsemast.modelcheck.RegistryWorld.Broken;
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
 * breaks the link. They cross it as bytes, as each side has a clock of its own. One thread.
 */
final class Way implements Neighbour {
    private final RegistryWorld world;
    private final RegistryMachine from;
    private final RegistryMachine to;
    private final Deque<byte[]> sent = new ArrayDeque<>();
    private boolean up;

    Way(RegistryWorld world, RegistryMachine from, RegistryMachine to) {
        this.world = world;
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
    void comesUp() {
        up = true;
    }

    /** The link breaks, and what was on it is lost. */
    void drop() {
        up = false;
        sent.clear();
    }

    /** After a cut: each record that waited arrives after a drawn time. */
    void drain() {
        for (int i = sent.size(); i > 0; i--) {
            world.later(world.way(), this::arrive);
        }
    }

    @Override
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(Program.REGISTRY, to.ip, "z", to.ip + ":80", to.life);
    }

    @Override
    public void send(PeerMessage record) {
        if (up) {
            sent.add(bytes(record, from.now()));
            world.later(world.way(), this::arrive);
        }
    }

    private void arrive() {
        if (!sent.isEmpty() && up && !from.cut && !to.cut && to.node != null) {
            byte[] next = sent.poll();
            // What has arrived is read, though the link may have broken since.
            to.run(to.life, () -> to.node.received(to.ways.get(from.ip), spoiled(record(next, to.now()))));
        }
    }

    static byte[] bytes(PeerMessage record, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    private static PeerMessage record(byte[] bytes, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return PeerMessage.read(in, now);
        } catch (IOException e) {
            throw new Broken("a record can't be read: " + e.getMessage());
        }
    }

    private PeerMessage spoiled(PeerMessage record) {
        if (record instanceof PeerMessage.CompareResponse answer) {
            long at = world.plant() == RegistryPlant.LEASE_FROM_ARRIVAL ? to.now() : answer.sentAt();
            int parts = world.plant() == RegistryPlant.NOTHING_DIFFERS ? 0 : answer.buckets();
            return new PeerMessage.CompareResponse(at, answer.term(), answer.complete(), parts);
        }
        return record;
    }
}
