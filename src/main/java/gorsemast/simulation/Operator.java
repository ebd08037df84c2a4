package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * Those who send orders and read the configuration back: several operators, up to {@link #MOST} orders under way at once. An
 * order without a clear answer is sent again unchanged, to another machine. One thread; times in microseconds of the world's clock.
 */
final class Operator {
    /** Orders under way at once. */
    static final int MOST = 8;
    /** So long an order may take in one stretch in which the core is settled and no link in trouble. */
    static final long ACK_MICROS = 4_000_000;

    static final long CALL_MICROS = 1_000_000;
    private static final long ROUTE_MICROS = 3_000;
    private static final int ROUTES = 4;
    private static final long LOOK_MICROS = 250_000;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 500_000;
    private static final int TRIES_OF_4XX = 3;

    /** What is ordered; {@code number} 0 where it is no configuration. */
    private record Text(String name, String path, String body, long number) {}

    /** One operator's order, until it has a clear answer or is given up. */
    private final class Order {
        private final Text text;
        private final long until;
        private final Runnable acknowledged;
        private long begun;
        private int at;
        private int tries;
        private int refusals;
        private boolean over;

        Order(Text text, int at, long within, Runnable acknowledged) {
            this.text = text;
            this.at = at;
            this.until = within;
            this.acknowledged = acknowledged;
        }

        private void begin() {
            begun = world.time.now();
            underWay++;
            world.say("operator sends " + text.name);
            send();
            look();
        }

        private void send() {
            if (over) {
                return;
            }
            if (world.time.now() - begun > until) {
                end();
                return;
            }
            if (text.number > 0) {
                world.contents.sent(text.number, text.body);
            }
            List<Machine> cores = world.known();
            Machine to = cores.get(Math.floorMod(at, cores.size()));
            long sentAt = world.time.now();
            world.outside.call(
                    to,
                    new Outside.Call("POST", text.path, text.body, CALL_MICROS),
                    status -> {
                        if (text.number > 0) {
                            world.contents.answered(text.number, text.body, status, sentAt);
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
                world.took(Outcome.ACKNOWLEDGED, world.time.now() - begun);
                world.say(text.name + " is acknowledged by " + by.ip);
                end();
                acknowledged.run();
            } else if (refusal && text.number > 0 && (clear || refusals >= TRIES_OF_4XX)) {
                world.say(text.name + " is refused by " + by.ip + " with " + status);
                end();
                world.contents.refused(text.number, text.body);
            } else if (refusal && text.number == 0 && status != 409) {
                throw new Broken("CONFIG", "a valid order is refused: " + why);
            } else {
                at++;
                world.time.after(Math.min(LONGEST_PAUSE, FIRST_PAUSE << Math.min(4, tries++)), this::send);
            }
        }

        private void end() {
            over = true;
            underWay--;
            Order next = waiting.poll();
            if (next != null) {
                next.begin();
            }
        }

        /** Held to be answered in one stretch in which the core is settled. */
        private void look() {
            long most = ACK_MICROS + ROUTE_MICROS * (ROUTES + world.extraRoutes);
            if (Math.min(world.contact.stretch(), world.time.now() - begun) > most) {
                if (!over) {
                    throw new Broken(
                            "ACK", text.name + " has no answer after " + most / 1_000 + " ms with the core settled");
                }
            }
            if (!over) {
                world.time.after(LOOK_MICROS, this::look);
            }
        }
    }

    private final World world;
    private final List<Text> acknowledged = new ArrayList<>();
    private final Deque<Order> waiting = new ArrayDeque<>();
    private int underWay;
    private long version;
    private int contents;

    Operator(World world) {
        this.world = world;
    }

    // ---- configurations

    /** A valid body; two with one version and different {@code content} differ in what they do. */
    String configuration(long version, int content) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < world.extraRoutes; i++) {
            more.append(',')
                    .append(rule("extra-" + i, "/extra/" + i + "/", "idempotent", "orders", 200))
                    .append('}');
        }
        String other = content % 2 == 0 ? "orders" : "other";
        return "{\"configVersion\":\"" + String.format(Locale.ROOT, "%08x", version)
                + "\",\"backendTable\":[{\"name\":\"objects\","
                + "\"healthPath\":\"/h\",\"maxConnections\":130,\"ratePerS\":" + World.RATE
                + "},{\"name\":\"orders\",\"healthPath\":\"/h\","
                + "\"maxConnections\":130},{\"name\":\"other\",\"healthPath\":\"/h\",\"maxConnections\":130}],\"virtualHosts\":["
                + "{\"hostname\":\"" + World.HOST + "\",\"pathRules\":["
                + rule("objects", "/o/", "cacheable", "objects", 200)
                + ",\"cacheTtl\":\"" + World.TTL_MICROS / 1_000 + "ms\"},"
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

    private Text change(long number) {
        int content = ++contents;
        return new Text(
                "version " + number + ", content " + content,
                "/v1/configuration/replace",
                configuration(number, content),
                number);
    }

    private long next() {
        version += 1 + world.random.nextInt(3);
        return version;
    }

    private int somewhere() {
        return world.random.nextInt(1_000);
    }

    private void order(Text text, int at, long within, Runnable then) {
        Order order = new Order(text, at, within, then);
        if (underWay < MOST) {
            order.begin();
        } else {
            waiting.add(order);
        }
    }

    private void change(Text text, int at, Runnable then) {
        order(text, at, Long.MAX_VALUE, () -> {
            world.contents.acknowledged(text.number, text.body);
            acknowledged.add(text);
            then.run();
        });
    }

    /** A change under the next version. */
    void configure(Runnable then) {
        change(change(next()), somewhere(), then);
    }

    /** Two operators send contents of their own under one number at once; what was acknowledged is sent again. */
    void race() {
        long number = next();
        for (int i = 0; i < 2; i++) {
            Text text = change(number);
            change(
                    text,
                    somewhere(),
                    () -> world.time.after(
                            world.random.nextLong(ACK_MICROS), () -> change(text, somewhere(), () -> {})));
        }
    }

    /** Two operators send two contents under one number, to two machines, the second one some time after the first. */
    void sameNumber(long after) {
        long number = next();
        int at = somewhere();
        change(change(number), at, () -> {});
        world.time.after(after, () -> change(change(number), at + 1, () -> {}));
    }

    /** One change is sent to three machines at once. */
    void thrice() {
        Text text = change(next());
        int at = somewhere();
        for (int i = 0; i < 3; i++) {
            change(text, at + i, () -> {});
        }
    }

    /** Eight changes are under way at once. */
    void many() {
        for (int i = 0; i < MOST; i++) {
            configure(() -> {});
        }
    }

    /** A change that was acknowledged is sent again, unchanged: the newest one, or an older one. */
    void again(int pick) {
        if (!acknowledged.isEmpty()) {
            int back = pick % 2 == 0 ? 1 : 1 + pick / 2 % acknowledged.size();
            change(acknowledged.get(acknowledged.size() - back), somewhere(), () -> {});
        }
    }

    /** What is no proper change: broken, of the version that holds, of an older version, or an earlier one once more. */
    void bad(int pick) {
        switch (pick % 8) {
            case 5 -> {
                if (world.contents.newest() > 0) {
                    change(change(world.contents.newest()), somewhere(), () -> {});
                }
            }
            case 6 -> {
                if (world.contents.newest() > 1) {
                    change(change(world.contents.newest() - 1), somewhere(), () -> {});
                }
            }
            case 7 -> again(pick / 8 * 2 + 1);
            default -> invalid(pick % 8);
        }
    }

    private void invalid(int which) {
        String good = configuration(version + 100, ++contents);
        String[] broken = {
            good.substring(0, good.length() / 2),
            good.replace("\"backend\":\"orders\"", "\"backend\":\"none\""),
            good.replace("\"maxAttempts\":2", "\"maxAttempts\":0"),
            "[]",
            good.replace("\"pathPrefix\":\"/s/\"", "\"pathPrefix\":\"s\"")
        };
        List<Machine> cores = world.known();
        world.outside.call(
                cores.get(world.random.nextInt(cores.size())),
                new Outside.Call("POST", "/v1/configuration/replace", broken[which], CALL_MICROS),
                status -> {
                    if (status / 100 == 2) {
                        throw new Broken("CONFIG", "an invalid configuration is acknowledged");
                    }
                },
                (status, text) -> {});
    }

    // ---- purges

    /** An object changes and is purged, by its path or by its tag. */
    void purge(int pick, Runnable then) {
        String path = "/o/" + pick % Clients.PATHS;
        boolean tag = pick % 3 == 0;
        long next = world.objects.merge(path, 1L, Long::sum);
        world.referee.changes(path, next);
        long sentAt = world.time.now();
        String body = tag ? "{\"tag\":\"all\"}" : "{\"hostname\":\"" + World.HOST + "\",\"path\":\"" + path + "\"}";
        order(
                new Text("purge of " + (tag ? "all" : path), "/v1/purge", body, 0),
                somewhere(),
                ACK_MICROS + ROUTE_MICROS * (ROUTES + world.extraRoutes) + LOOK_MICROS,
                () -> {
                    world.referee.purged(tag ? null : path, sentAt);
                    world.kept.purged(tag ? "" : path, tag ? "all" : "", sentAt);
                    then.run();
                });
    }

    // ---- reading back

    /** Each core machine that is known is asked once; what it tells may be no older than what was acknowledged before. */
    void readAll() {
        world.known().forEach(machine -> read(machine, new int[1]));
    }

    private void read(Machine from, int[] got) {
        long newest = world.contents.newest();
        world.outside.call(
                from,
                new Outside.Call("GET", "/v1/configuration/read", "", CALL_MICROS),
                status -> {},
                (status, text) -> {
                    if (status == 200) {
                        got[0]++;
                        long number = Configuration.parse(text.getBytes(StandardCharsets.UTF_8))
                                .version();
                        if (number < newest) {
                            throw new Broken(
                                    "LOST",
                                    from.ip + " tells version " + number + " where " + newest + " was acknowledged");
                        }
                        world.contents.read(number, text);
                    }
                });
    }

    /** At the end of the day, for twice {@link World#CONTACT_MICROS}; all that is read counts. */
    void readBack() {
        long until = world.time.now() + 2 * World.CONTACT_MICROS;
        int[] got = new int[1];
        readOn(0, until, got);
        world.time.run(until + CALL_MICROS);
        if (got[0] == 0 && world.contact.settledFor() >= World.CONTACT_MICROS) {
            throw new Broken("CONFIG", "nothing is read back");
        }
    }

    private void readOn(int at, long until, int[] got) {
        if (world.time.now() < until) {
            List<Machine> cores = world.known();
            read(cores.get(at % cores.size()), got);
            world.time.after(300_000, () -> readOn(at + 1, until, got));
        }
    }
}
