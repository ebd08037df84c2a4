package gorsemast.simulation;

import gorsemast.peer.Record.Program;
import gorsemast.simulation.Servers.Server;
import gorsemast.simulation.Trouble.Closing;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Makes troubles happen. What would lose more core machines at once than may be lost waits its turn. */
final class Troubles {
    private static final long AGAIN_MICROS = 500_000;
    private static final long RESTART_MICROS = 300_000;
    /** From SIGTERM to SIGKILL. */
    private static final long GRACE_MICROS = 6_000_000;

    private static final long ENDED_MICROS = 10_000;

    private final World world;
    private final Course course;
    /** The closing fault has come: nothing further is taken away. */
    private boolean restarted;

    Troubles(World world, Course course) {
        this.world = world;
        this.course = course;
    }

    private static <T> T pick(List<T> of, int number) {
        return of.isEmpty() ? null : of.get(number % of.size());
    }

    private Machine core(int number) {
        return pick(world.machines(true), number);
    }

    private Machine edge(int number) {
        return pick(world.machines(false), number);
    }

    void strike(Trouble trouble) {
        strike(trouble, 0);
    }

    private void strike(Trouble trouble, int waited) {
        boolean counted =
                switch (trouble.kind()) {
                    case REPLACE_CORE,
                            REPLACE_CORE_PLANNED,
                            REPLACE_PRIMARY_THEN_WIPE,
                            ROLL_CORES,
                            KILL_CORE,
                            POWER_CORE,
                            FREEZE_CORE,
                            CUT_CORE,
                            CUT_ONE_WAY,
                            HOLD_NEWS,
                            STALL,
                            POWER_AFTER_ACK,
                            WIPE_AFTER_ACK,
                            KILL_CORES -> true;
                    default -> false;
                };
        if (counted && !world.mayLose()) {
            if (waited < 30) {
                world.time.after(AGAIN_MICROS, () -> strike(trouble, waited + 1));
            }
            return;
        }
        world.say(trouble.toString());
        if (counted) {
            primaryLost(
                    trouble.kind().toString(),
                    switch (trouble.kind()) {
                        case POWER_AFTER_ACK,
                                WIPE_AFTER_ACK,
                                KILL_CORES,
                                STALL,
                                ROLL_CORES,
                                REPLACE_PRIMARY_THEN_WIPE -> null; // told where they strike, or nobody takes over
                        default -> core(trouble.pick());
                    });
        }
        int n = trouble.pick();
        switch (trouble.kind()) {
            case CONFIG -> course.configure(null);
            case CONFIG_RACE -> course.race();
            case BAD_CONFIG -> course.invalid();
            case PURGE -> course.purge(n);
            case PURGE_STORM -> storm(n, world.time.now() + trouble.span());
            case DRAIN -> leaves(n);
            case RELEASE -> release(n);
            case ROLL -> roll(0);
            case RELOAD -> reload();
            case REPLACE_CORE -> replace(core(n));
            case REPLACE_CORE_PLANNED -> replacePlanned(core(n), false);
            case REPLACE_PRIMARY_THEN_WIPE -> {
                Machine primary = world.primaryBut(null);
                replacePlanned(primary == null ? core(n) : primary, true);
            }
            case ROLL_CORES -> {
                world.coreTrouble();
                rollCores(world.machines(true));
            }
            case CRASH_SERVER -> crash(n, false);
            case REUSE -> crash(n, true);
            case LOSE_ANSWERS -> lose(n, trouble.span());
            case CONFUSED -> confuse(n, trouble.span());
            case SLOW_SERVER -> slow(n, trouble.span());
            case KILL_EDGE -> bounce(edge(n), false, RESTART_MICROS);
            case HERD ->
                world.machines(false).forEach(one -> {
                    if ((one.ip.hashCode() ^ n) % 3 != 0) {
                        bounce(one, false, RESTART_MICROS);
                    }
                });
            case KILL_CORE -> bounce(core(n), false, RESTART_MICROS);
            case KILL_CORES -> world.machines(true).forEach(one -> bounce(one, false, RESTART_MICROS));
            case POWER_CORE -> bounce(core(n), true, trouble.span());
            case POWER_AFTER_ACK -> afterAck(false, trouble.span());
            case WIPE_AFTER_ACK -> afterAck(true, trouble.span());
            case FREEZE_EDGE -> freeze(edge(n), trouble.span());
            case FREEZE_CORE -> freeze(core(n), trouble.span());
            case CUT_EDGE -> cutOff(edge(n), trouble.span(), false);
            case CUT_CORE -> cutOff(core(n), trouble.span(), false);
            case CUT_ONE_WAY -> cutOff(core(n), trouble.span(), true);
            case HOLD_NEWS -> holdNews(core(n), trouble.span());
            case STALL -> stall(core(n), trouble.span());
            case CLOCK -> {
                clock(core(n), trouble.span());
                clock(edge(n), trouble.span());
            }
        }
    }

