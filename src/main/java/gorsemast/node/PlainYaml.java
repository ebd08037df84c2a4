package gorsemast.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the subset of YAML in which the platform writes its settings: block mappings and lists, plain numbers and words,
 * strings in double quotes without escapes. Other files are left to the YAML library, whose first use adds 40 ms to a start
 * that clients wait for.
 */
final class PlainYaml {
    private static final String QUOTE = "\"";

    private final List<String> lines = new ArrayList<>();
    private int position;

    private PlainYaml() {}

    /** Parses the text; returns null if it uses other forms of YAML. */
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
            Object document = yaml.parseBlock(0);
            return yaml.position == yaml.lines.size() && document instanceof Map<?, ?> map ? map : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static IllegalArgumentException unsupported() {
        return new IllegalArgumentException("unsupported YAML form");
    }

    private static int indent(String line) {
        int spaces = 0;
        while (line.charAt(spaces) == ' ') {
            spaces++;
        }
        return spaces;
    }

    private Object parseBlock(int indent) {
        if (position >= lines.size() || indent(lines.get(position)) != indent) {
            throw unsupported();
        }
        return lines.get(position).startsWith("- ", indent) ? parseList(indent) : parseMapping(indent);
    }

    private List<Object> parseList(int indent) {
        List<Object> list = new ArrayList<>();
        while (position < lines.size() && indent(lines.get(position)) == indent) {
            String line = lines.get(position++);
            if (!line.startsWith("- ", indent)) {
                throw unsupported();
            }
            list.add(parseScalar(line.substring(indent + 2)));
        }
        return list;
    }

    private Map<Object, Object> parseMapping(int indent) {
        Map<Object, Object> map = new LinkedHashMap<>();
        while (position < lines.size() && indent(lines.get(position)) == indent) {
            String line = lines.get(position++).substring(indent);
            int colon = line.indexOf(':');
            String key = colon <= 0 ? "" : line.substring(0, colon);
            if (!isPlainKey(key) || map.containsKey(key)) {
                throw unsupported();
            }
            String rest = line.substring(colon + 1);
            if (!rest.isEmpty()) {
                if (rest.charAt(0) != ' ') {
                    throw unsupported();
                }
                map.put(key, parseScalar(rest.substring(1)));
            } else if (position < lines.size() && indent(lines.get(position)) == indent + 2) {
                map.put(key, parseBlock(indent + 2));
            } else {
                throw unsupported();
            }
        }
        return map;
    }

    private static boolean isPlainKey(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')) {
                return false;
            }
        }
        return !text.isEmpty() && !Character.isDigit(text.charAt(0)) && text.charAt(0) != '-' && !isReserved(text);
    }

    private static boolean isReserved(String text) {
        return text.equals("null") || text.equals("true") || text.equals("false");
    }

    private static Object parseScalar(String text) {
        if (text.length() >= 2 && text.startsWith(QUOTE) && text.endsWith(QUOTE)) {
            String inner = text.substring(1, text.length() - 1);
            if (inner.contains(QUOTE) || inner.contains("\\")) {
                throw unsupported();
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
                return parseNumber(text);
            }
        }
    }

    private static Object parseNumber(String text) {
        int points = 0;
        for (int i = 0; i < text.length(); i++) {
            points += text.charAt(i) == '.' ? 1 : 0;
            if (text.charAt(i) != '.' && !Character.isDigit(text.charAt(i))) {
                throw unsupported();
            }
        }
        if (text.isEmpty()
                || text.length() > 9
                || points > 1
                || text.startsWith(".")
                || text.endsWith(".")
                || text.length() > 1 && text.startsWith("0") && points == 0) {
            throw unsupported();
        }
        if (points == 1) {
            return Double.valueOf(text);
        }
        return Integer.valueOf(text);
    }
}
