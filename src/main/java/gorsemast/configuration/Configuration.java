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
 * One validated version of the operator's configuration, with the bytes that it was received as: what is read back is
 * what was sent. Immutable.
 *
 * @param version the highest version wins
 * @param body as it was sent; not to be modified
 * @param routes by host, the longest prefix first
 */
public record Configuration(
        long version, byte[] body, Map<String, List<Route>> routes, Map<String, Service> services, Limits limits) {
    private static final DslJson<Object> JSON = new DslJson<>();
    private static final int VERSION_DIGITS = 8;
    private static final int HEX = 16;

    /**
     * A backend service.
     *
     * @param maxConnections how many connections one of its servers accepts from all callers together
     * @param ratePerSecond how many requests its servers together may receive at most; infinite where not configured
     */
    public record Service(String name, String healthPath, int maxConnections, double ratePerSecond) {}

    /** The limits on client requests: sizes and times. */
    public record Limits(int headerBytes, long bodyBytes, long headerMicros, long idleMicros) {}

    /** Parses and validates a body; throws {@link ConfigurationException}. */
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
            List<Route> hostRoutes = routes.computeIfAbsent(name, n -> new ArrayList<>());
            Set<String> prefixes = new HashSet<>();
            hostRoutes.forEach(route -> prefixes.add(route.prefix()));
            for (Object rule : list("virtualHosts." + name + ".pathRules", host.get("pathRules"))) {
                Route route = route(name, object("virtualHosts." + name + ".pathRules", rule), services);
                if (!prefixes.add(route.prefix())) {
                    throw new ConfigurationException(Code.SAME_PLACE, route.name(), "stands at a place that is taken");
                }
                hostRoutes.add(route);
            }
            hostRoutes.sort(
                    (a, b) -> Integer.compare(b.prefix().length(), a.prefix().length()));
        }
        return new Configuration(version, body, routes, services, limits(root.get("limits")));
    }

    private static Object read(byte[] body) {
        try {
            JsonReader<Object> reader = JSON.newReader(body, body.length);
            reader.getNextToken();
            Object root = ObjectConverter.deserializeObject(reader);
            for (int at = reader.getCurrentIndex(); at < body.length; at++) {
                if (body[at] != ' ' && body[at] != '\n' && body[at] != '\r' && body[at] != '\t') {
                    throw new ConfigurationException(Code.UNREADABLE, "byte " + at, "something follows the end");
                }
            }
            return root;
        } catch (IOException | RuntimeException e) {
            if (e instanceof ConfigurationException known) {
                throw known;
            }
            throw new ConfigurationException(Code.UNREADABLE, "body", String.valueOf(e.getMessage()));
        }
    }

    /** Parses a version number of eight hexadecimal digits. */
    private static long version(Object value) {
        String text = text("configVersion", value);
        try {
            if (text.length() == VERSION_DIGITS && text.charAt(0) != '+' && text.charAt(0) != '-') {
                return Long.parseLong(text, HEX);
            }
        } catch (NumberFormatException e) {
            // reported below
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
        List<Route.WeightedService> targets = new ArrayList<>();
        if (rule.get("weightedBackends") != null) {
            double sum = 0;
            for (Object entry : list(name + ".weightedBackends", rule.get("weightedBackends"))) {
                Map<String, Object> part = object(name + ".weightedBackends", entry);
                double weight = number(name + ".weight", part.get("weight"));
                if (!(weight >= 0)) {
                    throw new ConfigurationException(Code.BELOW_ZERO, name, "has a weight below 0");
                }
                sum += weight;
                targets.add(new Route.WeightedService(
                        text(name + ".weightedBackends.backend", part.get("backend")), weight));
            }
            if (!(sum > 0) || Double.isInfinite(sum)) {
                throw new ConfigurationException(Code.NO_WEIGHT, name, "has weights that total 0");
            }
        } else {
            targets.add(new Route.WeightedService(text(name + ".backend", rule.get("backend")), 1));
        }
        for (Route.WeightedService part : targets) {
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
        Object targetLatency = rule.get("targetLatency");
        Object ttl = rule.get("cacheTtl");
        Object priority = rule.get("priority");
        return new Route(
                name,
                host,
                prefix,
                kind,
                timeout,
                targetLatency == null ? timeout : time(name + ".targetLatency", targetLatency),
                priority == null ? 0 : (int) number(name + ".priority", priority),
                List.copyOf(targets),
                (int) attempts,
                ttl == null || kind != Route.Kind.CACHEABLE ? 0 : time(name + ".cacheTtl", ttl));
    }

    private static Limits limits(Object value) {
        Map<String, Object> given = value == null ? Map.of() : object("limits", value);
        Object headerBytes = given.get("maxHeaderBytes");
        Object bodyBytes = given.get("maxBodyBytes");
        Object headerTimeout = given.get("headerTimeout");
        Object idleTimeout = given.get("idleTimeout");
        return new Limits(
                headerBytes == null ? 16_384 : (int) number("limits.maxHeaderBytes", headerBytes),
                bodyBytes == null ? 64L << 20 : (long) number("limits.maxBodyBytes", bodyBytes),
                headerTimeout == null ? 3_000_000 : time("limits.headerTimeout", headerTimeout),
                idleTimeout == null ? 15_000_000 : time("limits.idleTimeout", idleTimeout));
    }

    /** Returns the route of a request; null where there is none. The query is not part of {@code path}. */
    public Route route(String host, String path) {
        List<Route> hostRoutes = routes.get(host);
        if (hostRoutes != null) {
            for (Route route : hostRoutes) {
                if (path.startsWith(route.prefix())) {
                    return route;
                }
            }
        }
        return null;
    }

    /** Returns all routes that lead to each service, in a new map. */
    public Map<String, List<Route>> routesByService() {
        Map<String, List<Route>> routesByService = new LinkedHashMap<>();
        routes.values()
                .forEach(hostRoutes ->
                        hostRoutes.forEach(route -> route.services().forEach(part -> routesByService
                                .computeIfAbsent(part.service(), name -> new ArrayList<>())
                                .add(route))));
        return routesByService;
    }

    /** Returns a host in the form used for lookups: lower case, without a port. */
    public static String normalizeHost(String host) {
        int colon = host.lastIndexOf(':');
        String bare = colon > 0 && colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return bare.toLowerCase(Locale.ROOT);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String key, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, key, "wants an object");
    }

    private static List<?> list(String key, Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, key, "wants a list");
    }

    private static String text(String key, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, key, "wants a text");
    }

    private static double number(String key, Object value) {
        if (value instanceof Number number && !Double.isNaN(number.doubleValue())) {
            return number.doubleValue();
        }
        throw new ConfigurationException(value == null ? Code.MISSING : Code.WRONG_TYPE, key, "wants a number");
    }

    private static long time(String key, Object value) {
        try {
            return Settings.micros(key, text(key, value));
        } catch (SettingsException e) {
            throw new ConfigurationException(Code.WRONG_TYPE, key, "wants a time such as 1500ms");
        }
    }
}
