package anisebend.net;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Measures on the storm rig, outside of CI; what it prints are ratios from one run. Called with {@code goodput} it
 * offers from 0.5 to 4 times what the nodes can do and prints what part of the best is still served, then the load of
 * one half again; with {@code refusal} the CPU of the proxy's loop for a request that is turned away at the door
 * beside that for an answer.
 */
final class StormBench {
    /** Six nodes with four places each and 20 ms a request. */
    private static final int CAPACITY = 1_200;

    private static final double[] OFFERED = {0.5, 0.75, 1, 1.5, 2, 3, 4};
    private static final int SOCKETS = 384;
    private static final int SETTLE = 4;
    private static final int MEASURED = 8;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private StormBench() {}

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("storm-bench");
        try {
            switch (args.length == 1 ? args[0] : "") {
                case "goodput" -> goodput(folder);
                case "refusal" -> refusal(folder);
                default -> {
                    System.err.println("usage: StormBench goodput|refusal");
                    System.exit(2);
                }
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        }
        System.exit(0); // loops may still hold connections that are coming up
    }

    private static void goodput(Path folder) throws Exception {
        List<Double> served = new ArrayList<>();
        try (StormRig rig = new StormRig(folder, 2, SOCKETS)) {
            settle(rig, 2 * SETTLE);
            for (double offered : OFFERED) {
                served.add(served(rig, offered));
            }
            double best = served.stream().max(Comparator.naturalOrder()).get();
            for (int i = 0; i < OFFERED.length; i++) {
                System.out.printf(
                        Locale.ROOT,
                        "offered %.2f of capacity: served %.2f, %.2f of the best%n",
                        OFFERED[i],
                        served.get(i),
                        served.get(i) / best);
            }
            System.out.printf(Locale.ROOT, "back at %.2f: served %.2f%n", OFFERED[0], served(rig, OFFERED[0]));
            System.out.println("top-ups begun twice: " + rig.repeated().size());
        }
    }

    private static void settle(StormRig rig, int windows) throws Exception {
        rig.clients.ended(rig.clients.now() + windows);
    }

    /** What is served of a load, both as parts of the capacity. */
    private static double served(StormRig rig, double offered) throws Exception {
        rig.clients.rate = (int) (offered * CAPACITY);
        settle(rig, SETTLE);
        int from = rig.clients.now() + 1;
        int sum = 0;
        for (int i = from; i < from + MEASURED; i++) {
            sum += rig.clients.ended(i).served.get();
        }
        return sum * 1_000.0 / StormRig.WINDOW_MILLIS / MEASURED / CAPACITY;
    }

    private static long cpu(ProxyServer proxy) throws Exception {
        return proxy.loop().submit(THREADS::getCurrentThreadCpuTime).get();
    }

    private static void refusal(Path folder) throws Exception {
        try (StormRig rig = new StormRig(folder, 1, SOCKETS)) {
            ProxyServer proxy = rig.proxies.get(0);
            settle(rig, 4 * SETTLE); // compiled
            rig.clients.rate = 0;
            settle(rig, SETTLE);
            double idle = perSecond(rig, proxy)[0];
            rig.clients.rate = 400;
            settle(rig, SETTLE);
            double[] answering = perSecond(rig, proxy);
            double answer = (answering[0] - idle) / answering[1];
            rig.clients.tries = 1;
            rig.hindered = true;
            proxy.loop().execute(() -> rig.hinder(proxy));
            settle(rig, 4 * SETTLE);
            double[] refusing = perSecond(rig, proxy);
            rig.hindered = false;
            double refusal = (refusing[0] - idle - refusing[1] * answer) / refusing[2];
            System.out.printf(
                    Locale.ROOT,
                    "an answer costs %.0f us of the loop, a refusal %.0f us: %.2f of it"
                            + " (%.0f answers a second in the first, %.0f answers and %.0f refusals in the second)%n",
                    answer / 1_000,
                    refusal / 1_000,
                    refusal / answer,
                    answering[1],
                    refusing[1],
                    refusing[2]);
        }
    }

    /** CPU of the loop in nanoseconds, answers and refusals, each a second. */
    private static double[] perSecond(StormRig rig, ProxyServer proxy) throws Exception {
        long cpu = cpu(proxy);
        long begun = System.nanoTime();
        int answers = rig.clients.answers.get();
        int refusals = rig.clients.refusals.get();
        settle(rig, MEASURED);
        double seconds = (System.nanoTime() - begun) / 1e9;
        return new double[] {
            (cpu(proxy) - cpu) / seconds,
            (rig.clients.answers.get() - answers) / seconds,
            (rig.clients.refusals.get() - refusals) / seconds
        };
    }
}
