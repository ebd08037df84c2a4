package gorsemast.modelcheck;

import java.util.List;

/**
 * Events of a random scenario of a {@link StoreSimulation}: single events, and sequences that have found faults. All draws use
 * the simulation's random source. Single-threaded.
 */
final class StoreScenarios {
    /** Long enough for a take-over. */
    private static final long QUIET_MICROS = 1_500_000;

    private final StoreSimulation simulation;

    /** Creates the scenarios of this simulation. */
    StoreScenarios(StoreSimulation simulation) {
        this.simulation = simulation;
    }

    /** One random event; ticks and deliveries are the most frequent. */
    void randomEvent() {
        String a = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        String b = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        int what = simulation.random.nextInt(1_000);
        if (what < 450) {
            simulation.deliver(a, b);
        } else if (what < 700) {
            simulation.sync(a);
        } else if (what < 850) {
            simulation.tick();
        } else if (what < 860) {
            simulation.stall(a, what < 853);
        } else if (what < 890) {
            simulation.put(a, false);
        } else if (what < 900) {
            simulation.again(a, simulation.random.nextInt(6));
        } else if (what < 910) {
            simulation.rival(a, simulation.random.nextInt(4));
        } else if (what < 945) {
            simulation.get(a);
        } else if (what < 955) {
            simulation.kill(a, simulation.random.nextBoolean());
        } else if (what < 972) {
            simulation.start(a);
        } else if (what < 976) {
            simulation.wipe(a);
        } else if (what < 982) {
            simulation.freeze(a, !simulation.machines.get(a).frozen);
        } else if (what < 988) {
            simulation.cut(a, b, true);
        } else if (what < 997) {
            simulation.cut(a, b, false);
        } else if (what < 999) {
            simulation.breakLink(a, b);
        } else {
            for (String ip : simulation.ips) {
                simulation.kill(ip, true);
            }
        }
    }

    /** After full recovery a version is acknowledged and a disk is lost soon after; others may lose power with it. */
    void loseDiskAfterAcknowledgement() {
        simulation.links.mend();
        for (String ip : simulation.ips) {
            simulation.machines.get(ip).frozen = false;
            simulation.machines.get(ip).disk.stall(false);
            simulation.start(ip);
        }
        simulation.calm(6_000_000);
        simulation.put(simulation.ips.get(simulation.random.nextInt(simulation.ips.size())), false);
        simulation.calm(simulation.random.nextInt(4) * 25_000L);
        String struck = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        simulation.wipe(struck);
        for (String ip : simulation.ips) {
            if (!ip.equals(struck) && simulation.random.nextInt(3) == 0) {
                simulation.kill(ip, true);
            }
        }
        simulation.get(simulation.ips.get(simulation.random.nextInt(simulation.ips.size())));
    }

    /** A disk is lost, and all others lose power with it. */
    void loseDiskAndPower(String wiped) {
        simulation.wipe(wiped);
        for (String ip : simulation.ips) {
            simulation.kill(ip, true);
        }
    }

    /** A machine freezes while another takes over and acknowledges; it resumes and gets calls before it learns of that. */
    void freezeDuringTakeover() {
        String sleeper = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        String other = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        boolean inHand = simulation.random.nextBoolean();
        if (inHand) {
            simulation.put(sleeper, false); // written there only
        }
        simulation.freeze(sleeper, true);
        simulation.calm(3_000_000);
        simulation.put(other, inHand && !other.equals(sleeper));
        simulation.calm(100_000);
        simulation.freeze(sleeper, false);
        simulation.get(sleeper);
        simulation.put(sleeper, true);
        for (String ip : simulation.ips) {
            simulation.deliver(sleeper, ip); // its messages arrive before it receives any
        }
    }

    /**
     * Two contents under one number, each on one disk only, in two terms; then the first one's machine becomes primary again
     * and acknowledges, and the second one's returns in its place.
     */
    void contend() {
        simulation.links.mend();
        for (String ip : simulation.ips) {
            simulation.machines.get(ip).frozen = false;
            simulation.start(ip);
        }
        simulation.calm(QUIET_MICROS);
        String first = primary();
        simulation.isolate(first, true);
        simulation.put(first, false);
        simulation.calm(QUIET_MICROS);
        String second = primary();
        simulation.isolate(second, true);
        simulation.rival(second, 0);
        simulation.calm(25_000L * simulation.random.nextInt(3));
        simulation.isolate(first, false);
        simulation.isolate(second, true);
        simulation.calm(QUIET_MICROS);
        simulation.again(first, 1);
        simulation.get(first);
        simulation.calm(25_000L * simulation.random.nextInt(3));
        simulation.isolate(second, false);
        simulation.isolate(first, true);
        simulation.calm(QUIET_MICROS);
        simulation.again(second, simulation.random.nextInt(2));
        simulation.get(second);
        simulation.calm(25_000L * simulation.random.nextInt(3));
        simulation.put(second, false);
        simulation.calm(50_000);
        simulation.get(first); // cut off, and overtaken
        simulation.isolate(first, false);
    }

    private String primary() {
        List<String> leading = simulation.ips.stream()
                .filter(ip -> simulation.machines.get(ip).replica != null
                        && simulation.machines.get(ip).replica.isPrimary())
                .toList();
        return leading.isEmpty() ? simulation.ips.get(0) : leading.get(simulation.random.nextInt(leading.size()));
    }

    /** All machines lose power while an update is being written to disks. */
    void outage() {
        String target = simulation.ips.get(simulation.random.nextInt(simulation.ips.size()));
        simulation.put(target, false);
        for (int i = simulation.random.nextInt(20); i > 0; i--) {
            if (simulation.random.nextInt(6) == 0) {
                simulation.sync(simulation.ips.get(simulation.random.nextInt(simulation.ips.size())));
            } else {
                simulation.deliver(
                        simulation.ips.get(simulation.random.nextInt(simulation.ips.size())),
                        simulation.ips.get(simulation.random.nextInt(simulation.ips.size())));
            }
        }
        simulation.restartAll();
    }
}
