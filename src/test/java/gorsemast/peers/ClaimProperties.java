package gorsemast.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gorsemast.fleet.Claim;
import gorsemast.fleet.ClaimJoins;
import gorsemast.fleet.Message;
import gorsemast.fleet.Message.Kind;
import gorsemast.fleet.Message.Rumor;
import gorsemast.fleet.ProcessId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Of drawn claims: joins in any order and repetition come to the same, and what is written is read or turned down whole. */
class ClaimProperties {
    private static final ProcessId ID = new ProcessId("p", 1);
    private static final FleetCodec CODEC = new FleetCodec("one", "secret");

    /** Few values of each part, so that many draws agree in some of them, and a few far ones. */
    @Provide
    Arbitrary<Claim> claims() {
        Arbitrary<String> text = Arbitraries.oneOf(
                Arbitraries.of("", "a", "b", "serving"), Arbitraries.strings().ofMaxLength(20));
        Arbitrary<Map<String, String>> facts = Arbitraries.maps(Arbitraries.of("k", "list", "phase", "ü"), text)
                .ofMaxSize(3);
        Arbitrary<Long> number = Arbitraries.oneOf(
                Arbitraries.longs().between(0, 3), Arbitraries.longs().between(0, Claim.MAX_INCARNATION));
        return Combinators.combine(
                        Arbitraries.of("h:1", "h:2", "[fe80::1]:9"),
                        number,
                        Arbitraries.of(Claim.State.values()),
                        number,
                        facts)
                .as((address, incarnation, state, version, told) ->
                        new Claim(ID, address, incarnation, state, version, new TreeMap<>(told)));
    }

    @Property(seed = "1", tries = 2000)
    void joinsAreCommutativeAssociativeAndIdempotent(
            @ForAll("claims") Claim a, @ForAll("claims") Claim b, @ForAll("claims") Claim c) {
        assertEquals(a, ClaimJoins.join(a, a));
        assertEquals(ClaimJoins.join(a, b), ClaimJoins.join(b, a));
        assertEquals(ClaimJoins.join(ClaimJoins.join(a, b), c), ClaimJoins.join(a, ClaimJoins.join(b, c)));
    }

    @Property(seed = "2", tries = 1000)
    void drawnOrdersAndRepetitionsComeToTheSame(
            @ForAll @Size(min = 1, max = 8) List<@net.jqwik.api.From("claims") Claim> some, @ForAll long order) {
        Claim once = some.stream().reduce(ClaimJoins::join).orElseThrow();
        List<Claim> again = new ArrayList<>(some);
        again.addAll(some);
        Collections.shuffle(again, new Random(order));
        assertEquals(once, again.stream().reduce(ClaimJoins::join).orElseThrow());
    }

    @Property(seed = "3", tries = 500)
    void whatIsWrittenIsReadAndNothingOfACutOne(
            @ForAll("claims") Claim claim, @ForAll Kind kind, @ForAll long view, @ForAll @IntRange(max = 400) int cut)
            throws IOException {
        Message message = new Message(
                kind, ID, null, 7, "10.0.0.9:1", null, view, List.of(view), List.of(new Rumor(claim, "p9")));
        byte[] datagram = CODEC.encode(message);
        assertEquals(message, CODEC.decode(datagram));
        if (cut < datagram.length) {
            assertThrows(IOException.class, () -> CODEC.decode(java.util.Arrays.copyOf(datagram, cut)));
        }
    }
}
