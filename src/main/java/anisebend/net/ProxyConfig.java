package anisebend.net;

import anisebend.Balancer;
import anisebend.WireEvent;
import anisebend.WireSettings;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import gorsemast.retune.ClassNumbering;
import gorsemast.retune.ConfigurationShape;
import gorsemast.transport.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of one proxy. Parsing is strict: a proxy that guessed a value would silently break rules, so any
 * missing or malformed field throws an {@link IOException} with a one-line message. Unknown fields are ignored, as
 * the platform may add some.
 *
 * @param admin the operators' address, null if there is none
 * @param known the node list that the proxy starts from
 * @param classes the numbers of the classes; the settings hold the rules of each number
 * @param text the parsed file
 */
record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Map<String, Object> known,
        Balancer.Settings settings,
        ClassNumbering classes,
        Names names,
        long connIdleMillis,
        long connectTimeoutMillis,
        Map<String, Object> text) {

    /** The names that the wire uses for the decision module's numbers. */
    record Names(List<String> tenants, List<String> zones, List<String> kinds) {}

    /** Reads the file at {@code PROXY_CONFIG}; environment variables override its fields. */
    static ProxyConfig load(Map<String, String> env) throws IOException {
        return load(env, env);
    }

    /** Rereads the file. It is newer than the environment variables, so these no longer override it. */
    static ProxyConfig reload(Map<String, String> env) throws IOException {
        return load(env, Map.of());
    }

    /**
     * Returns this configuration as the successor of the one in service: classes in both keep their numbers. Throws if it
     * lacks a key that the current one has, or changes what can't change without a restart.
     */
    ProxyConfig after(ProxyConfig current) throws IOException {
        ConfigurationShape.check(current.text, text, Set.of("known"));
        if (!names.zones().equals(current.names.zones())
                || !names.kinds().equals(current.names.kinds())
                || settings.originKind() != current.settings.originKind()) {
            throw new IOException("failure_domains, shapes and the origin can't change without a restart");
        }
        Balancer.Settings updated = settings;
        ClassNumbering numbering;
        try {
            numbering = current.classes.with(List.copyOf(classes.names()), updated.classes());
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return new ProxyConfig(
                name,
                listen,
                admin,
                discovery,
                seed,
                sockets,
                known,
                new Balancer.Settings(
                        updated.balancers(),
                        updated.zone(),
                        updated.originKind(),
                        numbering.rules(),
                        updated.tenants(),
                        updated.overShareFactor(),
                        updated.maxAttempts(),
                        updated.mayCancel(),
                        updated.mayProbe(),
                        updated.retryAfter(),
                        updated.maxRetryAfter(),
                        updated.listMustBeAsked(),
                        updated.listAskWithin(),
                        updated.coldShare(),
                        updated.coldTime(),
                        updated.freeResends(),
                        updated.resendShare(),
                        updated.resendSpan()),
                numbering,
                names,
                connIdleMillis,
                connectTimeoutMillis,
                text);
    }

    private static ProxyConfig load(Map<String, String> env, Map<String, String> variables) throws IOException {
        String file = env.get("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IOException("PROXY_CONFIG is not set");
        }
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            return fromFields(variables, parse(in.readAllBytes()));
        } catch (NoSuchFileException | InvalidPathException e) {
            throw new IOException("configuration file not found: " + file, e);
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException("configuration " + file + ": " + e.getMessage(), e);
        }
    }

    private static ProxyConfig fromFields(Map<String, String> env, Map<String, Object> root) throws IOException {
        Map<String, Object> settings = map(root, "settings");
        Map<String, Object> allowed = map(settings, "allowed");
        Map<String, Object> limits = map(root, "limits");
        Balancer.Settings read = WireSettings.settings(settings);
        positiveNumber(allowed, "send_cap");
        for (Object lane : list(settings, "lanes")) {
            if (number(asMap(lane, "lanes"), "hard_limit_ms") <= 0 || number(asMap(lane, "lanes"), "aim_ms") <= 0) {
                throw new IOException("hard_limit_ms and aim_ms must be positive");
            }
        }
        Names names =
                new Names(names(settings, "realms"), names(settings, "failure_domains"), names(settings, "shapes"));
        return new ProxyConfig(
                variableOrField(env, "PROXY_NAME", root, "name"),
                address(variableOrField(env, "PROXY_LISTEN", root, "listen")),
                admin(env, root),
                address(variableOrField(env, "PROXY_DISCOVERY", root, "discovery")),
                seed(string(root, "seed")),
                (int) positiveNumber(limits, "sockets"),
                map(root, "known"),
                read,
                ClassNumbering.of(names(settings, "lanes"), read.classes()),
                names,
                positiveNumber(allowed, "conn_idle_ms"),
                positiveNumber(allowed, "connect_timeout_ms"),
                root);
    }

    /**
     * Whether the whole service is starting: no cache node has started since the known node list was created. Then this
     * is no restart of a proxy in service, and no clients wait for it. A proxy that restarts before any node has changed
     * is misjudged as such a start, and is back a second later.
     */
    boolean begins() {
        return known.get("hosts") instanceof List<?> hosts
                && hosts.stream()
                        .allMatch(host -> host instanceof Map<?, ?> entry
                                && entry.get("born_ms") instanceof Number born
                                && born.longValue() == 0);
    }

    /** Parses text that consists of exactly one JSON object. */
    static Map<String, Object> parse(byte[] text) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(new String(text, StandardCharsets.UTF_8))) {
            if (in.nextToken() == null) {
                throw new IOException("expected a JSON object, found nothing");
            }
            Map<String, Object> object = WireEvent.object(in);
            if (in.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new IOException(
                    "malformed JSON: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }

    /** Parses a numeric address and port: there is no DNS, and a lookup would block. */
    static InetSocketAddress address(String text) throws IOException {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new IOException("not a numeric address and port: " + text);
        }
        return address;
    }

    private static InetSocketAddress admin(Map<String, String> env, Map<String, Object> root) throws IOException {
        boolean configured =
                env.get("PROXY_ADMIN") != null && !env.get("PROXY_ADMIN").isEmpty();
        return configured || root.get("admin") != null
                ? address(variableOrField(env, "PROXY_ADMIN", root, "admin"))
                : null;
    }

    private static long seed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("seed must be up to 16 hex digits", e);
        }
    }

    private static String variableOrField(
            Map<String, String> env, String variable, Map<String, Object> root, String field) throws IOException {
        String value = env.get(variable);
        return value == null || value.isEmpty() ? string(root, field) : value;
    }

    static String string(Map<String, Object> from, String field) throws IOException {
        if (from.get(field) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IOException(field + " must be a string");
    }

    static double number(Map<String, Object> from, String field) throws IOException {
        if (from.get(field) instanceof Double number) {
            return number;
        }
        throw new IOException(field + " must be a number");
    }

    private static long positiveNumber(Map<String, Object> from, String field) throws IOException {
        double value = number(from, field);
        if (value < 1) {
            throw new IOException(field + " must be positive");
        }
        return (long) value;
    }

    static List<?> list(Map<String, Object> from, String field) throws IOException {
        if (from.get(field) instanceof List<?> list) {
            return list;
        }
        throw new IOException(field + " must be an array");
    }

    static Map<String, Object> map(Map<String, Object> from, String field) throws IOException {
        return asMap(from.get(field), field);
    }

    static Map<String, Object> asMap(Object value, String field) throws IOException {
        if (value instanceof Map<?, ?> map) {
            @SuppressWarnings("unchecked") // every map that WireEvent.object creates has string keys
            Map<String, Object> object = (Map<String, Object>) map;
            return object;
        }
        throw new IOException(field + " must be an object");
    }

    /** Returns the names in a list of strings, or of objects with a name; empty if the field is missing. */
    private static List<String> names(Map<String, Object> settings, String field) throws IOException {
        List<String> names = new ArrayList<>();
        if (settings.get(field) == null) {
            return names;
        }
        for (Object item : list(settings, field)) {
            names.add(item instanceof String text ? text : string(asMap(item, field), "name"));
        }
        return List.copyOf(names);
    }
}
