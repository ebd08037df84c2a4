package gorsemast.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The few forms of YAML in which the platform writes its settings: block mappings and lists, plain numbers and words,
 * texts in double quotes without escapes. Whatever else a file holds is left to the library, whose first use takes 40 ms
 * of a start that clients wait for. No state; any thread.
 */
final class PlainYaml {
    private static final String QUOTE = "\"";

    private final List<String> lines = new ArrayList<>();
    private int at;

    private PlainYaml() {}

    /** What the text says, or null where it has a form that is not plain. */
    static Map<?, ?> read(String text) {
        PlainYaml yaml = new PlainYaml();
        for (String line : text.split("\n", -1)) {
            if (line.indexOf('\t') >= 0 || line.indexOf('\r') >= 0) {
                return null;
            }
            if (!line.isBlank()) {
                yaml.lines.add(line);
            }
        }
        try {
            Object whole = yaml.block(0);
            return yaml.at == yaml.lines.size() && whole instanceof Map<?, ?> map ? map : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static IllegalArgumentException other() {
        return new IllegalArgumentException("another form");
    }

    private static int indent(String line) {
        int spaces = 0;
        while (line.charAt(spaces) == ' ') {
            spaces++;
        }
        return spaces;
    }

    private Object block(int indent) {
        if (at >= lines.size() || indent(lines.get(at)) != indent) {
            throw other();
        }
        return lines.get(at).startsWith("- ", indent) ? list(indent) : mapping(indent);
    }

    private List<Object> list(int indent) {
        List<Object> list = new ArrayList<>();
        while (at < lines.size() && indent(lines.get(at)) == indent) {
            String line = lines.get(at++);
            if (!line.startsWith("- ", indent)) {
                throw other();
            }
            list.add(scalar(line.substring(indent + 2)));
        }
        return list;
    }

    private Map<Object, Object> mapping(int indent) {
        Map<Object, Object> map = new LinkedHashMap<>();
        while (at < lines.size() && indent(lines.get(at)) == indent) {
            String line = lines.get(at++).substring(indent);
            int colon = line.indexOf(':');
            String key = colon <= 0 ? "" : line.substring(0, colon);
            if (!word(key) || map.containsKey(key)) {
                throw other();
            }
            String rest = line.substring(colon + 1);
            if (!rest.isEmpty()) {
                if (rest.charAt(0) != ' ') {
                    throw other();
                }
                map.put(key, scalar(rest.substring(1)));
            } else if (at < lines.size() && indent(lines.get(at)) == indent + 2) {
                map.put(key, block(indent + 2));
            } else {
                throw other();
            }
        }
        return map;
    }

    private static boolean word(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')) {
                return false;
            }
        }
        return !text.isEmpty() && !Character.isDigit(text.charAt(0)) && text.charAt(0) != '-' && !reserved(text);
    }

    private static boolean reserved(String text) {
        return text.equals("null") || text.equals("true") || text.equals("false");
    }

    private static Object scalar(String text) {
        if (text.length() >= 2 && text.startsWith(QUOTE) && text.endsWith(QUOTE)) {
            String inner = text.substring(1, text.length() - 1);
            if (inner.contains(QUOTE) || inner.contains("\\")) {
                throw other();
            }
            return inner;
        }
        switch (text) {
            case "[]" -> {
                return List.of();
            }
            case "{}" -> {
                return Map.of();
            }
            case "null" -> {
                return null;
            }
            case "true", "false" -> {
                return text.equals("true");
            }
            default -> {
                return number(text);
            }
        }
    }

    private static Object number(String text) {
        int points = 0;
        for (int i = 0; i < text.length(); i++) {
            points += text.charAt(i) == '.' ? 1 : 0;
            if (text.charAt(i) != '.' && !Character.isDigit(text.charAt(i))) {
                throw other();
            }
        }
        if (text.isEmpty()
                || text.length() > 9
                || points > 1
                || text.startsWith(".")
                || text.endsWith(".")
                || text.length() > 1 && text.startsWith("0") && points == 0) {
            throw other();
        }
        if (points == 1) {
            return Double.valueOf(text);
        }
        return Integer.valueOf(text);
    }
}
