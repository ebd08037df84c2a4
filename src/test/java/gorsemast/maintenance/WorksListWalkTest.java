package gorsemast.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.maintenance.Machine.Kind;
import gorsemast.maintenance.Work.Phase;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Every order of commands for three machines and two crews, to a stated depth, old tokens and repetitions among them: the
 * crews' hands are watched from outside, and never hold more than the bounds allow.
 */
class WorksListWalkTest {
    /** Commands in a row after the fleet has been described; three machines wanted are the first of them. */
    private static final int DEPTH = 9;

    private static final int MOST_STATES = 400_000;
    private static final long MINUTE = 60_000;
    private static final List<String> PROCESSES = List.of(WorksList.process("p1", 1), WorksList.process("p2", 1));

    /** The list under test, or one with a defect. */
    private static final class Watched {
        final WorksList list = new WorksList();
        final Map<String, Long> inHand = new HashMap<>();
        /** Each process's word, as the process itself knows it: machine and token. */
        final Set<String> said = new HashSet<>();

        long index;
        String wrong;

        Watched() {
            apply(new Command.Bind(0, new Bounds(1, 2, 2, 0, 100), 10));
            apply(new Command.Describe(0, machine("a1", "a")));
            apply(new Command.Describe(0, machine("a2", "a")));
            apply(new Command.Describe(0, machine("b1", "b")));
            apply(new Command.Describe(0, machine("b2", "b")));
        }

        private static Machine machine(String name, String zone) {
            return new Machine(name, Kind.NODE, zone, "1", "m", 10, 5, MINUTE);
        }

        WorksList.Result apply(Command command) {
            WorksList.Result result = list.apply(++index, command);
            if (!result.accepted()) {
                return result;
            }
            if (command instanceof Command.Emptied c) {
                said.add(c.machine() + " " + c.token() + " " + WorksList.process(c.proxy(), c.generation()));
            } else if (command instanceof Command.Release c) {
                for (String process : PROCESSES) {
                    if (!said.contains(c.machine() + " " + c.token() + " " + process)) {
                        wrong = c.machine() + " released, not emptied by " + process;
                    }
                }
                inHand.put(c.machine(), c.token());
            } else if (command instanceof Command.Done c && c.well()) { // else it stays there until somebody has looked
                gone(c.machine(), c.token());
            } else if (command instanceof Command.Found c) {
                gone(c.machine(), c.token());
            }
            long inZoneA = inHand.keySet().stream()
                    .filter(name -> name.startsWith("a"))
                    .count();
            if (inZoneA > 1) {
                wrong = "both machines of zone a are in the crews' hands";
            }
            return result;
        }

        private void gone(String machine, long token) {
            if (!Long.valueOf(token).equals(inHand.get(machine))) {
                wrong = machine + " given back under token " + token + ", held under " + inHand.get(machine);
            }
            inHand.remove(machine);
        }

        String state() {
            StringBuilder s = new StringBuilder();
            Map<Long, Integer> tokens = new HashMap<>(); // which is older is what matters, not the numbers
            list.works().forEach(work -> s.append(work.key())
                    .append(work.phase())
                    .append(work.next())
                    .append(work.token() == 0 ? 0 : tokens.computeIfAbsent(work.token(), token -> tokens.size() + 1))
                    .append(list.emptied(work.token()))
                    .append(Math.min(2, work.tries()))
                    .append(' '));
            return s.append(inHand.keySet()).toString();
        }
    }

    /** What may come next, with tokens that are right, and those of earlier grants. */
    private static List<Function<Watched, Command>> choices() {
        List<Function<Watched, Command>> all = new ArrayList<>();
        for (String machine : List.of("a1", "a2", "b1")) {
            String crew = machine.startsWith("a") ? "red" : "blue";
            all.add(w -> new Command.Want(0, "w", machine, crew, 0, Long.MAX_VALUE, 10));
            all.add(w -> new Command.Grant(0, "w", machine));
            all.add(w -> new Command.Withdraw(0, "w", machine));
            for (boolean old : new boolean[] {false, true}) {
                all.add(w -> new Command.Emptied(0, machine, token(w, machine, old), "p1", 1));
                all.add(w -> new Command.Emptied(0, machine, token(w, machine, old), "p2", 1));
                all.add(w -> new Command.Release(0, machine, token(w, machine, old), PROCESSES));
                all.add(w -> new Command.Done(0, machine, token(w, machine, old), crew, true, ""));
                all.add(w -> new Command.Done(0, machine, token(w, machine, old), crew, false, "broke"));
                all.add(w -> new Command.Warm(2 * MINUTE, machine, token(w, machine, old)));
                all.add(w -> new Command.Overdue(100 * MINUTE, machine, token(w, machine, old)));
                all.add(w -> new Command.Found(0, machine, token(w, machine, old), "op"));
            }
        }
        return all;
    }

    private static long token(Watched w, String machine, boolean old) {
        long present = w.list.works().stream()
                .filter(work -> work.machine().equals(machine))
                .mapToLong(Work::token)
                .max()
                .orElse(0);
        return old ? Math.max(1, present - 1) : present;
    }

    /** Plays these choices from the beginning. */
    private static Watched play(List<Function<Watched, Command>> choices, List<Integer> path) {
        Watched w = new Watched();
        path.forEach(choice -> w.apply(choices.get(choice).apply(w)));
        return w;
    }

