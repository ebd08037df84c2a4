package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import gorsemast.simulation.Servers.Server;
import gorsemast.simulation.Trouble.Closing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** How a day goes: the start, the operator's orders, clients' requests, troubles, the closing fault, what is read back. */
final class Course {
    private static final long LEAD_MICROS = 9_000_000;
    private static final long CALL_MICROS = 1_000_000;
    private static final long ACK_MICROS = 4_000_000;
    private static final long RECOVERY_MICROS = 15_000_000;
    private static final long REQUEST_MICROS = 14_000;
    private static final int PATHS = 40;
    private static final long PROBE_MICROS = 1_000_000;

    private final World world;
    private final Day day;
    private final Troubles troubles;
    private final Map<Machine, Boolean> taken = new HashMap<>();
    private final Map<Machine, Integer> missed = new HashMap<>();
    private final Map<Long, String> contents = new HashMap<>();
    private long version;
    private long lastRequest;
    private int asked;
    private int served;
    private int answeredLate;
    private int askedLate;
    private long restored;
    private boolean again;

    Course(World world, Day day) {
        this.world = world;
        this.day = day;
        this.troubles = new Troubles(world, this);
    }

    Outcome play() {
        String[] zones = {"a", "b", "c"};
        for (int i = 0; i < day.cores(); i++) {
            world.add(zones[i % zones.length], true);
        }
        world.listNow();
        for (int i = 0; i < day.edges(); i++) {
            world.add(zones[i % zones.length], false);
        }
        world.machines(true).forEach(one -> world.start(one, true));
        world.machines(false).forEach(one -> world.start(one, true));
        for (int i = 0; i < 3; i++) {
            server(World.OBJECTS, 16);
            server("orders", 6);
            server("other", 6);
        }
        for (int i = 0; i < world.extraServers; i++) {
            server("orders", 6);
        }
        long begun = world.time.now();
        configure(null);
        world.time.run(begun + LEAD_MICROS);
        if (world.referee.newest() == 0) {
            throw new Broken("ACK", "the first configuration is not taken before traffic starts");
        }
        probe();
        long start = world.time.now();
        world.countFromNow();
        requests(start + day.length() + (day.closing() == Closing.NONE ? 0 : 2 * RECOVERY_MICROS));
        for (Trouble trouble : day.troubles()) {
            world.time.after(trouble.at(), () -> troubles.strike(trouble));
        }
        world.time.run(start + day.length());
        if (day.closing() != Closing.NONE) {
            close();
            world.time.run(world.time.now() + 2 * RECOVERY_MICROS);
            if (restored > 0 && askedLate > 0 && 4 * answeredLate < askedLate) {
                throw new Broken(
                        "RECOVER",
                        answeredLate + " of " + askedLate + " requests are served " + RECOVERY_MICROS / 1_000_000
                                + " s after all were back");
            }
        } else {
            world.time.run(world.time.now() + 2 * World.CONTACT_MICROS + CALL_MICROS);
        }
        readBack();
        return world.outcome(asked, served, start);
    }

    // ---- servers

    private int lastServer;

    Server server(String service, int slots) {
        return server(service, slots, "10.9.0." + ++lastServer + ":80");
    }

    Server server(String service, int slots, String address) {
        return world.servers.new Server(service, address, new String[] {"a", "b", "c"}[lastServer % 3], slots);
    }

    // ---- the operator

    static String configuration(long version) {
        String other = version % 2 == 0 ? "orders" : "other";
        return "{\"configVersion\":\"" + String.format(Locale.ROOT, "%08x", version)
                + "\",\"backendTable\":[{\"name\":\"objects\","
                + "\"healthPath\":\"/h\",\"maxConnections\":130,\"ratePerS\":" + World.RATE
                + "},{\"name\":\"orders\",\"healthPath\":\"/h\","
                + "\"maxConnections\":130},{\"name\":\"other\",\"healthPath\":\"/h\",\"maxConnections\":130}],\"virtualHosts\":["
                + "{\"hostname\":\"" + World.HOST + "\",\"pathRules\":["
                + rule("objects", "/o/", "cacheable", "objects")
                + ",\"cacheTtl\":\"" + World.TTL_MICROS / 1_000 + "ms\"}," + rule("safe", "/s/", "idempotent", "orders")
                + "},"
                + rule("pay", "/p/", "non_idempotent", "orders") + "}," + rule("moves", "/m/", "idempotent", other)
                + "}]}]}";
    }

