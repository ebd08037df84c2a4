package gorsemast.retune;

import anisebend.Balancer.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns the numbers by which the decision module knows request classes, across all configurations of a process.
 *
 * <p>Requests in flight when a configuration changes continue under the rules with which they started. So the rules of
 * a number never change: a new class and a class with changed rules get a new number, and a removed class keeps its
 * number without a name. Rules that existed before under the same name get their number back, with everything learned
 * under it, so that switching between two configurations costs nothing.
 *
 * <p>There are at most {@link #MAX_CLASSES} numbers; a configuration that needs more is rejected until a restart.
 * Immutable.
 */
public final class ClassNumbering {
    /** Each number costs the decision module about 100 bytes per cache node. */
    public static final int MAX_CLASSES = 256;

    private final List<String> nameOf;
    private final List<RequestClass> rules;
    private final Map<String, Integer> numbers;

    private ClassNumbering(List<String> nameOf, List<RequestClass> rules, Map<String, Integer> numbers) {
        this.nameOf = List.copyOf(nameOf);
        this.rules = List.copyOf(rules);
        this.numbers = numbers;
    }

    /**
     * The numbering of an initial configuration, in its order.
     *
     * @throws IllegalArgumentException if there is no class, a name is duplicate or there are more than
     *     {@link #MAX_CLASSES}
     */
    public static ClassNumbering of(List<String> names, List<RequestClass> rules) {
        return new ClassNumbering(List.of(), List.of(), Map.of()).with(names, rules);
    }

    /**
     * The numbering after a change to exactly these classes.
     *
     * @throws IllegalArgumentException as {@link #of}
     */
    public ClassNumbering with(List<String> names, List<RequestClass> changed) {
        if (names.isEmpty()) {
            throw new IllegalArgumentException("no request class is configured");
        }
        List<String> allNames = new ArrayList<>(nameOf);
        List<RequestClass> allRules = new ArrayList<>(rules);
        Map<String, Integer> present = new LinkedHashMap<>();
        for (int i = 0; i < names.size(); i++) {
            int number = find(names.get(i), changed.get(i));
            if (number < 0) {
                number = allNames.size();
                allNames.add(names.get(i));
                allRules.add(changed.get(i));
            }
            if (present.put(names.get(i), number) != null) {
                throw new IllegalArgumentException("duplicate request class " + names.get(i));
            }
        }
        if (allNames.size() > MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "more than " + MAX_CLASSES + " request classes since the start; restart required");
        }
        return new ClassNumbering(allNames, allRules, present);
    }

    private int find(String name, RequestClass wanted) {
        for (int i = 0; i < rules.size(); i++) {
            if (nameOf.get(i).equals(name) && rules.get(i).equals(wanted)) {
                return i;
            }
        }
        return -1;
    }

    /** The number of a configured class; -1 for an unknown or null name. */
    public int number(String name) {
        Integer number = name == null ? null : numbers.get(name);
        return number == null ? -1 : number;
    }

    /** The name of the class that got this number. */
    public String name(int number) {
        return nameOf.get(number);
    }

    /** The rules of all numbers ever assigned, by number. */
    public List<RequestClass> rules() {
        return rules;
    }

    /** The names of the configured classes, in configuration order. */
    public Set<String> names() {
        return numbers.keySet();
    }
}