    @Test
    void noOrderOfCommandsPutsMoreIntoTheCrewsHandsThanTheBoundsAllow() {
        List<Function<Watched, Command>> choices = choices();
        Deque<List<Integer>> open = new ArrayDeque<>(List.of(List.of()));
        Set<String> seen = new HashSet<>();
        int deepest = 0;
        while (!open.isEmpty() && seen.size() < MOST_STATES) {
            List<Integer> path = open.poll();
            deepest = Math.max(deepest, path.size());
            for (int i = 0; i < choices.size() && path.size() < DEPTH; i++) {
                Watched w = play(choices, path);
                Command next = choices.get(i).apply(w);
                boolean accepted = w.apply(next).accepted();
                assertNull(w.wrong, () -> w.wrong + " after " + path + " and " + next);
                if (accepted && seen.add(w.state())) {
                    List<Integer> longer = new ArrayList<>(path);
                    longer.add(i);
                    open.add(longer);
                }
            }
        }
        assertEquals(DEPTH, deepest);
        assertTrue(open.isEmpty(), "not all states of this depth were looked at: " + seen.size());
        assertTrue(seen.size() > 500, "hardly anything happened: " + seen.size());
        System.out.println("works list: " + seen.size() + " states to depth " + DEPTH);
    }

    @Test
    void aWorkGoesItsWay() {
        Watched w = new Watched();
        assertTrue(w.apply(new Command.Want(0, "w", "a1", "red", 0, Long.MAX_VALUE, 10))
                .accepted());
        assertTrue(w.apply(new Command.Grant(0, "w", "a1")).accepted());
        long token = w.index;
        assertEquals(
                "w/a1 does not wait: EMPTYING",
                w.apply(new Command.Grant(0, "w", "a1")).why());
        w.apply(new Command.Want(0, "w", "a2", "red", 0, Long.MAX_VALUE, 10));
        assertEquals(
                "zone a has 1 out, 1 at most",
                w.apply(new Command.Grant(0, "w", "a2")).why());
        w.apply(new Command.Emptied(0, "a1", token, "p1", 1));
        assertEquals(
                "a1 is not emptied by p2#1",
                w.apply(new Command.Release(0, "a1", token, PROCESSES)).why());
        w.apply(new Command.Emptied(0, "a1", token, "p2", 1));
        assertTrue(w.apply(new Command.Release(0, "a1", token, PROCESSES)).accepted());
        assertEquals(
                "blue has not got a1 under token " + token,
                w.apply(new Command.Done(0, "a1", token, "blue", true, "")).why());
        assertTrue(w.apply(new Command.Done(0, "a1", token, "red", true, "")).accepted());
        assertEquals(
                "zone a has 1 out, 1 at most",
                w.apply(new Command.Grant(0, "w", "a2")).why());
        assertTrue(w.apply(new Command.Warm(0, "a1", token)).accepted());
        assertTrue(w.apply(new Command.Grant(0, "w", "a2")).accepted());
    }

    @Test
    void aSilentCrewKeepsItsMachineOutUntilSomebodyHasLooked() {
        Watched w = new Watched();
        w.apply(new Command.Want(0, "w", "a1", "red", 0, Long.MAX_VALUE, 10));
        w.apply(new Command.Grant(0, "w", "a1"));
        long token = w.index;
        w.apply(new Command.Emptied(0, "a1", token, "p1", 1));
        w.apply(new Command.Emptied(0, "a1", token, "p2", 1));
        w.apply(new Command.Release(0, "a1", token, PROCESSES));
        assertEquals(
                "a1 is not overdue under token " + token,
                w.apply(new Command.Overdue(30 * MINUTE - 1, "a1", token)).why());
        assertTrue(w.apply(new Command.Overdue(30 * MINUTE, "a1", token)).accepted());
        w.apply(new Command.Want(0, "w", "a2", "red", 0, Long.MAX_VALUE, 10));
        assertEquals(
                "zone a has 1 out, 1 at most",
                w.apply(new Command.Grant(40 * MINUTE, "w", "a2")).why());
        assertTrue(w.apply(new Command.Found(50 * MINUTE, "a1", token, "op")).accepted());
        assertTrue(w.apply(new Command.Warm(60 * MINUTE, "a1", token)).accepted());
        assertEquals(Phase.WAITING, w.list.works().iterator().next().phase(), "the work was not done");
    }

    @Test
    void boundsThatAreTightenedCallNothingBackAndLetNothingMoreGo() {
        Watched w = new Watched();
        w.apply(new Command.Want(0, "w", "a1", "red", 0, Long.MAX_VALUE, 10));
        w.apply(new Command.Want(0, "w", "b1", "blue", 0, Long.MAX_VALUE, 10));
        w.apply(new Command.Grant(0, "w", "a1"));
        w.apply(new Command.Bind(0, new Bounds(1, 1, 1, 0, 100), 35));
        assertEquals(
                "class m has 1 out, 1 at most",
                w.apply(new Command.Grant(0, "w", "b1")).why());
        w.apply(new Command.Bind(0, new Bounds(1, 1, 2, 0, 100), 35));
        assertEquals(
                "capacity left 20/s is under 35/s, the demand with its reserve",
                w.apply(new Command.Grant(0, "w", "b1")).why());
        w.apply(new Command.Bind(0, new Bounds(1, 1, 2, 0, 8), 10));
        assertEquals(
                "the ledger would have to refill 10/s, it bears 8/s",
                w.apply(new Command.Grant(0, "w", "b1")).why());
        assertTrue(w.apply(new Command.Hold(0, true, "op")).accepted());
        assertEquals(
                "grants are held by op",
                w.apply(new Command.Grant(0, "w", "b1")).why());
        assertEquals(Phase.EMPTYING, w.list.works().iterator().next().phase());
    }
}
