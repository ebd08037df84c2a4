package gorsemast.node;

import gorsemast.node.SettingsException.Code;
import gorsemast.transport.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * The settings of one process: its identity, the addresses it listens on, its seed nodes, and the timing bounds of the
 * rules. Unknown fields are ignored, as the platform adds some; known fields are validated.
 *
 * @param name the machine's name
 * @param ip the machine's numeric address
 * @param zone the machine's zone
 * @param zones all zones, in the file's order, with their regions
 * @param listenAddresses the public listeners by name ({@code front}, {@code ready}, {@code control})
 * @param firstPort the first of the internal ports
 * @param lastPort the last of the internal ports
 * @param seedNodes addresses of core machines in the operator's list
 * @param firstBoot whether the whole system starts for the first time, with empty disks
 * @param dataDir the directory for files; null if the process has no disk
 * @param heartbeatMicros the interval of servers' heartbeats
 * @param tolerance the losses that are tolerated at the same time
 * @param lossCounted whether the loss of this machine counts among those
 * @param activeContracts the parts of the rules that apply
 * @param configMode which of two configurations wins; {@code highest}: the one with the higher version
 * @param fileDescriptors the number of file descriptors available
 * @param linkMegabits the bandwidth of its network link in megabits per second; 0 if unknown
 * @param timingBounds bounds of the rules: times in microseconds, numbers unchanged
 */