    static String rule(String name, String prefix, String type, String service) {
        return "{\"name\":\"" + name + "\",\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type
                + "\",\"timeout\":\"1500ms\","
                + "\"targetLatency\":\"200ms\",\"priority\":1,\"maxAttempts\":2,\"backend\":\"" + service + "\"";
    }

    /** A change under the next version, by one of two operators where both send at once. */
    void configure(Consumer<Long> acknowledged) {
        version += 1 + world.random.nextInt(3);
        long mine = version;
        String body = world.inflated(configuration(mine));
        contents.put(mine, body);
        order("/v1/configuration/replace", body, "version " + mine, ACK_MICROS, Long.MAX_VALUE, () -> {
            world.referee.acknowledged(mine);
            if (acknowledged != null) {
                acknowledged.accept(mine);
            }
        });
    }

    /** A change that takes the place of the last one in one operator's eyes, with its own content. */
    void race() {
        configure(null);
        configure(null);
    }

    void invalid() {
        String good = configuration(version + 100);
        String[] broken = {
            good.substring(0, good.length() / 2),
            good.replace("\"backend\":\"orders\"", "\"backend\":\"none\""),
            good.replace("\"maxAttempts\":2", "\"maxAttempts\":0"),
            "[]",
            good.replace("\"pathPrefix\":\"/s/\"", "\"pathPrefix\":\"s\"")
        };
        String body = broken[world.random.nextInt(broken.length)];
        List<Machine> cores = world.known();
        world.call(
                "operator",
                cores.get(world.random.nextInt(cores.size())),
                "POST",
                "/v1/configuration/replace",
                body,
                CALL_MICROS,
                (status, text) -> {
                    if (status / 100 == 2) {
                        throw new Broken("CONFIG", "an invalid configuration is acknowledged");
                    }
                });
    }

    /** An object changes and is purged, by its path or by its tag. */
    void purge(int pick) {
        String path = "/o/" + pick % PATHS;
        boolean tag = pick % 3 == 0;
        long next = world.objects.merge(path, 1L, Long::sum);
        world.referee.changes(path, next);
        long sentAt = world.time.now();
        String body = tag ? "{\"tag\":\"all\"}" : "{\"hostname\":\"" + World.HOST + "\",\"path\":\"" + path + "\"}";
        order(
                "/v1/purge",
                body,
                "purge of " + (tag ? "all" : path),
                ACK_MICROS,
                ACK_MICROS,
                () -> world.referee.purged(tag ? null : path, sentAt));
    }

    /** Sends until it is acknowledged, to one machine after the other. */
    private void order(String path, String body, String name, long within, long until, Runnable acknowledged) {
        long begun = world.time.now();
        boolean[] over = new boolean[1];
        world.say("operator sends " + name);
        send(
                path,
                body,
                begun,
                until,
                world.random.nextInt(1_000),
                0,
                () -> {
                    over[0] = true;
                    world.took(Outcome.ACKNOWLEDGED, world.time.now() - begun);
                    world.say(name + " is acknowledged");
                    acknowledged.run();
                },
                over);
        // Held to be acknowledged only where the core was settled all the while.
        world.time.after(within + CALL_MICROS, () -> {
            if (!over[0] && world.coreSettledFor() >= within + CALL_MICROS + World.CONTACT_MICROS) {
                throw new Broken(
                        "ACK", name + " is not acknowledged in " + within / 1_000 + " ms with the core settled");
            }
        });
    }

    private void send(
            String path,
            String body,
            long begun,
            long until,
            int at,
            int tries,
            Runnable acknowledged,
            boolean[] over) {
        if (over[0] || world.time.now() - begun > until) {
            return;
        }
        List<Machine> cores = world.known();
        Machine to = cores.get(Math.floorMod(at, cores.size()));
        world.call("operator", to, "POST", path, body, CALL_MICROS, (status, text) -> {
            if (over[0]) {
                return;
            }
            if (status / 100 == 2) {
                acknowledged.run();
            } else if (status == 400) {
                throw new Broken("CONFIG", "a valid order is refused: " + text);
            } else {
                world.time.after(
                        Math.min(500_000, 50_000L << Math.min(4, tries)),
                        () -> send(path, body, begun, until, at + 1, tries + 1, acknowledged, over));
            }
        });
    }