    /** Measures how long it takes until another one leads, where the machine that is struck now leads. */
    private void primaryLost(String kind, Machine machine) {
        if (machine != null && world.primaryBut(null) == machine) {
            world.watch(Outcome.TAKEN_OVER + kind, () -> world.primaryBut(machine) != null);
        }
    }

    private void storm(int n, long until) {
        if (world.time.now() < until) {
            course.purge(n + world.random.nextInt(100));
            world.time.after(65_000, () -> storm(n, until));
        }
    }

    // ---- servers

    private Server leaver(int n) {
        String service = n % 2 == 0 ? "orders" : World.OBJECTS;
        List<Server> serving =
                world.servers.of(service).stream().filter(one -> !one.draining).toList();
        return serving.size() < 2 ? null : pick(serving, n);
    }

    private void leaves(int n) {
        Server server = leaver(n);
        if (server != null) {
            world.say(server.id + " drains");
            server.drain();
        }
    }

    private void release(int n) {
        Server server = leaver(n);
        if (server != null) {
            course.server(server.service, server.slots);
            world.time.after(700_000, server::drain);
        }
    }

    private void crash(int n, boolean reused) {
        Server server = leaver(n);
        if (server != null) {
            world.say(server.id + " crashes");
            server.crash();
            world.time.after(reused ? 400_000 : 2_000_000, () -> {
                if (reused) {
                    course.server(server.service.equals("orders") ? World.OBJECTS : "orders", 6, server.address);
                }
                course.server(server.service, server.slots);
            });
        }
    }

    private void lose(int n, long span) {
        List<Server> some = world.servers.of(n % 2 == 0 ? "orders" : World.OBJECTS);
        some.forEach(one -> one.loses = 0.05);
        world.time.after(span, () -> some.forEach(one -> one.loses = 0));
    }

    private void confuse(int n, long span) {
        List<Server> some = world.servers.of(n % 3 > 0 ? "orders" : World.OBJECTS);
        some.forEach(one -> {
            one.confuses = 0.2;
            one.forgets = 0.2;
        });
        world.time.after(
                span,
                () -> some.forEach(one -> {
                    one.confuses = 0;
                    one.forgets = 0;
                }));
    }

    private void slow(int n, long span) {
        Server server = pick(world.servers.of(null), n);
        server.slow = 4;
        world.time.after(span, () -> server.slow = 1);
    }

    // ---- machines

    /** A machine's processes end, or it loses power, and come back. */
    private void bounce(Machine machine, boolean power, long down) {
        machine.trouble();
        world.stop(machine, power);
        world.time.after(down, () -> {
            if (!machine.gone) {
                world.say(machine.ip + " starts");
                world.start(machine, false);
            }
            machine.calm(world.time.now());
        });
    }

    private void roll(int number) {
        List<Machine> edges = world.machines(false);
        if (number >= edges.size()) {
            return;
        }
        Machine machine = edges.get(number);
        Process process = world.process(Program.PROXY, machine);
        machine.trouble();
        if (process != null) {
            process.run(process::leave);
        }
        world.time.after(3_300_000, () -> {
            world.stop(machine, false);
            world.start(machine, false);
            machine.calm(world.time.now());
        });
        world.time.after(1_300_000, () -> roll(number + 1));
    }

    private void reload() {
        Set<String> seeds = world.seeds();
        for (boolean core : new boolean[] {true, false}) {
            for (Machine machine : world.machines(core)) {
                for (Process process : machine.processes) {
                    process.run(() -> {
                        if (process instanceof Edge edge) {
                            edge.lookout.seeds(seeds);
                        } else if (process instanceof CoreProcesses.Registry registry) {
                            registry.office.seeds(seeds);
                        } else if (process instanceof CoreProcesses.Store store) {
                            store.teller.seeds(seeds);
                        }
                    });
                }
            }
        }
    }

    private void replace(Machine machine) {
        world.coreTrouble();
        world.stop(machine, true);
        machine.gone = true;
        world.listLater();
        world.time.after(1_000_000, () -> {
            Machine next = world.add(machine.zone, true);
            world.say(next.ip + " takes the place of " + machine.ip);
            world.start(next, false);
            world.listLater();
            world.coreCalm();
        });
    }

    /** The new one has its time, then the old one is asked to leave and is gone when its processes have ended. */
    private void replacePlanned(Machine old, boolean wipes) {
        world.coreTrouble();
        Machine next = world.add(old.zone, true);
        world.say(next.ip + " comes for " + old.ip);
        world.start(next, false);
        world.listLater();
        whenWhole(next, old, 0, wipes);
    }

    /** The new one has been whole for its time, or something else has come between, and the old one stays. */
    private void whenWhole(Machine next, Machine old, int waited, boolean wipes) {
        boolean whole =
                world.machines(true).stream().allMatch(one -> one.calmFor(world.time.now()) >= World.SYNC_MICROS);
        if (!whole && waited < 30) {
            world.time.after(AGAIN_MICROS, () -> whenWhole(next, old, waited + 1, wipes));
            return;
        }
        if (!whole || restarted) {
            world.coreCalm();
            return;
        }
        asked(old, () -> {
            if (restarted) {
                world.coreCalm();
                return;
            }
            world.stop(old, true);
            old.gone = true;
            world.listLater();
            world.coreCalm();
            Machine leads = world.primaryBut(old);
            Machine struck = leads != null ? leads : core(0);
            if (wipes) {
                world.say(struck.ip + " loses its disk");
                bounce(struck, true, 1_000_000);
                struck.disk = new Machine.Disk();
            }
        });
    }

