package gorsemast.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.fleet.Claim;
import gorsemast.fleet.Fleet;
import gorsemast.fleet.FleetSettings;
import gorsemast.fleet.Message;
import gorsemast.fleet.Message.Kind;
import gorsemast.fleet.Message.Rumor;
import gorsemast.fleet.ProcessId;
import gorsemast.lab.VirtualFleet;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Datagrams as they are, cut, forged, of others, and of any size. */
class FleetCodecTest {
    private static final FleetCodec CODEC = new FleetCodec("one", "secret");

    private static Message message() {
        ProcessId id = new ProcessId("p1", 77);
        return new Message(
                Kind.SYNC_REPLY,
                id,
                new ProcessId("p2", Long.MAX_VALUE),
                12,
                "10.0.0.9:1",
                id,
                -5,
                List.of(Long.MIN_VALUE, 3L),
                List.of(
                        new Rumor(
                                new Claim(
                                        id,
                                        "[fe80::1]:9",
                                        4,
                                        Claim.State.SUSPECT,
                                        2,
                                        new TreeMap<>(Map.of("phase", "serving"))),
                                "p9"),
                        new Rumor(Claim.first(id, "10.0.0.1:2"), "p1")));
    }

    @Test
    void whatIsWrittenIsRead() throws IOException {
        assertEquals(message(), CODEC.decode(CODEC.encode(message())));
        Message least = new Message(Kind.PING, new ProcessId("a", 0), null, 0, "", null, 0, List.of(), List.of());
        assertEquals(least, CODEC.decode(CODEC.encode(least)));
    }

    private static String refused(byte[] datagram) {
        return assertThrows(IOException.class, () -> CODEC.decode(datagram)).getMessage();
    }

    @Test
    void whatIsCutChangedOrOfOthersIsToldApart() {
        byte[] good = CODEC.encode(message());
        for (int length = 0; length < good.length; length++) {
            String why = refused(java.util.Arrays.copyOf(good, length));
            assertTrue(List.of("size", "seal").contains(why), why + " at " + length);
        }
        for (int i = 0; i < good.length; i++) {
            byte[] changed = good.clone();
            changed[i] ^= 1;
            assertEquals(i < 2 ? "mark" : i == 2 ? "version" : "seal", refused(changed), "at " + i);
        }
        assertEquals("seal", refused(new FleetCodec("other", "secret").encode(message())));
        assertEquals("seal", refused(new FleetCodec("one", "other").encode(message())));
        assertEquals("size", refused(new byte[65_507]));
    }

    /** Whoever has the secret may still be broken: whatever is in the frame is either a message or an error. */
    @Test
    void whateverIsSealedIsAMessageOrAnError() throws Exception {
        SplittableRandom random = new SplittableRandom(5);
        javax.crypto.Mac mac = javax.crypto.Mac.getInstance("HmacSHA256");
        mac.init(new javax.crypto.spec.SecretKeySpec(
                "one\nsecret".getBytes(java.nio.charset.StandardCharsets.UTF_8), "HmacSHA256"));
        byte[] good = CODEC.encode(message());
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] text = java.util.Arrays.copyOf(good, good.length - 16);
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                text[3 + random.nextInt(text.length - 3)] = (byte) random.nextInt(256);
            }
            byte[] sealed = java.util.Arrays.copyOf(text, text.length + 16);
            System.arraycopy(mac.doFinal(text), 0, sealed, text.length, 16);
            try {
                CODEC.decode(sealed);
                read++;
            } catch (IOException e) {
                assertEquals("form", e.getMessage());
            }
        }
        assertTrue(read > 100 && read < 19_900, "read " + read);
    }

    /** With the longest names, addresses and facts, and a fleet in which everything changes. */
    @Test
    void noDatagramIsLongerThanItsBound() {
        VirtualFleet fleet =
                new VirtualFleet(30, FleetSettings.of(1_000_000), 3, m -> CODEC.encode(m).length).startAll();
        String fact = "x".repeat(120);
        for (int i = 0; i < 30; i++) {
            fleet.machine(i).fleet().facts(fleet.now(), Map.of("phase", fact, "more", fact));
        }
        fleet.run(20_000_000);
        for (int i = 10; i < 20; i++) {
            fleet.machine(i).kill(true);
        }
        fleet.run(30_000_000);
        assertTrue(fleet.largest() <= Fleet.MOST_BYTES, "one has " + fleet.largest());
        assertTrue(fleet.largest() > 600, "none is full, the largest has " + fleet.largest());
    }
}
