package gorsemast.simulation;

/** Faults injected right after an acknowledgement or soon after a change was sent. Single-threaded; times in microseconds. */
final class AcknowledgementFaults {
    private static final long AFTER_MICROS = 4_000;
    private static final long SOONEST_MICROS = 5_000;
    private static final long SPREAD_MICROS = 395_000;

    private final Simulation simulation;
    private final MachineFaults machines;
    private final ServerFaults servers;

    AcknowledgementFaults(Simulation simulation, MachineFaults machines, ServerFaults servers) {
        this.simulation = simulation;
        this.machines = machines;
        this.servers = servers;
    }

    /** The next core machine that acknowledges a change loses power, and its disk as well if {@code wipes}. */
    void failAcknowledgingMachine(int n, boolean wipes, long down) {
        simulation.externalCalls.onAck(
                AcknowledgedChange.of(n),
                machine -> simulation.time.after(simulation.random.nextLong(AFTER_MICROS), () -> {
                    if (!simulation.mayLose(1) || machine.removed) {
                        return;
                    }
                    if (simulation.primaryExcept(null) == machine) {
                        simulation.watch(
                                Outcome.TAKEN_OVER + (wipes ? "WIPE_AFTER_ACK" : "POWER_AFTER_ACK"),
                                () -> simulation.primaryExcept(machine) != null);
                    }
                    if (wipes) {
                        machines.wipe(machine, down);
                    } else {
                        machines.restart(machine, true, down);
                    }
                }));
    }

    /** All core machines lose power right after the next acknowledgement. */
    void powerOffAllAfterAcknowledgement(int n, long down) {
        simulation.externalCalls.onAck(
                AcknowledgedChange.of(n),
                by -> simulation.time.after(simulation.random.nextLong(AFTER_MICROS), () -> {
                    if (simulation.mayLose(simulation.losses())) {
                        powerOffAll(down);
                    }
                }));
    }

    private void powerOffAll(long down) {
        simulation.machines(true).forEach(one -> machines.restart(one, true, down));
    }

    /** A change is sent, and all core machines lose power 5 to 400 ms later, whether it is acknowledged or not. */
    void powerOffAllAfterChange(int n, long down) {
        switch (AcknowledgedChange.of(n)) {
            case PURGE -> simulation.operator.purge(n, () -> {});
            case LEAVING -> servers.drain(n, () -> {});
            default -> simulation.operator.configure(() -> {});
        }
        simulation.time.after(SOONEST_MICROS + simulation.random.nextLong(SPREAD_MICROS), () -> powerOffAll(down));
    }

    /** Right after the next acknowledgement one core machine loses its disk and all others lose power. */
    void wipeOnePowerOffOthers(Machine drawn, int n, long down) {
        simulation.externalCalls.onAck(
                AcknowledgedChange.of(n),
                by -> simulation.time.after(simulation.random.nextLong(AFTER_MICROS), () -> {
                    Machine wiped = drawn.removed || n % 2 == 0 ? by : drawn;
                    if (!simulation.mayLose(simulation.losses()) || wiped.removed) {
                        return;
                    }
                    machines.wipe(wiped, down);
                    simulation.machines(true).stream()
                            .filter(one -> one != wiped)
                            .forEach(one -> machines.restart(one, true, down));
                }));
    }
}