    /** Asks the processes of a machine to leave; then, when they have ended or the platform's patience has. */
    private void asked(Machine machine, Runnable then) {
        world.say(machine.ip + " is asked to leave");
        if (world.primaryBut(null) == machine) {
            world.watch(Outcome.TAKEN_OVER + "SIGTERM", () -> world.primaryBut(machine) != null);
        }
        long until = world.time.now() + GRACE_MICROS;
        List.copyOf(machine.processes).forEach(process -> process.run(process::leave));
        ended(machine, until, then);
    }

    private void ended(Machine machine, long until, Runnable then) {
        if (world.time.now() >= until || machine.processes.stream().noneMatch(process -> process.alive)) {
            then.run();
        } else {
            world.time.after(ENDED_MICROS, () -> ended(machine, until, then));
        }
    }

    private void rollCores(List<Machine> left) {
        if (left.isEmpty()) {
            world.coreCalm();
            return;
        }
        Machine machine = left.get(0);
        machine.trouble();
        asked(machine, () -> {
            world.stop(machine, false);
            world.time.after(RESTART_MICROS, () -> {
                if (!machine.gone) {
                    world.start(machine, false);
                }
                machine.calm(world.time.now());
            });
            world.time.after(1_000_000, () -> rollCores(left.subList(1, left.size())));
        });
    }

    private void afterAck(boolean wipes, long down) {
        world.onAck(machine -> world.time.after(world.random.nextLong(4_000), () -> {
            if (!world.mayLose() || machine.gone) {
                return;
            }
            if (wipes) {
                world.say(machine.ip + " loses its disk");
            }
            primaryLost(wipes ? "WIPE_AFTER_ACK" : "POWER_AFTER_ACK", machine);
            bounce(machine, true, down);
            if (wipes) {
                machine.disk = new Machine.Disk();
            }
        }));
    }

    private void freeze(Machine machine, long span) {
        machine.trouble();
        machine.frozenUntil = world.time.now() + span;
        world.time.after(span, () -> back(machine, "a freeze"));
    }

    private void back(Machine machine, String after) {
        machine.calm(world.time.now());
        if (!machine.core && !machine.gone) {
            world.watch(Outcome.CAUGHT_UP + after, () -> world.caughtUp(machine));
        }
    }

    /** It reaches no core machine; one way, it still hears them. */
    private void holdNews(Machine heard, long span) {
        List<Machine> held =
                world.machines(true).stream().filter(one -> one != heard).toList();
        world.coreTrouble();
        held.forEach(from -> holdNews(from, true));
        world.time.after(span, () -> {
            held.forEach(from -> holdNews(from, false));
            world.coreCalm();
        });
    }

    private void holdNews(Machine from, boolean does) {
        for (boolean core : new boolean[] {true, false}) {
            for (Machine to : world.machines(core)) {
                world.hold(Program.REGISTRY, from, to, does && from != to);
            }
        }
    }

    private void cutOff(Machine machine, long span, boolean oneWay) {
        machine.trouble();
        List<Machine> others = new ArrayList<>(world.machines(true));
        others.remove(machine);
        others.forEach(other -> {
            world.cut(machine, other, true);
            if (!oneWay) {
                world.cut(other, machine, true);
            }
        });
        world.time.after(span, () -> {
            others.forEach(other -> {
                world.cut(machine, other, false);
                world.cut(other, machine, false);
            });
            back(machine, "a cut");
        });
    }

    private void stall(Machine machine, long span) {
        machine.stall(world.time.now() + span);
        world.time.after(span, () -> machine.stalled(world.time.now()));
    }

    private void clock(Machine machine, long span) {
        machine.trouble();
        machine.clockError = world.random.nextBoolean() ? 3_000_000 : -3_000_000;
        world.time.after(span, () -> {
            machine.clockError = 0;
            machine.calm(world.time.now());
        });
    }

    // ---- the closing fault

    void close(Closing closing, Runnable restored) {
        world.say("closing fault " + closing);
        restarted = true;
        if (closing == Closing.WIPE) {
            Machine struck = core(world.random.nextInt(10));
            boolean othersToo = world.random.nextBoolean();
            if (world.mayLose()) {
                world.say(struck.ip + " loses its disk");
                bounce(struck, true, 1_000_000);
                struck.disk = new Machine.Disk();
                if (othersToo) {
                    world.machines(true).stream()
                            .filter(one -> one != struck)
                            .forEach(one -> bounce(one, true, 1_000_000));
                }
            }
        } else {
            for (boolean core : new boolean[] {true, false}) {
                world.machines(core).forEach(one -> bounce(one, closing == Closing.POWER_ALL, 1_000_000));
            }
        }
        world.time.after(1_000_000, restored);
    }
}
