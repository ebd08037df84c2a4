package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * Operators that send changes and read the configuration, with up to {@link #MOST} changes in progress at once. A change
 * without a clear answer is resent unchanged to another machine. Single-threaded; times in microseconds of the simulation's
 * clock.
 */
final class Operator {
    /** Maximum number of changes in progress. */
    static final int MOST = 8;
    /** How long a change may take while the core is settled without interruption and no link has a fault. */
    static final long ACK_MICROS = 4_000_000;

    static final long CALL_MICROS = 1_000_000;
    private static final long ROUTE_MICROS = 3_000;
    private static final int ROUTES = 4;
    private static final long CHECK_INTERVAL_MICROS = 250_000;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 500_000;
    private static final int TRIES_OF_4XX = 3;

    /** The text of a change; {@code number} is 0 unless it is a configuration. */
    private record ChangeText(String name, String path, String body, long number) {}

    /** One operator's change, until it has a clear answer or is abandoned. */
    private final class PendingChange {
        private final ChangeText text;
        private final long until;
        private final Runnable acknowledged;
        private long begun;
        private int at;
        private int tries;
        private int refusals;
        private boolean over;

        PendingChange(ChangeText text, int at, long within, Runnable acknowledged) {
            this.text = text;
            this.at = at;
            this.until = within;
            this.acknowledged = acknowledged;
        }

        private void begin() {
            begun = simulation.time.now();
            inProgress++;
            simulation.logEvent("operator sends " + text.name);
            send();
            checkDeadline();
        }

        private void send() {
            if (over) {
                return;
            }
            if (simulation.time.now() - begun > until) {
                end();
                return;
            }
            if (text.number > 0) {
                simulation.configurationChecker.sent(text.number, text.body);
            }
            List<Machine> cores = simulation.known();
            Machine to = cores.get(Math.floorMod(at, cores.size()));
            long sentAt = simulation.time.now();
            simulation.externalCalls.call(
                    to,
                    new ExternalCalls.Call("POST", text.path, text.body, CALL_MICROS),
                    status -> {
                        if (text.number > 0) {
                            simulation.configurationChecker.answered(text.number, text.body, status, sentAt);
                        }
                    },
                    (status, why) -> answered(to, status, why));
        }

        private void answered(Machine by, int status, String why) {
            if (over) {
                return;
            }
            boolean refusal = status / 100 == 4 && status != 408 && status != 429;
            boolean clear = status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
            refusals += refusal ? 1 : 0;
            if (status / 100 == 2) {
                simulation.recordDuration(Outcome.ACKNOWLEDGED, simulation.time.now() - begun);
                simulation.logEvent(text.name + " is acknowledged by " + by.ip);
                end();
                acknowledged.run();
            } else if (refusal && text.number > 0 && (clear || refusals >= TRIES_OF_4XX)) {
                simulation.logEvent(text.name + " is refused by " + by.ip + " with " + status);
                end();
                simulation.configurationChecker.refused(text.number, text.body);
            } else if (refusal && text.number == 0 && status != 409) {
                throw new Violation("CONFIG", "a valid change is refused: " + why);
            } else {
                at++;
                simulation.time.after(Math.min(LONGEST_PAUSE, FIRST_PAUSE << Math.min(4, tries++)), this::send);
            }
        }

        private void end() {
            over = true;
            inProgress--;
            PendingChange next = waiting.poll();
            if (next != null) {
                next.begin();
            }
        }

        /** Checks that the change is answered in time while the core is settled. */
        private void checkDeadline() {
            long most = ACK_MICROS + ROUTE_MICROS * (ROUTES + simulation.extraRoutes);
            if (Math.min(simulation.connectivity.calmFor(), simulation.time.now() - begun) > most) {
                if (!over) {
                    throw new Violation(
                            "ACK", text.name + " has no answer after " + most / 1_000 + " ms with the core settled");
                }
            }
            if (!over) {
                simulation.time.after(CHECK_INTERVAL_MICROS, this::checkDeadline);
            }
        }
    }

    private final Simulation simulation;
    private final List<ChangeText> acknowledged = new ArrayList<>();
    private final Deque<PendingChange> waiting = new ArrayDeque<>();
    private int inProgress;
    private long version;
    private int contents;

    Operator(Simulation simulation) {
        this.simulation = simulation;
    }

    // ---- configurations

    /** A valid body; two with one version and different {@code content} differ in what they do. */
    String configuration(long version, int content) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < simulation.extraRoutes; i++) {
            more.append(',')
                    .append(rule("extra-" + i, "/extra/" + i + "/", "idempotent", "orders", 200))
                    .append('}');
        }
        String other = content % 2 == 0 ? "orders" : "other";
        return "{\"configVersion\":\"" + String.format(Locale.ROOT, "%08x", version)
                + "\",\"backendTable\":[{\"name\":\"objects\","
                + "\"healthPath\":\"/h\",\"maxConnections\":130,\"ratePerS\":" + Simulation.RATE
                + "},{\"name\":\"orders\",\"healthPath\":\"/h\","
                + "\"maxConnections\":130},{\"name\":\"other\",\"healthPath\":\"/h\",\"maxConnections\":130}],\"virtualHosts\":["
                + "{\"hostname\":\"" + Simulation.HOST + "\",\"pathRules\":["
                + rule("objects", "/o/", "cacheable", "objects", 200)
                + ",\"cacheTtl\":\"" + Simulation.TTL_MICROS / 1_000 + "ms\"},"
                + rule("safe", "/s/", "idempotent", "orders", 200) + "},"
                + rule("pay", "/p/", "non_idempotent", "orders", 200) + "},"
                + rule("moves", "/m/", "idempotent", other, 200 + content) + "}" + more + "]}]}";
    }

    private static String rule(String name, String prefix, String type, String service, int aim) {
        return "{\"name\":\"" + name + "\",\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type
                + "\",\"timeout\":\"1500ms\","
                + "\"targetLatency\":\"" + aim + "ms\",\"priority\":1,\"maxAttempts\":2,\"backend\":\"" + service
                + "\"";
    }

    private ChangeText change(long number) {
        int content = ++contents;
        return new ChangeText(
                "version " + number + ", content " + content,
                "/v1/configuration/replace",
                configuration(number, content),
                number);
    }

    private long nextVersion() {
        version += 1 + simulation.random.nextInt(3);
        return version;
    }

    private int randomMachineIndex() {
        return simulation.random.nextInt(1_000);
    }

    private void submit(ChangeText text, int at, long within, Runnable then) {
        PendingChange order = new PendingChange(text, at, within, then);
        if (inProgress < MOST) {
            order.begin();
        } else {
            waiting.add(order);
        }
    }

    private void change(ChangeText text, int at, Runnable then) {
        submit(text, at, Long.MAX_VALUE, () -> {
            simulation.configurationChecker.acknowledged(text.number, text.body);
            acknowledged.add(text);
            then.run();
        });
    }

    /** A change under the next version. */
    void configure(Runnable then) {
        change(change(nextVersion()), randomMachineIndex(), then);
    }

    /** Two operators send different contents under one number at once; what was acknowledged is resent. */
    void raceUnderOneNumber() {
        long number = nextVersion();
        for (int i = 0; i < 2; i++) {
            ChangeText text = change(number);
            change(
                    text,
                    randomMachineIndex(),
                    () -> simulation.time.after(
                            simulation.random.nextLong(ACK_MICROS),
                            () -> change(text, randomMachineIndex(), () -> {})));
        }
    }

    /** Two operators send two contents under one number, to two machines, the second one some time after the first. */
    void sameNumber(long after) {
        long number = nextVersion();
        int at = randomMachineIndex();
        change(change(number), at, () -> {});
        simulation.time.after(after, () -> change(change(number), at + 1, () -> {}));
    }

    /** One change is sent to three machines at once. */
    void sendToThreeMachines() {
        ChangeText text = change(nextVersion());
        int at = randomMachineIndex();
        for (int i = 0; i < 3; i++) {
            change(text, at + i, () -> {});
        }
    }

    /** Starts eight changes at once. */
    void startManyChanges() {
        for (int i = 0; i < MOST; i++) {
            configure(() -> {});
        }
    }

    /** A change that was acknowledged is sent again, unchanged: the newest one, or an older one. */
    void resend(int pick) {
        if (!acknowledged.isEmpty()) {
            int back = pick % 2 == 0 ? 1 : 1 + pick / 2 % acknowledged.size();
            change(acknowledged.get(acknowledged.size() - back), randomMachineIndex(), () -> {});
        }
    }

    /** Sends an improper change: invalid, with the current or an older version, or an earlier one again. */
    void sendImproper(int pick) {
        switch (pick % 8) {
            case 5 -> {
                if (simulation.configurationChecker.newest() > 0) {
                    change(change(simulation.configurationChecker.newest()), randomMachineIndex(), () -> {});
                }
            }
            case 6 -> {
                if (simulation.configurationChecker.newest() > 1) {
                    change(change(simulation.configurationChecker.newest() - 1), randomMachineIndex(), () -> {});
                }
            }
            case 7 -> resend(pick / 8 * 2 + 1);
            default -> sendInvalid(pick % 8);
        }
    }

    private void sendInvalid(int which) {
        String good = configuration(version + 100, ++contents);
        String[] broken = {
            good.substring(0, good.length() / 2),
            good.replace("\"backend\":\"orders\"", "\"backend\":\"none\""),
            good.replace("\"maxAttempts\":2", "\"maxAttempts\":0"),
            "[]",
            good.replace("\"pathPrefix\":\"/s/\"", "\"pathPrefix\":\"s\"")
        };
        List<Machine> cores = simulation.known();
        simulation.externalCalls.call(
                cores.get(simulation.random.nextInt(cores.size())),
                new ExternalCalls.Call("POST", "/v1/configuration/replace", broken[which], CALL_MICROS),
                status -> {
                    if (status / 100 == 2) {
                        throw new Violation("CONFIG", "an invalid configuration is acknowledged");
                    }
                },
                (status, text) -> {});
    }

    // ---- purges

    /** An object changes and is purged, by its path or by its tag. */
    void purge(int pick, Runnable then) {
        String path = "/o/" + pick % Clients.PATHS;
        boolean tag = pick % 3 == 0;
        long next = simulation.objects.merge(path, 1L, Long::sum);
        simulation.requestChecker.changes(path, next);
        long sentAt = simulation.time.now();
        String body =
                tag ? "{\"tag\":\"all\"}" : "{\"hostname\":\"" + Simulation.HOST + "\",\"path\":\"" + path + "\"}";
        submit(
                new ChangeText("purge of " + (tag ? "all" : path), "/v1/purge", body, 0),
                randomMachineIndex(),
                ACK_MICROS + ROUTE_MICROS * (ROUTES + simulation.extraRoutes) + CHECK_INTERVAL_MICROS,
                () -> {
                    simulation.requestChecker.purged(tag ? null : path, sentAt);
                    simulation.durabilityChecker.purged(tag ? "" : path, tag ? "all" : "", sentAt);
                    then.run();
                });
    }

    // ---- reading back

    /** Reads once from each known core machine; no answer may be older than what was acknowledged before. */
    void readAll() {
        simulation.known().forEach(machine -> read(machine, new int[1]));
    }

    private void read(Machine from, int[] got) {
        long newest = simulation.configurationChecker.newest();
        simulation.externalCalls.call(
                from,
                new ExternalCalls.Call("GET", "/v1/configuration/read", "", CALL_MICROS),
                status -> {},
                (status, text) -> {
                    if (status == 200) {
                        got[0]++;
                        long number = Configuration.parse(text.getBytes(StandardCharsets.UTF_8))
                                .version();
                        if (number < newest) {
                            throw new Violation(
                                    "LOST",
                                    from.ip + " returns version " + number + " where " + newest + " was acknowledged");
                        }
                        simulation.configurationChecker.read(number, text);
                    }
                });
    }

    /** Reads at the end of the run, for twice {@link Simulation#CONNECTED_AFTER_MICROS}; at least one read must succeed if the core is settled. */
    void readBack() {
        long until = simulation.time.now() + 2 * Simulation.CONNECTED_AFTER_MICROS;
        int[] got = new int[1];
        readRepeatedly(0, until, got);
        simulation.time.run(until + CALL_MICROS);
        if (got[0] == 0 && simulation.connectivity.settledFor() >= Simulation.CONNECTED_AFTER_MICROS) {
            throw new Violation("CONFIG", "no configuration could be read");
        }
    }

    private void readRepeatedly(int at, long until, int[] got) {
        if (simulation.time.now() < until) {
            List<Machine> cores = simulation.known();
            read(cores.get(at % cores.size()), got);
            simulation.time.after(300_000, () -> readRepeatedly(at + 1, until, got));
        }
    }
}