public record Settings(
        String name,
        String ip,
        String zone,
        Map<String, String> zones,
        Map<String, InetSocketAddress> listenAddresses,
        int firstPort,
        int lastPort,
        List<InetSocketAddress> seedNodes,
        boolean firstBoot,
        Path dataDir,
        long heartbeatMicros,
        FaultTolerance tolerance,
        boolean lossCounted,
        Set<String> activeContracts,
        String configMode,
        int fileDescriptors,
        double linkMegabits,
        Map<String, Double> timingBounds) {
    /** The environment variable with the path of the file. */
    public static final String ENVIRONMENT_VARIABLE = "GORSEMAST_CONFIG";

    /** The only {@code configMode} that is implemented; the store warns of others. */
    public static final String HIGHEST = "highest";

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double BYTES_PER_MEGABIT = 125_000;
    /** Five tolerated losses already need eleven members; more are not sensible. */
    private static final int MAX_LOSSES = 5;

    /** Returns the bandwidth of the network link in bytes per second; infinite if unknown. */
    public double linkBytesPerSecond() {
        return linkMegabits <= 0 ? Double.POSITIVE_INFINITY : linkMegabits * BYTES_PER_MEGABIT;
    }

    /** Returns the addresses of the seed nodes without ports, as a new set. */
    public Set<String> seedIps() {
        Set<String> ips = new LinkedHashSet<>();
        seedNodes.forEach(seed -> ips.add(seed.getAddress().getHostAddress()));
        return ips;
    }

    /** Reads the file; throws {@link SettingsException} with the key that is invalid. */
    public static Settings read(Path file) {
        try {
            return parse(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(Code.UNREADABLE, file.toString(), "cannot be read: " + e.getMessage());
        }
    }

    /** Parses settings from their text. */
    public static Settings parse(String text) {
        Object document = PlainYaml.read(text);
        try {
            document = document != null
                    ? document
                    : new Load(LoadSettings.builder().build()).loadFromString(text);
        } catch (MarkedYamlEngineException e) {
            String place = e.getProblemMark()
                    .map(mark -> "line " + (mark.getLine() + 1) + ", column " + (mark.getColumn() + 1))
                    .orElse("?");
            throw new SettingsException(Code.UNREADABLE, place, e.getProblem());
        } catch (YamlEngineException e) {
            throw new SettingsException(Code.UNREADABLE, "file", e.getMessage());
        }
        if (!(document instanceof Map<?, ?> map)) {
            throw new SettingsException(Code.WRONG_TYPE, "file", "is not a mapping");
        }
        Section root = new Section("", map);
        List<Object> ports = root.list("internalPorts");
        if (ports.size() != 2
                || !(ports.get(0) instanceof Integer first)
                || !(ports.get(1) instanceof Integer last)
                || first < 1
                || last > 65_535
                || first > last) {
            throw new SettingsException(
                    Code.OUT_OF_RANGE, "internalPorts", "must be two ports, the first not above the second");
        }
        Map<String, String> zones = new LinkedHashMap<>();
        root.section("zones").map.forEach((zone, region) -> zones.put(String.valueOf(zone), String.valueOf(region)));
        Map<String, InetSocketAddress> listenAddresses = new TreeMap<>();
        Section listenSection = root.section("listenAddrs");
        listenSection.map.forEach((name, address) ->
                listenAddresses.put(String.valueOf(name), listenSection.address(String.valueOf(name), address)));
        List<InetSocketAddress> seedNodes = new ArrayList<>();
        for (Object seed : root.list("seedNodes")) {
            seedNodes.add(root.address("seedNodes", seed));
        }
        Section limits = root.section("limits");
        Map<String, Double> timingBounds = new TreeMap<>();
        Section boundsSection = root.section("timingBounds");
        boundsSection
                .map
                .keySet()
                .forEach(key -> timingBounds.put(String.valueOf(key), boundsSection.number(String.valueOf(key))));
        Object dataDir = map.get("dataDir");
        return new Settings(
                root.text("nodeName"),
                root.text("ip"),
                root.text("zone"),
                zones,
                listenAddresses,
                first,
                last,
                seedNodes,
                Boolean.TRUE.equals(map.get("initialBoot")),
                dataDir == null ? null : Path.of(String.valueOf(dataDir)),
                micros("heartbeat", root.text("heartbeat")),
                parseTolerance(root.section("faultTolerance")),
                root.flag("lossCounted", true),
                root.words("activeContracts"),
                root.map.get("configMode") == null ? HIGHEST : root.text("configMode"),
                (int) limits.number("fileDescriptors", 4096),
                limits.number("linkMbps", 0),
                timingBounds);
    }

    private static FaultTolerance parseTolerance(Section section) {
        return new FaultTolerance(
                section.count("machineLosses", 1), section.count("zones", 0), section.count("regionLosses", 0));
    }

    /** Returns how many disks may be lost at the same time. */
    public int losses() {
        return tolerance.losses();
    }

    /** Returns the region of the machine's zone; empty if the file names none. */
    public String region() {
        return zones.getOrDefault(zone, "");
    }

    /** Returns a time bound in microseconds, or the default if the file has none. */
    public long time(String bound, long defaultValue) {
        Double value = timingBounds.get(bound);
        return value == null ? defaultValue : value.longValue();
    }

    /** Returns a numeric bound, or the default if the file has none. */
    public double number(String bound, double defaultValue) {
        return timingBounds.getOrDefault(bound, defaultValue);
    }

    /** Returns the index of a zone among all zones; 0 for an unknown one. */
    public int zoneIndex(String zoneName) {
        return Math.max(0, new ArrayList<>(zones.keySet()).indexOf(zoneName));
    }

    /** Parses a time such as {@code 1500ms} or {@code 2.5s} into microseconds. */
    public static long micros(String key, String text) {
        int unit = 0;
        while (unit < text.length() && (Character.isDigit(text.charAt(unit)) || text.charAt(unit) == '.')) {
            unit++;
        }
        double scale =
                switch (text.substring(unit)) {
                    case "ms" -> MICROS_PER_SECOND / 1_000;
                    case "s" -> MICROS_PER_SECOND;
                    default -> 0;
                };
        try {
            double number = Double.parseDouble(text.substring(0, unit));
            if (scale > 0 && number * scale < Long.MAX_VALUE / 4.0) {
                return Math.round(number * scale);
            }
        } catch (NumberFormatException e) {
            // reported below like any other invalid time
        }
        throw new SettingsException(Code.WRONG_TYPE, key, "wants a time such as 1500ms or 2.5s, not \"" + text + '"');
    }

    /** A mapping in the file, with the path of keys to it. */
    private record Section(String path, Map<?, ?> map) {
        private String fullKey(String key) {
            return path.isEmpty() ? key : path + '.' + key;
        }

        String text(String key) {
            Object value = map.get(key);
            if (value == null) {
                throw new SettingsException(Code.MISSING, fullKey(key), "is missing");
            }
            return String.valueOf(value);
        }

        List<Object> list(String key) {
            if (map.get(key) instanceof List<?> list) {
                return new ArrayList<>(list);
            }
            throw new SettingsException(
                    map.containsKey(key) ? Code.WRONG_TYPE : Code.MISSING, fullKey(key), "must be a list");
        }

        Section section(String key) {
            Object value = map.get(key);
            if (value == null) {
                return new Section(fullKey(key), Map.of());
            }
            if (value instanceof Map<?, ?> inner) {
                return new Section(fullKey(key), inner);
            }
            throw new SettingsException(Code.WRONG_TYPE, fullKey(key), "must be a mapping");
        }

        InetSocketAddress address(String key, Object value) {
            InetSocketAddress address = Address.parse(String.valueOf(value));
            if (address == null) {
                throw new SettingsException(Code.WRONG_TYPE, fullKey(key), "must be ip:port, not \"" + value + '"');
            }
            return address;
        }

        /** Returns a number of tolerated losses of machines, zones or regions. */
        int count(String key, int defaultValue) {
            Object value = map.get(key);
            if (value == null) {
                return defaultValue;
            }
            if (!(value instanceof Integer count)) {
                throw new SettingsException(
                        Code.WRONG_TYPE, fullKey(key), "must be a whole number, not \"" + value + '"');
            }
            if (count < 0 || count > MAX_LOSSES) {
                throw new SettingsException(
                        Code.OUT_OF_RANGE, fullKey(key), "must be 0 to " + MAX_LOSSES + ", not " + count);
            }
            return count;
        }

        boolean flag(String key, boolean defaultValue) {
            Object value = map.get(key);
            if (value == null) {
                return defaultValue;
            }
            if (value instanceof Boolean flag) {
                return flag;
            }
            throw new SettingsException(Code.WRONG_TYPE, fullKey(key), "must be true or false, not \"" + value + '"');
        }

        /** Returns a list of strings, empty if the key is missing. */
        Set<String> words(String key) {
            Set<String> words = new LinkedHashSet<>();
            if (map.get(key) != null) {
                list(key).forEach(word -> words.add(String.valueOf(word)));
            }
            return words;
        }

        double number(String key, double defaultValue) {
            return map.get(key) == null ? defaultValue : number(key);
        }

        double number(String key) {
            Object value = map.get(key);
            if (value instanceof Number number) {
                return number.doubleValue();
            }
            if (value instanceof Boolean flag) {
                return flag ? 1 : 0;
            }
            return micros(fullKey(key), String.valueOf(value));
        }
    }
}
