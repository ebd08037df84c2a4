package gorsemast.command;

import gorsemast.lab.FleetStudy;
import gorsemast.peers.FleetCodec;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Experiments in virtual time. */
@Command(name = "lab", description = "Experiments with the real decision modules in virtual time; prints a table.")
final class LabCommand implements Runnable {
    @Option(names = "--members", split = ",", defaultValue = "3,10,30,100,300,1000", paramLabel = "N,N,…",
        description = "Sizes of the fleet, 3 to 1000.")
    private List<Integer> members;

    @Override
    public void run() {
        FleetCodec codec = new FleetCodec("lab", "");
        System.out.print(new FleetStudy(message -> codec.encode(message).length).table(members));
    }
}
