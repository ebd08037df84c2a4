package gorsemast.modelcheck;

import gorsemast.modelcheck.StoreCheck.Result;
import gorsemast.node.FaultTolerance;
import gorsemast.store.Location;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Drawn courses in which the members of the store change: machines are replaced with and without notice, at the same and
 * at other addresses, stand still, and lose power in the middle of it; when each successor has had {@code syncTime}, as
 * much is lost as is to be borne, and what was acknowledged must be read back within a bound.
 */
public final class MembershipCheck {
    private static final long SECOND = 1_000_000;
    /** What the platform gives a machine that is back, before another one may be lost. */
    static final long SYNC_TIME = 4 * SECOND;
    /** What it gives a process that is asked to leave, less what a store keeps back. */
    static final long GRACE = 4_500_000;
    /** Within this a read must answer after a loss that is to be borne. */
    static final long READ_WITHIN = 4 * SECOND;

    private final StoreWorld world;
    private final SplittableRandom random;
    private final List<String> machines = new ArrayList<>();
    private final int losses;

    private MembershipCheck(StoreWorld world, int losses, SplittableRandom random) {
        this.world = world;
        this.losses = losses;
        this.random = random;
        this.machines.addAll(world.machines());
    }

    /**
     * So many courses of so many changes each.
     *
     * @param members of the first start; machines to grow to {@code 2 * losses + 1} members, and a spare for every other
     *     course, are there too
     */
    public static Result drawn(int members, int losses, long seed, int courses, int changes, Plant plant) {
        SplittableRandom seeds = new SplittableRandom(seed);
        long answered = 0;
        for (int c = 0; c < courses; c++) {
            int more = Math.max(0, 2 * losses + 1 - members) + c % 2;
            StoreWorld world = new StoreWorld(
                            members, more, FaultTolerance.ofMachines(losses), Map.of(), seeds.nextLong(), plant)
                    .telling();
            try {
                new MembershipCheck(world, losses, seeds.split()).course(changes);
            } catch (StoreWorld.Broken e) {
                return new Result(c + 1, answered, e.getMessage(), world.story());
            }
            answered += world.answered();
        }
        return new Result(courses, answered, null, List.of());
    }

    private void course(int changes) {
        world.calm(SECOND);
        machines.forEach(world::start);
        world.calm(SYNC_TIME + 2 * SECOND);
        for (int i = 0; i < changes; i++) {
            put();
            change();
            put();
            lose();
            if (random.nextBoolean()) {
                lose(); // with no order between, which would bring a copy up to date
            }
        }
        world.heal();
    }

    private String any() {
        return machines.get(random.nextInt(machines.size()));
    }

    /** An order is sent until it is acknowledged. */
    private void put() {
        long before = world.newest();
        for (int i = 0; i < 40 && world.newest() == before; i++) {
            world.put(world.leader() == null ? any() : world.leader(), i > 0);
            world.calm(SECOND / 10);
        }
        if (world.newest() == before) {
            throw new StoreWorld.Broken(
                    "no order is acknowledged within 4 s though no more is lost than is to be borne");
        }
    }

    private void change() {
        String old = any();
        switch (random.nextInt(7)) {
            case 0 -> { // at another address, without notice
                world.remove(old);
                world.rough(random.nextLong(SECOND));
                machines.set(machines.indexOf(old), join());
            }
            case 1 -> planned(old, false);
            case 2 -> planned(old, true);
            case 3 -> { // its disk is lost
                world.lose(old);
                world.rough(random.nextLong(SECOND));
                world.start(old);
            }
            case 4 -> { // it stands still for as long as makes others give it up, or not quite
                world.freeze(old, true);
                world.calm(random.nextLong(4 * SECOND));
                world.freeze(old, false);
            }
            case 5 -> { // restarted in order
                world.leave(old, GRACE);
                world.rough(random.nextLong(SECOND));
                world.start(old);
            }
            default -> { // all at once, in the middle of whatever goes on
                world.rough(random.nextLong(SECOND));
                machines.forEach(ip -> world.kill(ip, true));
                machines.forEach(world::start);
            }
        }
        world.rough(random.nextLong(SECOND / 2));
        if (random.nextInt(4) == 0) {
            machines.forEach(ip -> world.kill(ip, true));
            machines.forEach(world::start);
        }
        world.calm(SYNC_TIME);
    }

    private String join() {
        String joins = world.add();
        world.start(joins);
        return joins;
    }

    /** The new one first; then the old one is asked to leave, and killed half way or given its time. */
    private void planned(String old, boolean killed) {
        String joins = join();
        world.calm(SYNC_TIME);
        if (killed) {
            world.ask(old);
            world.rough(random.nextLong(SECOND / 10));
        } else {
            world.leave(old, GRACE);
        }
        world.remove(old);
        machines.set(machines.indexOf(old), joins);
        if (!killed && random.nextBoolean()) {
            lose(); // its successor has had its time, and the old one had the time to hand over
        }
    }

    /** As much is lost as may be; others may lose power with it; a read answers; what was lost comes back. */
    private void lose() {
        List<String> lost = new ArrayList<>();
        while (lost.size() < losses) {
            String one = any();
            if (!lost.contains(one)) {
                lost.add(one);
                world.lose(one);
            }
        }
        if (random.nextInt(3) == 0) {
            machines.stream().filter(ip -> !lost.contains(ip)).forEach(ip -> world.kill(ip, true));
            machines.stream().filter(ip -> !lost.contains(ip)).forEach(world::start);
        }
        if (world.readAnswers(READ_WITHIN) < 0) {
            throw new StoreWorld.Broken("no read answers within 4 s after " + lost + " were lost");
        }
        lost.forEach(world::start);
        world.calm(SYNC_TIME);
    }

    /**
     * A zone is lost for good after so many machines have stood in each; whether a read answers then.
     *
     * @param zones the zone of each machine; the first three are the members of the first start
     * @param lost the zone that is lost
     */
    public static Result zoneLost(List<String> zones, String lost, long seed, Plant plant) {
        Map<String, Location> places = new HashMap<>();
        for (int i = 0; i < zones.size(); i++) {
            places.put("m" + (i + 1), new Location(zones.get(i), "r", true));
        }
        StoreWorld world =
                new StoreWorld(3, zones.size() - 3, new FaultTolerance(1, 1, 0), places, seed, plant).telling();
        try {
            MembershipCheck check = new MembershipCheck(world, 1, new SplittableRandom(seed));
            world.calm(SECOND);
            check.machines.forEach(world::start);
            world.calm(SYNC_TIME + 2 * SECOND);
            check.put();
            for (int i = 0; i < zones.size(); i++) {
                if (zones.get(i).equals(lost)) {
                    world.remove("m" + (i + 1));
                }
            }
            if (world.readAnswers(READ_WITHIN) < 0) {
                throw new StoreWorld.Broken("no read answers within 4 s after zone " + lost + " was lost");
            }
        } catch (StoreWorld.Broken e) {
            return new Result(1, world.answered(), e.getMessage(), world.story());
        }
        return new Result(1, world.answered(), null, List.of());
    }
}
