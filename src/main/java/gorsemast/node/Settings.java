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
 * What one process is told at its start: who it is, where it listens, whom it may ask first, and the figures of the
 * rules. Fields that are not known are let be, as the platform adds some; those that are known are checked.
 *
 * @param name the machine's name
 * @param ip the machine's address, in numbers
 * @param zone where it stands
 * @param zones all zones, in the file's order, with their regions
 * @param listenAddresses where what it serves is asked for, by word ({@code front}, {@code ready}, {@code control})
 * @param firstPort the first of the ports between processes
 * @param lastPort the last of them
 * @param seedNodes addresses of core machines as the operator's list had them
 * @param firstBoot whether the whole system starts for the first time, with empty disks
 * @param dataDir where it may keep files; null where it has no disk
 * @param heartbeatMicros how often servers tell of themselves
 * @param tolerance what may be lost at the same time with every rule kept
 * @param lossCounted whether this machine's loss is one of those
 * @param activeContracts the parts of the rules in force
 * @param configMode which of two configurations holds; {@code highest}: the one of the higher version
 * @param fileDescriptors how many it may have open
 * @param linkMegabits a second that its link carries; 0 where nothing is said
 * @param timingBounds figures of the rules: times in microseconds, numbers as they are
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
    /** Where the path of the file stands. */
    public static final String ENVIRONMENT_VARIABLE = "GORSEMAST_CONFIG";

    /** The {@code configMode} that the system keeps; the store warns of another. */
    public static final String HIGHEST = "highest";

    private static final double MICROS = 1e6;
    private static final double BYTES_PER_MEGABIT = 125_000;
    /** More members than that could not be asked for sensibly: five machines lost at once want eleven. */
    private static final int MOST_LOSSES = 5;

    /** Bytes a second that its link carries; infinite where nothing is said. */
    public double linkBytesPerSecond() {
        return linkMegabits <= 0 ? Double.POSITIVE_INFINITY : linkMegabits * BYTES_PER_MEGABIT;
    }

    /** The seeds' machines, without ports; a new set. */
    public Set<String> seedIps() {
        Set<String> ips = new LinkedHashSet<>();
        seedNodes.forEach(seed -> ips.add(seed.getAddress().getHostAddress()));
        return ips;
    }

    /** Reads the file; throws {@link SettingsException} naming what can't be worked with. */
    public static Settings read(Path file) {
        try {
            return parse(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(Code.UNREADABLE, file.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Reads settings from their text. */
    public static Settings parse(String text) {
        Object whole = PlainYaml.read(text);
        try {
            whole = whole != null ? whole : new Load(LoadSettings.builder().build()).loadFromString(text);
        } catch (MarkedYamlEngineException e) {
            String at = e.getProblemMark()
                    .map(mark -> "line " + (mark.getLine() + 1) + ", column " + (mark.getColumn() + 1))
                    .orElse("?");
            throw new SettingsException(Code.UNREADABLE, at, e.getProblem());
        } catch (YamlEngineException e) {
            throw new SettingsException(Code.UNREADABLE, "file", e.getMessage());
        }
        if (!(whole instanceof Map<?, ?> map)) {
            throw new SettingsException(Code.WRONG_TYPE, "file", "is no mapping");
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
                    Code.OUT_OF_RANGE, "internalPorts", "wants two ports, the first not above the second");
        }
        Map<String, String> zones = new LinkedHashMap<>();
        root.section("zones").map.forEach((zone, region) -> zones.put(String.valueOf(zone), String.valueOf(region)));
        Map<String, InetSocketAddress> listens = new TreeMap<>();
        Section listen = root.section("listenAddrs");
        listen.map.forEach(
                (word, address) -> listens.put(String.valueOf(word), listen.address(String.valueOf(word), address)));
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (Object seed : root.list("seedNodes")) {
            seeds.add(root.address("seedNodes", seed));
        }
        Section limits = root.section("limits");
        Map<String, Double> bounds = new TreeMap<>();
        Section given = root.section("timingBounds");
        given.map.keySet().forEach(key -> bounds.put(String.valueOf(key), given.figure(String.valueOf(key))));
        Object dir = map.get("dataDir");
        return new Settings(
                root.text("nodeName"),
                root.text("ip"),
                root.text("zone"),
                zones,
                listens,
                first,
                last,
                seeds,
                Boolean.TRUE.equals(map.get("initialBoot")),
                dir == null ? null : Path.of(String.valueOf(dir)),
                micros("heartbeat", root.text("heartbeat")),
                tolerance(root.section("faultTolerance")),
                root.flag("lossCounted", true),
                root.words("activeContracts"),
                root.map.get("configMode") == null ? HIGHEST : root.text("configMode"),
                (int) limits.figure("fileDescriptors", 4096),
                limits.figure("linkMbps", 0),
                bounds);
    }

    private static FaultTolerance tolerance(Section section) {
        return new FaultTolerance(
                section.count("machineLosses", 1), section.count("zones", 0), section.count("regionLosses", 0));
    }

    /** How many copies may be lost at the same time. */
    public int losses() {
        return tolerance.losses();
    }

    /** The region of the own zone; empty where the file names none. */
    public String region() {
        return zones.getOrDefault(zone, "");
    }

    /** A time of the rules in microseconds, or what holds where the file has none. */
    public long time(String bound, long otherwise) {
        Double given = timingBounds.get(bound);
        return given == null ? otherwise : given.longValue();
    }

    /** A number of the rules, or what holds where the file has none. */
    public double number(String bound, double otherwise) {
        return timingBounds.getOrDefault(bound, otherwise);
    }

    /** The number of the own zone among all. */
    public int zoneIndex(String of) {
        return Math.max(0, new ArrayList<>(zones.keySet()).indexOf(of));
    }

    /** A time such as {@code 1500ms} or {@code 2.5s} in microseconds. */
    public static long micros(String key, String text) {
        int unit = 0;
        while (unit < text.length() && (Character.isDigit(text.charAt(unit)) || text.charAt(unit) == '.')) {
            unit++;
        }
        double scale =
                switch (text.substring(unit)) {
                    case "ms" -> MICROS / 1_000;
                    case "s" -> MICROS;
                    default -> 0;
                };
        try {
            double number = Double.parseDouble(text.substring(0, unit));
            if (scale > 0 && number * scale < Long.MAX_VALUE / 4.0) {
                return Math.round(number * scale);
            }
        } catch (NumberFormatException e) {
            // told below, as any other text that is no time
        }
        throw new SettingsException(Code.WRONG_TYPE, key, "wants a time such as 1500ms or 2.5s, not \"" + text + '"');
    }

    /** One mapping of the file and the path to it. */
    private record Section(String path, Map<?, ?> map) {
        private String at(String key) {
            return path.isEmpty() ? key : path + '.' + key;
        }

        String text(String key) {
            Object value = map.get(key);
            if (value == null) {
                throw new SettingsException(Code.MISSING, at(key), "is missing");
            }
            return String.valueOf(value);
        }

        List<Object> list(String key) {
            if (map.get(key) instanceof List<?> list) {
                return new ArrayList<>(list);
            }
            throw new SettingsException(map.containsKey(key) ? Code.WRONG_TYPE : Code.MISSING, at(key), "wants a list");
        }

        Section section(String key) {
            Object value = map.get(key);
            if (value == null) {
                return new Section(at(key), Map.of());
            }
            if (value instanceof Map<?, ?> inner) {
                return new Section(at(key), inner);
            }
            throw new SettingsException(Code.WRONG_TYPE, at(key), "wants a mapping");
        }

        InetSocketAddress address(String key, Object value) {
            InetSocketAddress address = Address.parse(String.valueOf(value));
            if (address == null) {
                throw new SettingsException(Code.WRONG_TYPE, at(key), "wants ip:port, not \"" + value + '"');
            }
            return address;
        }

        /** A whole number of machines, zones or regions that may be lost. */
        int count(String key, int otherwise) {
            Object value = map.get(key);
            if (value == null) {
                return otherwise;
            }
            if (!(value instanceof Integer count)) {
                throw new SettingsException(Code.WRONG_TYPE, at(key), "wants a whole number, not \"" + value + '"');
            }
            if (count < 0 || count > MOST_LOSSES) {
                throw new SettingsException(Code.OUT_OF_RANGE, at(key), "wants 0 to " + MOST_LOSSES + ", not " + count);
            }
            return count;
        }

        boolean flag(String key, boolean otherwise) {
            Object value = map.get(key);
            if (value == null) {
                return otherwise;
            }
            if (value instanceof Boolean flag) {
                return flag;
            }
            throw new SettingsException(Code.WRONG_TYPE, at(key), "wants true or false, not \"" + value + '"');
        }

        /** A list of words; empty where there is none. */
        Set<String> words(String key) {
            Set<String> words = new LinkedHashSet<>();
            if (map.get(key) != null) {
                list(key).forEach(word -> words.add(String.valueOf(word)));
            }
            return words;
        }

        double figure(String key, double otherwise) {
            return map.get(key) == null ? otherwise : figure(key);
        }

        double figure(String key) {
            Object value = map.get(key);
            if (value instanceof Number number) {
                return number.doubleValue();
            }
            if (value instanceof Boolean yes) {
                return yes ? 1 : 0;
            }
            return micros(at(key), String.valueOf(value));
        }
    }
}
