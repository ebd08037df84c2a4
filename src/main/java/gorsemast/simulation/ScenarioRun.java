package gorsemast.simulation;

import gorsemast.simulation.Fault.Closing;

/** One execution of a scenario: start-up, requests, changes and faults, the closing fault, and the final reads. */
final class ScenarioRun {
    private static final long LEAD_MICROS = 9_000_000;
    private static final long RECOVERY_MICROS = 15_000_000;

    private final Simulation simulation;
    private final Scenario scenario;
    private final FaultInjector faultInjector;

    ScenarioRun(Simulation simulation, Scenario scenario) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.faultInjector = new FaultInjector(simulation);
    }

    Outcome run() {
        String[] zones = {"a", "b", "c"};
        for (int i = 0; i < scenario.cores(); i++) {
            simulation.add(zones[i % zones.length], true);
        }
        simulation.updateSeedsNow();
        for (int i = 0; i < scenario.edges(); i++) {
            simulation.add(zones[i % zones.length], false);
        }
        simulation.machines(true).forEach(one -> simulation.start(one, true));
        simulation.machines(false).forEach(one -> simulation.start(one, true));
        for (int i = 0; i < 3; i++) {
            simulation.server(Simulation.OBJECTS, 16);
            simulation.server("orders", 6);
            simulation.server("other", 6);
        }
        for (int i = 0; i < simulation.extraServers; i++) {
            simulation.server("orders", 6);
        }
        long begun = simulation.time.now();
        simulation.operator.configure(() -> {});
        simulation.time.run(begun + LEAD_MICROS);
        if (simulation.configurationChecker.newest() == 0) {
            throw new Violation("ACK", "the first configuration is not acknowledged before traffic starts");
        }
        simulation.clients.probeEdges();
        simulation.durabilityChecker.checkPeriodically();
        long start = simulation.time.now();
        simulation.countFromNow();
        simulation.clients.sendRequests(
                start + scenario.length() + (scenario.closing() == Closing.NONE ? 0 : 2 * RECOVERY_MICROS));
        for (Fault fault : scenario.faults()) {
            simulation.time.after(fault.at(), () -> faultInjector.inject(fault));
        }
        simulation.time.run(start + scenario.length());
        if (scenario.closing() != Closing.NONE) {
            new ClosingFault(simulation, faultInjector).inject(scenario.closing());
            simulation.time.run(simulation.time.now() + 2 * RECOVERY_MICROS);
        } else {
            simulation.time.run(simulation.time.now() + 2 * Simulation.CONNECTED_AFTER_MICROS + Operator.CALL_MICROS);
        }
        simulation.operator.readBack();
        simulation.clients.checkAtEnd();
        return simulation.outcome(start);
    }
}
