package gorsemast.election;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.election.LeaseElection.MessageType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Never two active at the same time, and seconds at most without, over random cuts, freezes and restarts in virtual
 * time.
 */
class LeaseElectionTest {
    private record InFlight(long at, String from, String to, MessageType type, long term, long stamp) {}

    private final Map<String, LeaseElection> elections = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> frozenUntil = new HashMap<>();
    private final PriorityQueue<InFlight> network = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<String> names = new ArrayList<>();
    private SplittableRandom random;
    private long now = 5_000_000;

    private LeaseElection election(String name) {
        return new LeaseElection(
                name,
                random.nextLong(),
                ips -> 2 * ips.size() > names.size(),
                (to, type, term, at) ->
                        network.add(new InFlight(now + 200 + random.nextLong(40_000), name, to, type, term, at)));
    }

    private boolean awake(String name) {
        return frozenUntil.getOrDefault(name, 0L) <= now;
    }

    private List<String> active() {
        return names.stream()
                .filter(name -> awake(name) && elections.get(name).isActive(now))
                .toList();
    }

    private void step() {
        now += 10_000;
        while (!network.isEmpty() && network.peek().at <= now) {
            InFlight message = network.poll();
            if (!awake(message.to)) {
                network.add(new InFlight(
                        frozenUntil.get(message.to) + 1_000,
                        message.from,
                        message.to,
                        message.type,
                        message.term,
                        message.stamp));
            } else if (!cuts.contains(message.from + message.to)) {
                elections.get(message.to).receive(now, message.from, message.type, message.term, message.stamp);
            }
        }
        for (String name : names) {
            if (awake(name) && now % 100_000 < 10_000) {
                elections
                        .get(name)
                        .tick(
                                now,
                                names.stream()
                                        .filter(other -> !other.equals(name) && !cuts.contains(other + name))
                                        .toList());
            }
        }
        assertThat(active()).hasSizeLessThanOrEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void neverTwoAtOnceAndNeverLongWithoutAHolder(int members) {
        for (int seed = 0; seed < 30; seed++) {
            random = new SplittableRandom(seed);
            names.clear();
            elections.clear();
            cuts.clear();
            network.clear();
            frozenUntil.clear();
            for (int i = 0; i < members; i++) {
                names.add("r" + i);
                elections.put("r" + i, election("r" + i));
            }
            for (int s = 0; s < 6_000; s++) {
                step();
                String a = names.get(random.nextInt(members));
                String b = names.get(random.nextInt(members));
                switch (random.nextInt(400)) {
                    case 0 -> cuts.add(a + b);
                    case 1, 2 -> cuts.clear();
                    case 3 -> frozenUntil.put(a, now + random.nextLong(4_000_000));
                    case 4 -> elections.put(a, election(a));
                    default -> {
                        // nothing happens
                    }
                }
            }
            cuts.clear();
            frozenUntil.clear();
            for (int s = 0; s < 800 && active().isEmpty(); s++) {
                step();
            }
            assertThat(active()).as("seed " + seed).hasSize(1);
        }
    }
}
