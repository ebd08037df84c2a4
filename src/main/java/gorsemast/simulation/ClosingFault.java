package gorsemast.simulation;

import gorsemast.simulation.Fault.Closing;

/**
 * The fault that ends a run: all machines lose power or their processes, or one loses its disk, right after an
 * acknowledgement or soon after a change was sent.
 */
final class ClosingFault {
    private static final long DOWN_MICROS = 1_000_000;
    private static final long SOONEST_MICROS = 5_000;
    private static final long LATEST_MICROS = 400_000;

    private final Simulation simulation;
    private final FaultInjector faultInjector;
    private boolean injected;

    ClosingFault(Simulation simulation, FaultInjector faultInjector) {
        this.simulation = simulation;
        this.faultInjector = faultInjector;
    }

    void inject(Closing closing) {
        switch (closing) {
            case NONE -> {}
            case POWER_TIMED -> {
                sendChange(simulation.random.nextInt(3), () -> {});
                simulation.time.after(
                        SOONEST_MICROS + simulation.random.nextLong(LATEST_MICROS - SOONEST_MICROS),
                        () -> injectNow(Closing.POWER_ALL));
            }
            case POWER_ANY -> sendChange(1 + simulation.random.nextInt(2), () -> injectNow(Closing.POWER_ALL));
            default -> sendChange(0, () -> injectNow(closing));
        }
    }

    private void sendChange(int which, Runnable acknowledged) {
        switch (which) {
            case 1 -> simulation.operator.purge(simulation.random.nextInt(1_000), acknowledged);
            case 2 -> {
                if (!faultInjector.servers().drain(simulation.random.nextInt(1_000), acknowledged)) {
                    simulation.operator.configure(acknowledged);
                }
            }
            default -> simulation.operator.configure(acknowledged);
        }
    }

    private void injectNow(Closing closing) {
        if (injected) {
            return;
        }
        injected = true;
        simulation.logEvent("closing fault " + closing);
        MachineFaults machines = faultInjector.machines();
        if (closing != Closing.WIPE) {
            for (boolean core : new boolean[] {true, false}) {
                simulation
                        .machines(core)
                        .forEach(one -> machines.restart(one, closing == Closing.POWER_ALL, DOWN_MICROS));
            }
        } else if (simulation.mayLose(1)) {
            Machine wiped = faultInjector.pickCoreMachine(simulation.random.nextInt(10));
            machines.wipe(wiped, DOWN_MICROS);
            if (simulation.random.nextBoolean()) {
                simulation.machines(true).stream()
                        .filter(one -> one != wiped)
                        .forEach(one -> machines.restart(one, true, DOWN_MICROS));
            }
        }
        simulation.time.after(DOWN_MICROS, simulation.clients::recordRestored);
    }
}
