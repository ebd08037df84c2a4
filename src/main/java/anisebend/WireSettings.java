package anisebend;

import anisebend.Adapter.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts the settings object of the wire protocol to {@link Balancer.Settings}. */
public final class WireSettings {
    private WireSettings() {}

    /** Parses the settings of a balancer. */
    public static Balancer.Settings settings(Map<String, Object> env) throws WireException {
        Map<?, ?> allowed = map(env, "allowed");
        Map<?, ?> rules = map(env, "rules");
        Map<?, ?> extra = map(env, "extra");
        List<Balancer.RequestClass> classes = new ArrayList<>();
        for (Object item : list(env, "lanes")) {
            Map<?, ?> lane = asMap(item, "lanes");
            classes.add(new Balancer.RequestClass(
                    effect(text(lane, "repeat", "")),
                    group(text(lane, "group", "all")),
                    micros(lane, "dedup_window_ms", 0),
                    micros(lane, "aim_ms", 0),
                    micros(lane, "hard_limit_ms", 0),
                    number(lane, "credit", 1)));
        }
        List<Balancer.Tenant> tenants = new ArrayList<>();
        for (Object item : list(env, "realms")) {
            Map<?, ?> realm = asMap(item, "realms");
            tenants.add(new Balancer.Tenant(number(realm, "fraction", 1), number(realm, "quota_rps", 0)));
        }
        boolean aside = text(extra, "mode", "through").equals("aside");
        return new Balancer.Settings(
                (int) number(env, "fleet_size", 1),
                (int) number(env, "locality", 0),
                aside ? (int) number(extra, "origin_kind", -1) : -1,
                List.copyOf(classes),
                List.copyOf(tenants),
                number(env, "over_share_worth", 1),
                (int) number(allowed, "send_cap", 1),
                flag(allowed, "may_cancel"),
                flag(allowed, "probes"),
                flag(allowed, "retry_after"),
                micros(allowed, "max_retry_after_ms", 0),
                text(env, "discovery", "push").equals("ask"),
                micros(rules, "ask_within_ms", 0),
                number(rules, "cold_from", 1),
                micros(rules, "cold_ms", 0),
                number(rules, "free_resends", 0),
                number(rules, "extra_per_request", 0),
                micros(rules, "ratio_span_ms", 0));
    }

    static List<String> columns(Map<String, Object> env) throws WireException {
        Map<?, ?> report = map(env, "load_report");
        List<String> names = new ArrayList<>();
        for (Object item : list(report, "columns")) {
            names.add(String.valueOf(item));
        }
        return names;
    }

    private static Balancer.Effect effect(String word) throws WireException {
        return switch (word) {
            case "read_like" -> Balancer.Effect.SAFE;
            case "idempotency_key" -> Balancer.Effect.KEYED;
            case "non_idempotent" -> Balancer.Effect.UNSAFE;
            default -> throw new WireException("unknown repeat \"" + word + "\"");
        };
    }

    private static Balancer.Group group(String word) throws WireException {
        return switch (word) {
            case "all" -> Balancer.Group.ALL;
            case "zone" -> Balancer.Group.ZONE;
            case "cell" -> Balancer.Group.CELL;
            default -> throw new WireException("unknown group \"" + word + "\"");
        };
    }

    private static Map<?, ?> asMap(Object value, String name) throws WireException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new WireException(name + " must hold objects");
    }

    private static Map<?, ?> map(Map<?, ?> from, String name) throws WireException {
        Object value = from.get(name);
        return value == null ? Map.of() : asMap(value, name);
    }

    private static List<?> list(Map<?, ?> from, String name) throws WireException {
        Object value = from.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new WireException(name + " must be an array");
    }

    private static double number(Map<?, ?> from, String name, double absent) throws WireException {
        Object value = from.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new WireException(name + " must be a number");
    }

    private static long micros(Map<?, ?> from, String name, double absent) throws WireException {
        return Math.round(number(from, name, absent) * 1000);
    }

    private static String text(Map<?, ?> from, String name, String absent) throws WireException {
        Object value = from.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof String text) {
            return text;
        }
        throw new WireException(name + " must be a string");
    }

    private static boolean flag(Map<?, ?> from, String name) throws WireException {
        Object value = from.get(name);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw new WireException(name + " must be true or false");
    }
}
