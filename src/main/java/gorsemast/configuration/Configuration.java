package gorsemast.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.ObjectConverter;
import gorsemast.configuration.ConfigurationException.Code;
import gorsemast.node.Settings;
import gorsemast.node.SettingsException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One version of the operator's configuration, checked, with the bytes that it came as: what is read back is what was
 * sent. Immutable; any thread.
 *
 * @param version the highest holds
 * @param body as it was sent; not to be written to
 * @param routes by host, the longest prefix first
 */
public record Configuration(
        long version, byte[] body, Map<String, List<Route>> routes, Map<String, Service> services, Limits limits) {
    private static final DslJson<Object> JSON = new DslJson<>();
    private static final int VERSION_DIGITS = 8;
    private static final int HEX = 16;

    /**
     * A service.
     *
     * @param maxConnections that one of its servers takes from all callers together
     * @param ratePerSecond that its servers together are to get at most; infinite where nothing is said
     */
    public record Service(String name, String healthPath, int maxConnections, double ratePerSecond) {}

    /** What clients may send and how long they may take. */
    public record Limits(int headerBytes, long bodyBytes, long headerMicros, long idleMicros) {}

    /** Reads and checks a body; throws {@link ConfigurationException}. */
    public static Configuration parse(byte[] body) {
        Map<String, Object> root = object("body", read(body));
        long version = version(root.get("configVersion"));
        Map<String, Service> services = new LinkedHashMap<>();
        for (Object entry : list("backendTable", root.get("backendTable"))) {
            Map<String, Object> service = object("backendTable", entry);
            String name = text("backendTable.name", service.get("name"));
            double rate = service.get("ratePerS") == null
                    ? Double.POSITIVE_INFINITY
                    : number("backendTable." + name + ".ratePerS", service.get("ratePerS"));
            Object connections = service.get("maxConnections");
            Object health = service.get("healthPath");
            services.put(
                    name,
                    new Service(
                            name,
                            health == null ? null : health.toString(),
                            connections == null
                                    ? Integer.MAX_VALUE
                                    : (int) number("backendTable." + name + ".maxConnections", connections),
                            rate));
        }
        Map<String, List<Route>> routes = new HashMap<>();
        for (Object entry : list("virtualHosts", root.get("virtualHosts"))) {
            Map<String, Object> host = object("virtualHosts", entry);
            String name = normalizeHost(text("virtualHosts.hostname", host.get("hostname")));
            List<Route> of = routes.computeIfAbsent(name, n -> new ArrayList<>());
            Set<String> places = new HashSet<>();
            of.forEach(route -> places.add(route.prefix()));
            for (Object rule : list("virtualHosts." + name + ".pathRules", host.get("pathRules"))) {
                Route route = route(name, object("virtualHosts." + name + ".pathRules", rule), services);
                if (!places.add(route.prefix())) {
                    throw new ConfigurationException(Code.SAME_PLACE, route.name(), "stands at a place that is taken");
                }
                of.add(route);
            }
            of.sort((a, b) -> Integer.compare(b.prefix().length(), a.prefix().length()));
        }
        return new Configuration(version, body, routes, services, limits(root.get("limits")));
    }

    private static Object read(byte[] body) {
        try {
            JsonReader<Object> reader = JSON.newReader(body, body.length);
            reader.getNextToken();
            Object whole = ObjectConverter.deserializeObject(reader);
            for (int at = reader.getCurrentIndex(); at < body.length; at++) {
                if (body[at] != ' ' && body[at] != '\n' && body[at] != '\r' && body[at] != '\t') {
                    throw new ConfigurationException(Code.UNREADABLE, "byte " + at, "something follows the end");
                }
            }
            return whole;
        } catch (IOException | RuntimeException e) {
            if (e instanceof ConfigurationException known) {
                throw known;
            }
            throw new ConfigurationException(Code.UNREADABLE, "body", String.valueOf(e.getMessage()));
        }
    }

    /** A version's number from its eight digits. */
    private static long version(Object told) {
        String text = text("configVersion", told);
        try {
            if (text.length() == VERSION_DIGITS && text.charAt(0) != '+' && text.charAt(0) != '-') {
                return Long.parseLong(text, HEX);
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new ConfigurationException(Code.WRONG_TYPE, "configVersion", "wants eight hexadecimal digits");
    }

    private static Route route(String host, Map<String, Object> rule, Map<String, Service> services) {
        String name = text("pathRules.name", rule.get("name"));
        String prefix = text(name + ".pathPrefix", rule.get("pathPrefix"));
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new ConfigurationException(Code.WRONG_TYPE, name + ".pathPrefix", "begins and ends with a slash");
        }
        Route.Kind kind =
                switch (text(name + ".routeType", rule.get("routeType"))) {
                    case "cacheable" -> Route.Kind.CACHEABLE;
                    case "idempotent" -> Route.Kind.IDEMPOTENT;
                    case "non_idempotent" -> Route.Kind.NON_IDEMPOTENT;
                    default -> throw new ConfigurationException(Code.WRONG_TYPE, name + ".routeType", "is not known");
                };
        List<Route.WeightedService> to = new ArrayList<>();
        if (rule.get("weightedBackends") != null) {
            double sum = 0;
            for (Object entry : list(name + ".weightedBackends", rule.get("weightedBackends"))) {
                Map<String, Object> part = object(name + ".weightedBackends", entry);
                double weight = number(name + ".weight", part.get("weight"));
                if (!(weight >= 0)) {
                    throw new ConfigurationException(Code.BELOW_ZERO, name, "has a weight below 0");
                }
                sum += weight;
                to.add(new Route.WeightedService(
                        text(name + ".weightedBackends.backend", part.get("backend")), weight));
            }
            if (!(sum > 0) || Double.isInfinite(sum)) {
                throw new ConfigurationException(Code.NO_WEIGHT, name, "has weights that total 0");
            }
        } else {
            to.add(new Route.WeightedService(text(name + ".backend", rule.get("backend")), 1));
        }
        for (Route.WeightedService part : to) {
            if (!services.containsKey(part.service())) {
                throw new ConfigurationException(
                        Code.UNKNOWN_SERVICE, name, "names the unknown service " + part.service());
            }
        }
        double attempts = rule.get("maxAttempts") == null ? 1 : number(name + ".maxAttempts", rule.get("maxAttempts"));
        if (attempts < 1) {
            throw new ConfigurationException(Code.NO_ATTEMPTS, name, "has no attempt");
        }
        long timeout = time(name + ".timeout", rule.get("timeout"));
        if (timeout <= 0) {
            throw new ConfigurationException(Code.WRONG_TYPE, name + ".timeout", "has to be above 0");
        }
        Object aim = rule.get("targetLatency");
        Object ttl = rule.get("cacheTtl");
        Object priority = rule.get("priority");
        return new Route(
                name,
                host,
                prefix,
                kind,
                timeout,
                aim == null ? timeout : time(name + ".targetLatency", aim),
                priority == null ? 0 : (int) number(name + ".priority", priority),
                List.copyOf(to),
                (int) attempts,
                ttl == null || kind != Route.Kind.CACHEABLE ? 0 : time(name + ".cacheTtl", ttl));
    }

    private static Limits limits(Object told) {
        Map<String, Object> given = told == null ? Map.of() : object("limits", told);
        Object header = given.get("maxHeaderBytes");
        Object bytes = given.get("maxBodyBytes");
        Object slowest = given.get("headerTimeout");
        Object idle = given.get("idleTimeout");
        return new Limits(
                header == null ? 16_384 : (int) number("limits.maxHeaderBytes", header),
                bytes == null ? 64L << 20 : (long) number("limits.maxBodyBytes", bytes),
                slowest == null ? 3_000_000 : time("limits.headerTimeout", slowest),
                idle == null ? 15_000_000 : time("limits.idleTimeout", idle));
    }

    /** The route of a request; null where there is none. The query is not part of {@code path}. */
    public Route route(String host, String path) {
        List<Route> of = routes.get(host);
        if (of != null) {
            for (Route route : of) {
                if (path.startsWith(route.prefix())) {
                    return route;
                }
            }
        }
        return null;
    }

    /** All routes that lead to each service; a new map. */
    public Map<String, List<Route>> routesByService() {
        Map<String, List<Route>> by = new LinkedHashMap<>();
        routes.values()
                .forEach(of -> of.forEach(route -> route.services()
                        .forEach(part -> by.computeIfAbsent(part.service(), name -> new ArrayList<>())
                                .add(route))));
        return by;
    }

    /** A host as it is looked up: in lower case, without a port. */
    public static String normalizeHost(String told) {
        int colon = told.lastIndexOf(':');
        String bare = colon > 0 && colon > told.lastIndexOf(']') ? told.substring(0, colon) : told;
        return bare.toLowerCase(Locale.ROOT);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String at, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, at, "wants an object");
    }

    private static List<?> list(String at, Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, at, "wants a list");
    }

    private static String text(String at, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, at, "wants a text");
    }

    private static double number(String at, Object value) {
        if (value instanceof Number number && !Double.isNaN(number.doubleValue())) {
            return number.doubleValue();
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, at, "wants a number");
    }

    private static long time(String at, Object value) {
        try {
            return Settings.micros(at, text(at, value));
        } catch (SettingsException e) {
            throw new ConfigurationException(Code.WRONG_TYPE, at, "wants a time such as 1500ms");
        }
    }
}
