package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;

/** Bytes and records that went over links, by the sender's and the receiver's program, since the last reset. One thread. */
final class LinkTraffic {
    private static final int PROGRAMS = Program.values().length;

    private final long[] bytes = new long[PROGRAMS * PROGRAMS];
    private final long[] records = new long[PROGRAMS * PROGRAMS];

    /** Counts one record with its length before it. */
    void count(Program from, Program to, int length) {
        int pair = pair(from, to);
        bytes[pair] += length + Integer.BYTES;
        records[pair]++;
    }

    /** Begins anew. */
    void reset() {
        java.util.Arrays.fill(bytes, 0);
        java.util.Arrays.fill(records, 0);
    }

    long bytes(Program from, Program to) {
        return bytes[pair(from, to)];
    }

    long records(Program from, Program to) {
        return records[pair(from, to)];
    }

    /** All bytes that processes of a program sent. */
    long bytesFrom(Program from) {
        long sum = 0;
        for (Program to : Program.values()) {
            sum += bytes(from, to);
        }
        return sum;
    }

    /** All bytes that processes of a program were sent. */
    long bytesTo(Program to) {
        long sum = 0;
        for (Program from : Program.values()) {
            sum += bytes(from, to);
        }
        return sum;
    }

    /** All records that processes of a program sent. */
    long recordsFrom(Program from) {
        long sum = 0;
        for (Program to : Program.values()) {
            sum += records(from, to);
        }
        return sum;
    }

    private static int pair(Program from, Program to) {
        return from.ordinal() * PROGRAMS + to.ordinal();
    }
}