    private void readBack() {
        long until = world.time.now() + 2 * World.CONTACT_MICROS;
        String[] got = new String[1];
        read(0, until, got);
        world.time.run(until + CALL_MICROS);
        if (got[0] == null) {
            if (world.coreCalmFor() >= World.CONTACT_MICROS) {
                throw new Broken("CONFIG", "nothing is read back");
            }
            return;
        }
        long read = Configuration.parse(got[0].getBytes(StandardCharsets.UTF_8)).version();
        world.referee.readBack(read);
        if (!got[0].equals(contents.get(read))) {
            throw new Broken("CONFIG", "version " + read + " is read back with other content");
        }
    }

    private void read(int at, long until, String[] got) {
        List<Machine> cores = world.known();
        world.call(
                "operator",
                cores.get(at % cores.size()),
                "GET",
                "/v1/configuration/read",
                "",
                CALL_MICROS,
                (status, text) -> {
                    if (status == 200) {
                        got[0] = text;
                    } else if (world.time.now() < until) {
                        world.time.after(100_000, () -> read(at + 1, until, got));
                    }
                });
    }

    // ---- clients

    /** The platform asks each second who takes clients; two misses take one out. */
    private void probe() {
        for (Machine machine : world.machines(false)) {
            boolean well = machine.power
                    && machine.frozenUntil <= world.time.now()
                    && world.process(gorsemast.peer.Record.Program.PROXY, machine) instanceof Edge edge
                    && edge.ready();
            int misses = well ? 0 : missed.getOrDefault(machine, 0) + 1;
            missed.put(machine, misses);
            if (well || misses >= 2) {
                taken.put(machine, well);
            }
        }
        world.time.after(PROBE_MICROS, this::probe);
    }

    private void requests(long until) {
        if (world.time.now() < until) {
            request();
            world.time.after(REQUEST_MICROS / 2 + world.random.nextLong(REQUEST_MICROS), () -> requests(until));
        }
    }

    private void request() {
        List<Machine> in = world.machines(false).stream()
                .filter(one -> taken.getOrDefault(one, false))
                .toList();
        in = 2 * in.size() < world.machines(false).size() ? world.machines(false) : in;
        Machine machine = in.get(world.random.nextInt(in.size()));
        int what = world.random.nextInt(10);
        boolean unsafe = what >= 8;
        String path = what < 6
                ? "/o/" + Math.min(world.random.nextInt(PATHS), world.random.nextInt(PATHS))
                : what < 7 ? "/s/x" : what < 8 ? "/m/x" : "/p/x";
        String service = what < 6 ? World.OBJECTS : "orders";
        String attempt = "t" + ++lastRequest;
        world.referee.asks(service);
        if (what == 7) {
            world.referee.asks("other");
        }
        asked++;
        boolean late = restored > 0 && world.time.now() > restored + RECOVERY_MICROS;
        askedLate += late ? 1 : 0;
        long sentAt = world.time.now();
        world.time.after(world.way(1_000), () -> {
            Edge edge = machine.power && world.process(gorsemast.peer.Record.Program.PROXY, machine) instanceof Edge one
                    ? one
                    : null;
            if (edge == null) {
                return;
            }
            edge.run(() -> {
                Configuration now = edge.lookout.configuration();
                if (now != null) {
                    boolean planted =
                            world.plant == Plant.GOES_BACK && edge.seenVersion > 1 && world.random.nextInt(50) == 0;
                    world.referee.handles(edge, planted ? edge.seenVersion - 1 : now.version(), sentAt);
                }
                edge.request(
                        attempt,
                        path,
                        answer -> world.time.after(world.way(1_000), () -> {
                            world.referee.answered(edge, attempt, path, unsafe, sentAt, answer);
                            if (answer.told() == Edge.Told.SERVED) {
                                served++;
                                answeredLate += late ? 1 : 0;
                                if (restored > 0 && !again && sentAt > restored) {
                                    again = true;
                                    world.took(Outcome.SERVED_AGAIN, world.time.now() - restored);
                                }
                            }
                        }));
            });
        });
    }

    // ---- the end

    private void close() {
        boolean[] struck = new boolean[1];
        configure(known -> {
            if (!struck[0]) {
                struck[0] = true;
                troubles.close(day.closing(), () -> restored = world.time.now());
            }
        });
    }
}
