package gorsemast.retune;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rejects a truncated configuration file, as half a file can be valid JSON. The next configuration must have every key
 * of the present one, at every depth; each object of a list must have the keys that all present ones share. Values may
 * differ in any way; they are validated elsewhere.
 *
 * <p>Removing a key for good therefore needs a restart of the proxies.
 */
public final class ConfigurationShape {
    private ConfigurationShape() {}

    /**
     * Checks that {@code next} has the keys of {@code present}.
     *
     * @param but top-level keys whose content is not compared, as it always differs
     * @throws IOException naming the first key that is missing, by its path
     */
    public static void check(Map<?, ?> present, Map<?, ?> next, Set<String> but) throws IOException {
        for (Map.Entry<?, ?> entry : present.entrySet()) {
            String key = String.valueOf(entry.getKey());
            if (!next.containsKey(key)) {
                throw new IOException("key missing: " + key);
            }
            if (!but.contains(key)) {
                same(entry.getValue(), next.get(key), key);
            }
        }
    }

    private static void same(Object present, Object next, String path) throws IOException {
        if (present instanceof Map<?, ?> map) {
            if (!(next instanceof Map<?, ?> other)) {
                throw new IOException(path + " must be an object");
            }
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                String below = path + '.' + entry.getKey();
                if (!other.containsKey(entry.getKey())) {
                    throw new IOException("key missing: " + below);
                }
                same(entry.getValue(), other.get(entry.getKey()), below);
            }
        } else if (present instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map<?, ?>) {
            if (!(next instanceof List<?> others)) {
                throw new IOException(path + " must be an array");
            }
            Set<Object> shared = shared(list);
            for (int i = 0; i < others.size(); i++) {
                if (!(others.get(i) instanceof Map<?, ?> item)) {
                    throw new IOException(path + '[' + i + "] must be an object");
                }
                for (Object key : shared) {
                    if (!item.containsKey(key)) {
                        throw new IOException("key missing: " + path + '[' + i + "]." + key);
                    }
                }
            }
        }
    }

    private static Set<Object> shared(List<?> list) {
        Set<Object> shared = null;
        for (Object item : list) {
            Set<?> keys = item instanceof Map<?, ?> map ? map.keySet() : Set.of();
            if (shared == null) {
                shared = new HashSet<>(keys);
            } else {
                shared.retainAll(keys);
            }
        }
        return shared;
    }
}
