package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import gorsemast.peer.PeerMessage.Program;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The platform, which asks who is ready, and the clients that it hands to edges. One thread; microseconds. */
final class Clients {
    static final int PATHS = 40;
    private static final long REQUEST_MICROS = 14_000;
    private static final long PROBE_MICROS = 1_000_000;
    private static final long RECOVERY_MICROS = 15_000_000;
    /** A share of the calm time in which machines in touch may be unready: one of so many. */
    private static final int UNREADY_SHARE = 8;

    private final World world;
    private final Map<Machine, Boolean> taken = new HashMap<>();
    private final Map<Machine, Integer> missed = new HashMap<>();
    private long lastRequest;
    private int asked;
    private int served;
    private int askedLate;
    private int servedLate;
    private int probes;
    private int unready;
    private long restored;
    private boolean again;

    Clients(World world) {
        this.world = world;
    }

    int asked() {
        return asked;
    }

    int served() {
        return served;
    }

    /** All machines are back after the closing fault. */
    void restored() {
        restored = world.time.now();
    }

    /** The platform asks each second who takes clients; two misses take one out. */
    void probe() {
        for (Machine machine : world.machines(false)) {
            boolean well = machine.power
                    && machine.frozenUntil <= world.time.now()
                    && world.process(Program.PROXY, machine) instanceof Edge edge
                    && edge.ready();
            int misses = well ? 0 : missed.getOrDefault(machine, 0) + 1;
            missed.put(machine, misses);
            if (well || misses >= 2) {
                taken.put(machine, well);
            }
            if (world.contact.touch(machine)) {
                probes++;
                unready += well ? 0 : 1;
            }
        }
        world.time.after(PROBE_MICROS, this::probe);
    }

    /** Requests come until then. */
    void requests(long until) {
        if (world.time.now() < until) {
            request();
            world.time.after(REQUEST_MICROS / 2 + world.random.nextLong(REQUEST_MICROS), () -> requests(until));
        }
    }

    private void request() {
        List<Machine> all = world.machines(false);
        List<Machine> in =
                all.stream().filter(one -> taken.getOrDefault(one, false)).toList();
        in = 2 * in.size() < all.size() ? all : in;
        Machine machine = in.get(world.random.nextInt(in.size()));
        int what = world.random.nextInt(10);
        boolean unsafe = what >= 8;
        String path = what < 6
                ? "/o/" + Math.min(world.random.nextInt(PATHS), world.random.nextInt(PATHS))
                : what < 7 ? "/s/x" : what < 8 ? "/m/x" : "/p/x";
        String attempt = "t" + ++lastRequest;
        world.referee.asks(what < 6 ? World.OBJECTS : "orders");
        if (what == 7) {
            world.referee.asks("other");
        }
        asked++;
        boolean late = restored > 0 && world.time.now() > restored + RECOVERY_MICROS;
        askedLate += late ? 1 : 0;
        long sentAt = world.time.now();
        world.time.after(world.ways.way(1_000), () -> {
            if (machine.power && world.process(Program.PROXY, machine) instanceof Edge edge) {
                edge.run(() -> handed(edge, attempt, path, unsafe, sentAt, late));
            }
        });
    }

    private void handed(Edge edge, String attempt, String path, boolean unsafe, long sentAt, boolean late) {
        Configuration now = edge.goesBy();
        if (now != null) {
            world.contents.handles(edge, now.version(), edge.content(now), sentAt);
        }
        edge.request(
                attempt,
                path,
                answer -> world.time.after(world.ways.way(1_000), () -> {
                    world.referee.answered(edge, attempt, path, unsafe, sentAt, answer);
                    if (answer.told() == Edge.Told.SERVED) {
                        served++;
                        servedLate += late ? 1 : 0;
                        if (restored > 0 && !again && sentAt > restored) {
                            again = true;
                            world.took(Outcome.SERVED_AGAIN, world.time.now() - restored);
                        }
                    }
                }));
    }

    /** What is judged when the day is over. */
    void end() {
        if (restored > 0 && askedLate > 0 && 4 * servedLate < askedLate) {
            throw new Broken(
                    "RECOVER",
                    servedLate + " of " + askedLate + " requests are served " + RECOVERY_MICROS / 1_000_000
                            + " s after all were back");
        }
        if (UNREADY_SHARE * unready > probes) {
            throw new Broken("DUTY", "machines in touch were not ready at " + unready + " of " + probes + " probes");
        }
    }
}
