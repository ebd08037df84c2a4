package gorsemast.retune;

import anisebend.Balancer.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The numbers by which the decision module knows the classes of requests, over all configurations of a process.
 *
 * <p><b>Idea.</b> What is open when a configuration changes goes on under the rules it came under. So a number never
 * changes its rules: a class whose rules change gets a new one, as does a new class, and a class that is dropped keeps
 * its own without a name that leads to it. Rules that were there before under the same name get their number back, and
 * with it what was learned of them; going to and fro between two configurations costs nothing.
 *
 * <p><b>Bounds.</b> {@link #MAX_CLASSES} numbers; a configuration that needs more is turned down, and a restart begins anew.
 * Immutable.
 */
public final class ClassNumbering {
    /** Each number costs the module some 100 bytes a cache node. */
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
     * The book of a first configuration, numbered in its order.
     *
     * @throws IllegalArgumentException where there is no class, a name stands twice or there are more than {@link #MAX_CLASSES}
     */
    public static ClassNumbering of(List<String> names, List<RequestClass> rules) {
        return new ClassNumbering(List.of(), List.of(), Map.of()).with(names, rules);
    }

    /**
     * The book once these classes, and no others, are configured.
     *
     * @throws IllegalArgumentException as {@link #of}
     */
    public ClassNumbering with(List<String> names, List<RequestClass> changed) {
        if (names.isEmpty()) {
            throw new IllegalArgumentException("there is no class");
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
                throw new IllegalArgumentException("two classes are named " + names.get(i));
            }
        }
        if (allNames.size() > MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "more than " + MAX_CLASSES + " classes since the start; a restart is needed");
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

    /** The number of a class that is configured now; -1 for any other name, also none. */
    public int number(String name) {
        Integer number = name == null ? null : numbers.get(name);
        return number == null ? -1 : number;
    }

    /** The name under which a number was given. */
    public String name(int number) {
        return nameOf.get(number);
    }

    /** The rules of all numbers ever given, in their order. */
    public List<RequestClass> rules() {
        return rules;
    }

    /** The classes that are configured now, in the order of the configuration. */
    public Set<String> names() {
        return numbers.keySet();
    }
}
