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
 * What the platform tells one proxy at its start. Strict: a proxy that starts on a guess would break rules
 * silently, so whatever is missing or malformed is an {@link IOException} with one plain line. Unknown
 * fields are skipped, as the platform may add some.
 *
 * @param admin the second address, null where there is none
 * @param classes the numbers of the classes; the settings hold the rules of each number
 * @param text the file as it was read
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

    /** The words that stand on the wire for the module's numbers. */
    record Names(List<String> tenants, List<String> zones, List<String> kinds) {}

    /** Reads the file at {@code PROXY_CONFIG}; the single variables win over it, as they are the nearer. */
    static ProxyConfig load(Map<String, String> env) throws IOException {
        return load(env, env);
    }

    /** Reads the file anew: it has been replaced since the variables were set, so it wins over them. */
    static ProxyConfig reload(Map<String, String> env) throws IOException {
        return load(env, Map.of());
    }

    /**
     * This configuration as it follows another one in service: classes that are in both keep their numbers. Throws where
     * it lacks a key that the other has, or changes what can't change without a restart.
     */
    ProxyConfig after(ProxyConfig present) throws IOException {
        ConfigurationShape.check(present.text, text, Set.of("known"));
        if (!names.zones().equals(present.names.zones())
                || !names.kinds().equals(present.names.kinds())
                || settings.originKind() != present.settings.originKind()) {
            throw new IOException("failure_domains, shapes and the origin can't change without a restart");
        }
        Balancer.Settings s = settings;
        ClassNumbering book;
        try {
            book = present.classes.with(List.copyOf(classes.names()), s.classes());
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
                        s.balancers(),
                        s.zone(),
                        s.originKind(),
                        book.rules(),
                        s.tenants(),
                        s.overShareFactor(),
                        s.maxAttempts(),
                        s.mayCancel(),
                        s.mayProbe(),
                        s.retryAfter(),
                        s.maxRetryAfter(),
                        s.listMustBeAsked(),
                        s.listAskWithin(),
                        s.coldShare(),
                        s.coldTime(),
                        s.freeResends(),
                        s.resendShare(),
                        s.resendSpan()),
                book,
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
            return of(variables, parse(in.readAllBytes()));
        } catch (NoSuchFileException | InvalidPathException e) {
            throw new IOException("no configuration at " + file, e);
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException("configuration " + file + ": " + e.getMessage(), e);
        }
    }

    private static ProxyConfig of(Map<String, String> env, Map<String, Object> root) throws IOException {
        Map<String, Object> settings = map(root, "settings");
        Map<String, Object> allowed = map(settings, "allowed");
        Map<String, Object> limits = map(root, "limits");
        Balancer.Settings read = WireSettings.settings(settings);
        positive(allowed, "send_cap");
        for (Object lane : list(settings, "lanes")) {
            if (number(asMap(lane, "lanes"), "hard_limit_ms") <= 0 || number(asMap(lane, "lanes"), "aim_ms") <= 0) {
                throw new IOException("hard_limit_ms and aim_ms must be positive");
            }
        }
        Names names =
                new Names(names(settings, "realms"), names(settings, "failure_domains"), names(settings, "shapes"));
        return new ProxyConfig(
                variable(env, "PROXY_NAME", root, "name"),
                address(variable(env, "PROXY_LISTEN", root, "listen")),
                admin(env, root),
                address(variable(env, "PROXY_DISCOVERY", root, "discovery")),
                seed(string(root, "seed")),
                (int) positive(limits, "sockets"),
                map(root, "known"),
                read,
                ClassNumbering.of(names(settings, "lanes"), read.classes()),
                names,
                positive(allowed, "conn_idle_ms"),
                positive(allowed, "connect_timeout_ms"),
                root);
    }

    /**
     * Whether the service only begins: no cache node has started since the list that this proxy last had was begun, so
     * this is no restart within service, and nobody waits for it. One that is restarted before any node has changed is
     * taken for that too, and is back a second later.
     */
    boolean begins() {
        return known.get("hosts") instanceof List<?> hosts
                && hosts.stream()
                        .allMatch(host -> host instanceof Map<?, ?> entry
                                && entry.get("born_ms") instanceof Number born
                                && born.longValue() == 0);
    }

    /** One whole JSON object, and nothing after it. */
    static Map<String, Object> parse(byte[] text) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(new String(text, StandardCharsets.UTF_8))) {
            if (in.nextToken() == null) {
                throw new IOException("empty where a JSON object should be");
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

    /** An address in numbers: there is no DNS, and a look-up would block. */
    static InetSocketAddress address(String text) throws IOException {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new IOException("not an address and port: " + text);
        }
        return address;
    }

    private static InetSocketAddress admin(Map<String, String> env, Map<String, Object> root) throws IOException {
        boolean told = env.get("PROXY_ADMIN") != null && !env.get("PROXY_ADMIN").isEmpty();
        return told || root.get("admin") != null ? address(variable(env, "PROXY_ADMIN", root, "admin")) : null;
    }

    private static long seed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("seed must be up to 16 hex digits", e);
        }
    }

    private static String variable(Map<String, String> env, String variable, Map<String, Object> root, String field)
            throws IOException {
        String value = env.get(variable);
        return value == null || value.isEmpty() ? string(root, field) : value;
    }

    static String string(Map<String, Object> from, String field) throws IOException {
        if (from.get(field) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IOException(field + " must be a text");
    }

    static double number(Map<String, Object> from, String field) throws IOException {
        if (from.get(field) instanceof Double number) {
            return number;
        }
        throw new IOException(field + " must be a number");
    }

    private static long positive(Map<String, Object> from, String field) throws IOException {
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
            @SuppressWarnings("unchecked") // every map that WireEvent.object makes has texts as keys
            Map<String, Object> object = (Map<String, Object>) map;
            return object;
        }
        throw new IOException(field + " must be an object");
    }

    /** The names in a list of texts, or of objects that have a name. A site may have none. */
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
