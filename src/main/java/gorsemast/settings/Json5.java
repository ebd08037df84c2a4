package gorsemast.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON5 text (json5.org) as values that know their places: comments, single quotes, names without quotes, trailing
 * commas, signs and bare decimal points, by Jackson's features. A name that comes twice is a fault, as one of the two
 * would be lost.
 */
final class Json5 {
    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
            .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS)
            .enable(JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS)
            .enable(JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS)
            .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build();

    /** A value: a {@link String}, {@link Double}, {@link Boolean}, a list or a map of such, or null; and its place. */
    record Value(Object is, int line, int column) {
        @SuppressWarnings("unchecked") // made here
        Map<String, Value> object() {
            return is instanceof Map<?, ?> ? (Map<String, Value>) is : null;
        }

        @SuppressWarnings("unchecked") // made here
        List<Value> array() {
            return is instanceof List<?> ? (List<Value>) is : null;
        }

        /** What kind of value it is, in a word. */
        String kind() {
            return is == null
                    ? "null"
                    : is instanceof Map
                            ? "an object"
                            : is instanceof List
                                    ? "an array"
                                    : is instanceof String
                                            ? "a text"
                                            : is instanceof Double ? "a number" : "true or false";
        }
    }

    private Json5() {}

    /** The one value in a text; null where it can't be read, and then {@code faults} tells why. */
    static Value parse(String text, List<Fault> faults) {
        try (JsonParser in = FACTORY.createParser(text)) {
            if (in.nextToken() == null) {
                faults.add(new Fault(1, 1, "", "nothing is there", "an object { … }"));
                return null;
            }
            Value value = value(in, "", faults);
            if (in.nextToken() != null) {
                JsonLocation at = in.currentTokenLocation();
                faults.add(new Fault(at.getLineNr(), at.getColumnNr(), "", "more follows behind the object", ""));
            }
            return value;
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            faults.add(new Fault(
                    at == null ? 0 : at.getLineNr(),
                    at == null ? 0 : at.getColumnNr(),
                    "",
                    e.getOriginalMessage().lines().findFirst().orElse("cannot be read"),
                    ""));
            return null;
        } catch (IOException e) {
            throw new IllegalStateException(e); // from memory
        }
    }

    private static Value value(JsonParser in, String key, List<Fault> faults) throws IOException {
        JsonLocation at = in.currentTokenLocation();
        Object is =
                switch (in.currentToken()) {
                    case START_OBJECT -> object(in, key, faults);
                    case START_ARRAY -> {
                        List<Value> items = new ArrayList<>();
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            items.add(value(in, key + "[" + items.size() + "]", faults));
                        }
                        yield items;
                    }
                    case VALUE_STRING -> in.getText();
                    case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
                    case VALUE_TRUE -> true;
                    case VALUE_FALSE -> false;
                    default -> null;
                };
        return new Value(is, at.getLineNr(), at.getColumnNr());
    }

    private static Map<String, Value> object(JsonParser in, String key, List<Fault> faults) throws IOException {
        Map<String, Value> fields = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            JsonLocation at = in.currentTokenLocation();
            String way = key.isEmpty() ? name : key + "." + name;
            in.nextToken();
            if (fields.put(name, value(in, way, faults)) != null) {
                faults.add(new Fault(at.getLineNr(), at.getColumnNr(), way, "is there twice", "leave one out"));
            }
        }
        return fields;
    }
}
