package gorsemast.command;

import gorsemast.http.NettyLog;
import gorsemast.standin.LoopbackNetwork;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The whole network for a first look. */
@Command(
        name = "network",
        description = "Runs a whole network on loopback: three core machines, some edges, stand-in servers. "
                + "Prints a line for curl; ends with Ctrl-C.")
final class NetworkCommand implements Callable<Integer> {
    private static final int MAX_EDGES = 20;

    @Option(names = "--edges", defaultValue = "2", paramLabel = "N", description = "So many edges, 1 to 20.")
    private int edges;

    @Option(
            names = "--net",
            defaultValue = "127.0.9",
            paramLabel = "A.B.C",
            description = "Where its machines' addresses are.")
    private String net;

    @Option(names = "--port", defaultValue = "18400", paramLabel = "N", description = "The first of nine ports.")
    private int port;

    @Option(names = "--seconds", defaultValue = "0", paramLabel = "N", description = "Ends after so long; 0 for never.")
    private long seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (edges < 1 || edges > MAX_EDGES) {
            System.err.println("gorsemast: --edges wants 1 to " + MAX_EDGES);
            return Gorsemast.USAGE;
        }
        NettyLog.install();
        Logs.installQuiet();
        Path data = Files.createTempDirectory("gorsemast");
        LoopbackNetwork network = new LoopbackNetwork(net, port, data);
        network.start(edges);
        InetSocketAddress front = network.fronts().get(0);
        InetSocketAddress control = network.controls().get(0);
        System.out.println("ready, disks in " + data);
        System.out.println("an object:        curl -i -H 'Host: " + LoopbackNetwork.HOST
                + "' -H 'Attempt-Id: a1' http://" + at(front) + "/objects/first");
        System.out.println("the configuration: curl http://" + at(control) + "/v1/configuration/read");
        System.out.println("a purge:          curl -d '{\"tag\":\"all\"}' http://" + at(control) + "/v1/purge");
        network.call(front, "GET", "/objects/first", Map.of("Host", LoopbackNetwork.HOST), null);
        CountDownLatch never = new CountDownLatch(1);
        if (seconds > 0) {
            never.await(seconds, TimeUnit.SECONDS);
            return Gorsemast.DONE;
        }
        never.await();
        return Gorsemast.DONE;
    }

    private static String at(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
