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

/** Never two at once, and seconds at most without, over drawn cuts, freezes and restarts in virtual time. */
class LeaseElectionTest {
    private record Said(long at, String from, String to, MessageType word, long term, long stamp) {}

    private final Map<String, LeaseElection> duties = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> frozenUntil = new HashMap<>();
    private final PriorityQueue<Said> way = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<String> names = new ArrayList<>();
    private SplittableRandom random;
    private long now = 5_000_000;

    private LeaseElection duty(String name) {
        return new LeaseElection(
                name,
                random.nextLong(),
                ips -> 2 * ips.size() > names.size(),
                (to, word, term, at) ->
                        way.add(new Said(now + 200 + random.nextLong(40_000), name, to, word, term, at)));
    }

    private boolean awake(String name) {
        return frozenUntil.getOrDefault(name, 0L) <= now;
    }

    private List<String> acting() {
        return names.stream()
                .filter(name -> awake(name) && duties.get(name).isActive(now))
                .toList();
    }

    private void step() {
        now += 10_000;
        while (!way.isEmpty() && way.peek().at <= now) {
            Said said = way.poll();
            if (!awake(said.to)) {
                way.add(new Said(
                        frozenUntil.get(said.to) + 1_000, said.from, said.to, said.word, said.term, said.stamp));
            } else if (!cuts.contains(said.from + said.to)) {
                duties.get(said.to).receive(now, said.from, said.word, said.term, said.stamp);
            }
        }
        for (String name : names) {
            if (awake(name) && now % 100_000 < 10_000) {
                duties.get(name)
                        .tick(
                                now,
                                names.stream()
                                        .filter(other -> !other.equals(name) && !cuts.contains(other + name))
                                        .toList());
            }
        }
        assertThat(acting()).hasSizeLessThanOrEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void neverTwoAtOnceAndNeverLongWithout(int members) {
        for (int seed = 0; seed < 30; seed++) {
            random = new SplittableRandom(seed);
            names.clear();
            duties.clear();
            cuts.clear();
            way.clear();
            frozenUntil.clear();
            for (int i = 0; i < members; i++) {
                names.add("r" + i);
                duties.put("r" + i, duty("r" + i));
            }
            for (int s = 0; s < 6_000; s++) {
                step();
                String a = names.get(random.nextInt(members));
                String b = names.get(random.nextInt(members));
                switch (random.nextInt(400)) {
                    case 0 -> cuts.add(a + b);
                    case 1, 2 -> cuts.clear();
                    case 3 -> frozenUntil.put(a, now + random.nextLong(4_000_000));
                    case 4 -> duties.put(a, duty(a));
                    default -> {
                        // nothing happens
                    }
                }
            }
            cuts.clear();
            frozenUntil.clear();
            for (int s = 0; s < 800 && acting().isEmpty(); s++) {
                step();
            }
            assertThat(acting()).as("seed " + seed).hasSize(1);
        }
    }
}
