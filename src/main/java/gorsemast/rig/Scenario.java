package gorsemast.rig;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A fault scenario of the rig: faults one after another, each with time to settle. Drawn from a seed, or read from the
 * file of an earlier scenario.
 *
 * @param processes number of processes, 2 to 24
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Scenario(int processes, long seed, List<Event> events) {
    /** Largest number of processes that the rig starts on one machine. */
    public static final int MAX_PROCESSES = 24;

    /** Kinds of events. */
    public enum Kind {
        /** Kills the named processes; their machines refuse their packets. */
        KILL,
        /** Makes the named processes disappear with their machines, which stay silent. */
        VANISH,
        /** Restarts the named dead processes under their names with an older list. */
        RESTART,
        /** Kills and restarts all running processes. */
        RESTART_ALL,
        /** Suspends the named processes. */
        STOP,
        /** Resumes the named processes. */
        CONTINUE,
        /** Shuts the named processes down gracefully. */
        LEAVE,
        /** Restarts two dead processes, each at the other's address. */
        SWAP,
        /** Partitions the fleet into {@code groups}. */
        CUT,
        /** Drops everything from the first named to the second; the other direction works. */
        ONE_WAY,
        /** All links lose, duplicate, delay and reorder datagrams. */
        LOSSY,
        /** Restores all links. */
        HEAL
    }

    /**
     * @param who numbers of the affected processes
     * @param groups number of partitions for {@link Kind#CUT}
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record Event(Kind kind, List<Integer> who, int groups) {
        public Event {
            who = who == null ? List.of() : List.copyOf(who);
        }

        static Event of(Kind kind, Integer... who) {
            return new Event(kind, List.of(who), 0);
        }

        @Override
        public String toString() {
            return kind.name().toLowerCase(java.util.Locale.ROOT)
                    + (who.isEmpty() ? "" : " " + who)
                    + (groups > 0 ? " into " + groups : "");
        }
    }

    public Scenario {
        events = List.copyOf(events);
        if (processes < 2 || processes > MAX_PROCESSES) {
            throw new IllegalArgumentException("processes is " + processes + "; between 2 and " + MAX_PROCESSES);
        }
        for (Event event : events) {
            if (event.who().stream().anyMatch(who -> who < 0 || who >= processes)) {
                throw new IllegalArgumentException(
                        event + " names an unknown process; expected 0 to " + (processes - 1));
            }
            if (event.kind() == Kind.CUT && (event.groups() < 2 || event.groups() > processes)) {
                throw new IllegalArgumentException(event + ": groups is " + event.groups() + "; 2 to " + processes);
            }
        }
    }

    /** Returns the scenario with every failure that the fleet view must handle, one after another. */
    public static Scenario ofEveryFault(int processes, long seed) {
        List<Integer> allButTwo = new ArrayList<>();
        for (int i = 2; i < processes; i++) {
            allButTwo.add(i);
        }
        int last = processes - 1;
        return new Scenario(
                processes,
                seed,
                List.of(
                        Event.of(Kind.KILL, 1),
                        Event.of(Kind.RESTART, 1),
                        new Event(Kind.KILL, allButTwo, 0),
                        new Event(Kind.RESTART, allButTwo, 0),
                        new Event(Kind.CUT, List.of(), 2),
                        Event.of(Kind.HEAL),
                        new Event(Kind.CUT, List.of(), 3),
                        Event.of(Kind.HEAL),
                        Event.of(Kind.ONE_WAY, 0, last),
                        Event.of(Kind.HEAL),
                        Event.of(Kind.LOSSY),
                        Event.of(Kind.HEAL),
                        Event.of(Kind.STOP, last),
                        Event.of(Kind.CONTINUE, last),
                        Event.of(Kind.VANISH, 0),
                        Event.of(Kind.RESTART, 0),
                        Event.of(Kind.LEAVE, last),
                        Event.of(Kind.RESTART, last),
                        Event.of(Kind.RESTART_ALL)));
    }

    /** Draws a scenario with a number of events from a seed. */
    public static Scenario draw(int processes, long seed, int events) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Event> drawn = new ArrayList<>();
        TreeSet<Integer> dead = new TreeSet<>();
        TreeSet<Integer> stopped = new TreeSet<>();
        boolean cut = false;
        Kind[] kinds = Kind.values();
        while (drawn.size() < events) {
            Kind kind = kinds[random.nextInt(kinds.length)];
            List<Integer> running = new ArrayList<>();
            for (int i = 0; i < processes; i++) {
                if (!dead.contains(i) && !stopped.contains(i)) {
                    running.add(i);
                }
            }
            shuffle(running, random);
            switch (kind) {
                case KILL, VANISH, STOP, LEAVE -> {
                    int most = Math.max(1, kind == Kind.KILL ? running.size() - 1 : running.size() / 3);
                    if (running.size() > 1) {
                        List<Integer> who =
                                List.copyOf(running.subList(0, 1 + random.nextInt(Math.min(most, running.size() - 1))));
                        (kind == Kind.STOP ? stopped : dead).addAll(who);
                        drawn.add(new Event(kind, who, 0));
                    }
                }
                case RESTART -> {
                    if (!dead.isEmpty()) {
                        drawn.add(new Event(kind, List.copyOf(dead), 0));
                        dead.clear();
                    }
                }
                case CONTINUE -> {
                    if (!stopped.isEmpty()) {
                        drawn.add(new Event(kind, List.copyOf(stopped), 0));
                        stopped.clear();
                    }
                }
                case SWAP -> {
                    if (dead.size() >= 2) {
                        List<Integer> two = List.of(dead.pollFirst(), dead.pollFirst());
                        drawn.add(new Event(kind, two, 0));
                    }
                }
                case RESTART_ALL -> {
                    if (stopped.isEmpty() && random.nextInt(3) == 0) {
                        drawn.add(Event.of(kind));
                    }
                }
                case CUT -> {
                    if (!cut) {
                        cut = true;
                        drawn.add(new Event(kind, List.of(), 2 + random.nextInt(Math.min(2, processes - 1))));
                    }
                }
                case ONE_WAY -> {
                    if (!cut && running.size() > 2) {
                        cut = true;
                        drawn.add(Event.of(kind, running.get(0), running.get(1)));
                    }
                }
                case LOSSY -> {
                    if (!cut) {
                        cut = true;
                        drawn.add(Event.of(kind));
                    }
                }
                default -> {
                    if (cut) {
                        cut = false;
                        drawn.add(Event.of(kind));
                    }
                }
            }
        }
        return new Scenario(processes, seed, drawn);
    }

    private static void shuffle(List<Integer> list, SplittableRandom random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    private static ObjectMapper mapper() {
        return new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /** Writes the scenario to a file for a later run. */
    public void write(Path file) throws IOException {
        mapper().writeValue(file.toFile(), this);
    }

    /** Reads a scenario; an invalid file gives a one-line message. */
    public static Scenario read(Path file) throws IOException {
        try {
            return mapper().readValue(Files.readString(file), Scenario.class);
        } catch (JsonProcessingException e) {
            String at = e.getLocation() == null
                    ? ""
                    : e.getLocation().getLineNr() + ":" + e.getLocation().getColumnNr() + ": ";
            throw new IOException(
                    file + ":" + at + e.getOriginalMessage().lines().findFirst().orElse(""), e);
        }
    }
}
