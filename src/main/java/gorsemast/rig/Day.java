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
 * What happens on a day of the rig: faults one after another, each given time to settle. Drawn from a seed, or read from
 * the file that an earlier day was written to.
 *
 * @param processes 2 to 24
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Day(int processes, long seed, List<Event> events) {
    /** The most processes that one machine is asked for. */
    public static final int MOST = 24;

    /** What can happen. */
    public enum Kind {
        /** The processes named end with no word; their machines refuse for them. */
        KILL,
        /** The machines of those named go silent with their processes. */
        VANISH,
        /** Those named, dead so far, start again under their names with a list from before. */
        RESTART,
        /** All that run are killed and start again. */
        RESTART_ALL,
        /** Those named stand still. */
        STOP,
        /** And run on. */
        CONTINUE,
        /** Those named end in good order. */
        LEAVE,
        /** Two dead ones start again, each at the other's address. */
        SWAP,
        /** The fleet falls into {@code groups} that don't reach each other. */
        CUT,
        /** Nothing passes from the first named to the second; the other way is well. */
        ONE_WAY,
        /** All links lose, double, delay and reorder. */
        LOSSY,
        /** All links are well again. */
        HEAL
    }

    /**
     * @param who numbers of processes
     * @param groups for {@link Kind#CUT}: into how many parts
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

    public Day {
        events = List.copyOf(events);
        if (processes < 2 || processes > MOST) {
            throw new IllegalArgumentException("processes is " + processes + "; between 2 and " + MOST);
        }
        for (Event event : events) {
            if (event.who().stream().anyMatch(who -> who < 0 || who >= processes)) {
                throw new IllegalArgumentException(
                        event + " names a process that the day has not; 0 to " + (processes - 1));
            }
            if (event.kind() == Kind.CUT && (event.groups() < 2 || event.groups() > processes)) {
                throw new IllegalArgumentException(event + ": groups is " + event.groups() + "; 2 to " + processes);
            }
        }
    }

    /** The day of each direction's proof: every failure that the view is for, one after another. */
    public static Day every(int processes, long seed) {
        List<Integer> most = new ArrayList<>();
        for (int i = 2; i < processes; i++) {
            most.add(i);
        }
        int last = processes - 1;
        return new Day(
                processes,
                seed,
                List.of(
                        Event.of(Kind.KILL, 1),
                        Event.of(Kind.RESTART, 1),
                        new Event(Kind.KILL, most, 0),
                        new Event(Kind.RESTART, most, 0),
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

    /** A day drawn from a seed, with so many events. */
    public static Day draw(int processes, long seed, int events) {
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
        return new Day(processes, seed, drawn);
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

    /** Writes it down, to be played again. */
    public void write(Path file) throws IOException {
        mapper().writeValue(file.toFile(), this);
    }

    /** Reads a day; what is wrong with it is one plain line. */
    public static Day read(Path file) throws IOException {
        try {
            return mapper().readValue(Files.readString(file), Day.class);
        } catch (JsonProcessingException e) {
            String at = e.getLocation() == null
                    ? ""
                    : e.getLocation().getLineNr() + ":" + e.getLocation().getColumnNr() + ": ";
            throw new IOException(
                    file + ":" + at + e.getOriginalMessage().lines().findFirst().orElse(""), e);
        }
    }
}
