package gorsemast.settings;

import gorsemast.fleet.FleetSettings;
import gorsemast.transport.Address;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What {@code deploy/gorsemast.json5} says: one object for each concern; one that is absent is a part that is off and
 * not loaded.
 *
 * @param peers null where this process takes no part in a fleet's view
 */
public record GorsemastSettings(Log log, Peers peers) {
    private static final long MICROS = 1_000;
    private static final long DAY_SECONDS = 86_400;

    /**
     * @param json whether lines are JSON objects
     * @param level the least that is written: {@code debug}, {@code info}, {@code warn} or {@code error}
     */
    public record Log(boolean json, String level) {}

    /**
     * @param listen where this process takes datagrams; port 0 for any
     * @param advertise where the others reach it; null for {@code listen} itself
     * @param seeds where others may be, as {@code host:port}
     * @param learn whether a restarted process takes its list of nodes from the others until the register answers
     * @param share whether what is a hundredth of the whole goes by those that live
     */
    public record Peers(
            InetSocketAddress listen,
            String advertise,
            List<String> seeds,
            String cluster,
            String secret,
            FleetSettings fleet,
            boolean share,
            boolean learn) {}

    /** A settings file that can't be worked with, with all that is wrong with it. */
    public static final class FaultyException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<Fault> faults;

        FaultyException(String file, List<Fault> faults) {
            super(String.join(
                    "\n", faults.stream().map(fault -> file + ":" + fault).toList()));
            this.faults = List.copyOf(faults);
        }

        /** In the order of their places. */
        public List<Fault> faults() {
            return faults;
        }
    }

    /** Reads a file. */
    public static GorsemastSettings load(Path file) throws FaultyException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (MalformedInputException e) {
            throw new FaultyException(file.toString(), List.of(new Fault(0, 0, "", "is not UTF-8", "")));
        } catch (IOException e) {
            throw new FaultyException(
                    file.toString(),
                    List.of(new Fault(0, 0, "", "can't be read: " + e.getClass().getSimpleName(), "")));
        }
    }

    /** Reads a text; {@code file} is its name in errors. */
    public static GorsemastSettings parse(String file, String text) throws FaultyException {
        List<Fault> faults = new ArrayList<>();
        Json5.Value value = Json5.parse(text, faults);
        GorsemastSettings settings = null;
        if (value != null) {
            Section top = new Section(value, "", faults);
            settings = new GorsemastSettings(log(top.section("log")), peers(top.section("peers")));
            top.end();
        }
        if (!faults.isEmpty()) {
            faults.sort(java.util.Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
            throw new FaultyException(file, faults);
        }
        return settings;
    }

    private static Log log(Section s) {
        if (s == null) {
            return new Log(false, "info");
        }
        boolean json = s.text("form", "text", oneOf("text", "json"), "text").equals("json");
        String level = s.text("level", "info", oneOf("debug", "info", "warn", "error"), "info");
        s.end();
        return new Log(json, level);
    }

    private static java.util.function.Function<String, String> oneOf(String... words) {
        return text -> {
            if (!List.of(words).contains(text)) {
                throw new IllegalArgumentException("one of " + String.join(", ", words));
            }
            return text;
        };
    }

    private static Peers peers(Section s) {
        if (s == null) {
            return null;
        }
        InetSocketAddress listen = s.text("listen", null, GorsemastSettings::address, null);
        String advertise = s.text(
                "advertise", "", text -> text.isEmpty() ? null : NetUtil.toSocketAddressString(address(text)), null);
        if (advertise == null && listen != null && listen.getAddress().isAnyLocalAddress()) {
            s.fault("advertise", "is missing", "an address where others reach this process, as it listens at any");
        }
        List<String> seeds = s.texts("seeds", text -> NetUtil.toSocketAddressString(address(text)));
        String cluster = s.text("cluster", "gorsemast");
        String secret = s.text("secret", "");
        long period = s.integer("period_ms", 1_000, 10, 60_000);
        FleetSettings usual = FleetSettings.of(period * MICROS);
        long timeout = s.integer("timeout_ms", Math.max(1, period / 2), 1, 60_000);
        if (timeout >= period) {
            s.fault("timeout_ms", "is " + timeout, "less than period_ms, which is " + period);
            timeout = Math.max(1, period / 2);
        }
        FleetSettings fleet = new FleetSettings(
                usual.period(),
                timeout * MICROS,
                (int) s.integer("indirect", usual.indirect(), 0, 16),
                s.number("suspicion_least", usual.suspicionLeast(), 1, 100),
                s.number("suspicion_most", usual.suspicionMost(), 1, 100),
                true,
                (int) s.integer("fanout", usual.fanout(), 1, 16),
                (int) s.integer("sync_periods", usual.syncPeriods(), 1, 10_000),
                s.integer("settle_ms", usual.settle() / MICROS, 0, 3_600_000) * MICROS,
                (int) s.integer("remembered", usual.remembered(), 0, 100_000),
                s.integer("forget_s", usual.forget() / MICROS / MICROS, 1, 30 * DAY_SECONDS) * MICROS * MICROS);
        boolean share = s.flag("share", true);
        boolean learn = s.flag("learn", true);
        s.end();
        return new Peers(listen, advertise, seeds, cluster, secret, fleet, share, learn);
    }

    private static InetSocketAddress address(String text) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new IllegalArgumentException("an address and port in numbers, like 127.0.0.1:7946");
        }
        return address;
    }
}
