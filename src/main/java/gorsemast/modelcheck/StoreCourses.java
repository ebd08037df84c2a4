package gorsemast.modelcheck;

import java.util.List;

/**
 * What happens in a drawn course of a {@link StoreWorld}: single events, and rows of them that have found faults. All draws are
 * the world's own. One thread.
 */
final class StoreCourses {
    /** Long enough for one to take over. */
    private static final long QUIET_MICROS = 1_500_000;

    private final StoreWorld world;

    /** Courses of this world. */
    StoreCourses(StoreWorld world) {
        this.world = world;
    }

    /** One drawn event; times and deliveries come most often. */
    void drawn() {
        String a = world.ips.get(world.random.nextInt(world.ips.size()));
        String b = world.ips.get(world.random.nextInt(world.ips.size()));
        int what = world.random.nextInt(1_000);
        if (what < 450) {
            world.deliver(a, b);
        } else if (what < 700) {
            world.sync(a);
        } else if (what < 850) {
            world.tick();
        } else if (what < 860) {
            world.stall(a, what < 853);
        } else if (what < 890) {
            world.put(a, false);
        } else if (what < 900) {
            world.again(a, world.random.nextInt(6));
        } else if (what < 910) {
            world.rival(a, world.random.nextInt(4));
        } else if (what < 945) {
            world.get(a);
        } else if (what < 955) {
            world.kill(a, world.random.nextBoolean());
        } else if (what < 972) {
            world.start(a);
        } else if (what < 976) {
            world.wipe(a);
        } else if (what < 982) {
            world.freeze(a, !world.machines.get(a).frozen);
        } else if (what < 988) {
            world.cut(a, b, true);
        } else if (what < 997) {
            world.cut(a, b, false);
        } else if (what < 999) {
            world.breakLink(a, b);
        } else {
            for (String ip : world.ips) {
                world.kill(ip, true);
            }
        }
    }

    /** All work, a version is acknowledged somewhere, and a disk is lost at once; others lose power with it. */
    void strike() {
        world.links.mend();
        for (String ip : world.ips) {
            world.machines.get(ip).frozen = false;
            world.machines.get(ip).disk.stall(false);
            world.start(ip);
        }
        world.calm(6_000_000);
        world.put(world.ips.get(world.random.nextInt(world.ips.size())), false);
        world.calm(world.random.nextInt(4) * 25_000L);
        String struck = world.ips.get(world.random.nextInt(world.ips.size()));
        world.wipe(struck);
        for (String ip : world.ips) {
            if (!ip.equals(struck) && world.random.nextInt(3) == 0) {
                world.kill(ip, true);
            }
        }
        world.get(world.ips.get(world.random.nextInt(world.ips.size())));
    }

    /** A disk is lost, and all others lose power with it. */
    void strikeAll(String wiped) {
        world.wipe(wiped);
        for (String ip : world.ips) {
            world.kill(ip, true);
        }
    }

    /** One stands still while another takes over and acknowledges, wakes, and is asked before it has heard of that. */
    void sleep() {
        String sleeper = world.ips.get(world.random.nextInt(world.ips.size()));
        String other = world.ips.get(world.random.nextInt(world.ips.size()));
        boolean inHand = world.random.nextBoolean();
        if (inHand) {
            world.put(sleeper, false); // written there, and nobody else has heard of it
        }
        world.freeze(sleeper, true);
        world.calm(3_000_000);
        world.put(other, inHand && !other.equals(sleeper));
        world.calm(100_000);
        world.freeze(sleeper, false);
        world.get(sleeper);
        world.put(sleeper, true);
        for (String ip : world.ips) {
            world.deliver(sleeper, ip); // what it says is heard before it hears anything
        }
    }

    /**
     * Two contents under one number, each on one disk only, in two terms; then the first one's machine leads again and
     * acknowledges, and the second one's comes back in its place.
     */
    void contend() {
        world.links.mend();
        for (String ip : world.ips) {
            world.machines.get(ip).frozen = false;
            world.start(ip);
        }
        world.calm(QUIET_MICROS);
        String first = primary();
        world.isolate(first, true);
        world.put(first, false);
        world.calm(QUIET_MICROS);
        String second = primary();
        world.isolate(second, true);
        world.rival(second, 0);
        world.calm(25_000L * world.random.nextInt(3));
        world.isolate(first, false);
        world.isolate(second, true);
        world.calm(QUIET_MICROS);
        world.again(first, 1);
        world.get(first);
        world.calm(25_000L * world.random.nextInt(3));
        world.isolate(second, false);
        world.isolate(first, true);
        world.calm(QUIET_MICROS);
        world.again(second, world.random.nextInt(2));
        world.get(second);
        world.calm(25_000L * world.random.nextInt(3));
        world.put(second, false);
        world.calm(50_000);
        world.get(first); // cut off, and overtaken
        world.isolate(first, false);
    }

    private String primary() {
        List<String> leading = world.ips.stream()
                .filter(ip -> world.machines.get(ip).replica != null
                        && world.machines.get(ip).replica.isPrimary())
                .toList();
        return leading.isEmpty() ? world.ips.get(0) : leading.get(world.random.nextInt(leading.size()));
    }

    /** An order is on its way to the disks of those who answer it when all lose power. */
    void outage() {
        String asked = world.ips.get(world.random.nextInt(world.ips.size()));
        world.put(asked, false);
        for (int i = world.random.nextInt(20); i > 0; i--) {
            if (world.random.nextInt(6) == 0) {
                world.sync(world.ips.get(world.random.nextInt(world.ips.size())));
            } else {
                world.deliver(
                        world.ips.get(world.random.nextInt(world.ips.size())),
                        world.ips.get(world.random.nextInt(world.ips.size())));
            }
        }
        world.restartAll();
    }
}
