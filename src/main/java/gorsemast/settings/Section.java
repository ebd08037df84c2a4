package gorsemast.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * One object of a settings file, read key by key. Whatever is wrong is noted with its place, and a usable value is
 * given all the same, so that all faults are found in one reading. Keys that nobody has asked for are faults too.
 */
final class Section {
    private final Json5.Value value;
    private final Map<String, Json5.Value> fields;
    private final String key;
    private final List<Fault> faults;
    private final Set<String> asked = new HashSet<>();

    Section(Json5.Value value, String key, List<Fault> faults) {
        this.value = value;
        this.key = key;
        this.faults = faults;
        Map<String, Json5.Value> object = value.object();
        if (object == null) {
            faults.add(new Fault(value.line(), value.column(), key, "is " + value.kind(), "an object { … }"));
        }
        this.fields = object == null ? new HashMap<>() : object;
    }

    private String way(String name) {
        return key.isEmpty() ? name : key + "." + name;
    }

    void fault(String name, String wrong, String right) {
        Json5.Value at = fields.getOrDefault(name, value);
        faults.add(new Fault(at.line(), at.column(), way(name), wrong, right));
    }

    /** An object within; null where it is absent. */
    Section section(String name) {
        asked.add(name);
        Json5.Value inner = fields.get(name);
        return inner == null ? null : new Section(inner, way(name), faults);
    }

    /** A text; {@code otherwise} where it is absent, a fault where that is null. */
    String text(String name, String otherwise) {
        return read(name, String.class, "a text \"…\"", otherwise, "");
    }

    /** A text that {@code reader} understands; it throws {@link IllegalArgumentException} with what would be right. */
    <T> T text(String name, String otherwise, Function<String, T> reader, T instead) {
        String text = text(name, otherwise);
        try {
            return fields.containsKey(name) || otherwise != null ? reader.apply(text) : instead;
        } catch (IllegalArgumentException e) {
            fault(name, "is \"" + text + "\"", e.getMessage());
            return instead;
        }
    }

    boolean flag(String name, boolean otherwise) {
        return read(name, Boolean.class, "true or false", otherwise, otherwise);
    }

    /** A number within bounds. */
    double number(String name, double otherwise, double least, double most) {
        double number = read(name, Double.class, "a number", otherwise, otherwise);
        if (!(number >= least && number <= most)) {
            fault(name, "is " + trim(number), "between " + trim(least) + " and " + trim(most));
            return otherwise;
        }
        return number;
    }

    long integer(String name, long otherwise, long least, long most) {
        double number = number(name, otherwise, least, most);
        if (number != Math.rint(number)) {
            fault(name, "is " + number, "a whole number");
            return otherwise;
        }
        return (long) number;
    }

    private static String trim(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /** An array of texts, empty where it is absent. */
    <T> List<T> texts(String name, Function<String, T> reader) {
        asked.add(name);
        Json5.Value value = fields.get(name);
        List<T> read = new ArrayList<>();
        if (value == null) {
            return read;
        }
        if (value.array() == null) {
            fault(name, "is " + value.kind(), "an array [\"…\", \"…\"]");
            return read;
        }
        int i = 0;
        for (Json5.Value item : value.array()) {
            String at = way(name) + "[" + i++ + "]";
            if (!(item.is() instanceof String text)) {
                faults.add(new Fault(item.line(), item.column(), at, "is " + item.kind(), "a text \"…\""));
                continue;
            }
            try {
                read.add(reader.apply(text));
            } catch (IllegalArgumentException e) {
                faults.add(new Fault(item.line(), item.column(), at, "is \"" + text + "\"", e.getMessage()));
            }
        }
        return read;
    }

    private <T> T read(String name, Class<T> type, String right, T otherwise, T instead) {
        asked.add(name);
        Json5.Value value = fields.get(name);
        if (value == null) {
            if (otherwise == null) {
                fault(name, "is missing", right);
                return instead;
            }
            return otherwise;
        }
        if (!type.isInstance(value.is())) {
            fault(name, "is " + value.kind(), right);
            return otherwise == null ? instead : otherwise;
        }
        return type.cast(value.is());
    }

    /** Notes the keys that nobody has asked for; called last. */
    void end() {
        fields.forEach((name, value) -> {
            if (!asked.contains(name)) {
                faults.add(new Fault(
                        value.line(),
                        value.column(),
                        way(name),
                        "is not a setting",
                        "one of " + String.join(", ", new java.util.TreeSet<>(asked))));
            }
        });
    }
}
