package anisebend;

import anisebend.Adapter.WireException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A reusable message of the wire protocol. Absent numbers are {@link #NONE}. */
public final class WireEvent {
    static final long NONE = Long.MIN_VALUE;

    String type;
    String request;
    String node;
    long instance;
    long clock;
    long frame;
    long page;
    long token;
    long seed;
    Balancer.Settings settings;
    private List<String> columns;
    private List<Balancer.Server> entries;
    private String key;
    private String code;
    private long requestClass;
    private long tenant;
    private long giveUp;
    private long attempt;
    private long elapsed;
    private long note;
    private long scope;
    private boolean last;
    private boolean write;
    private double[] usage;

    private void clear() {
        type = request = node = key = code = null;
        instance = clock = frame = page = token = seed = NONE;
        requestClass = tenant = giveUp = attempt = elapsed = note = scope = NONE;
        last = write = false;
        settings = null;
        columns = null;
        entries = null;
        usage = null;
    }

    /** Reads the next message; returns false at the end of input. */
    boolean read(JsonParser in) throws IOException {
        JsonToken start = in.nextToken();
        if (start == null) {
            return false;
        }
        if (start != JsonToken.START_OBJECT) {
            throw new WireException("a message must be an object");
        }
        clear();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (in.nextToken() != JsonToken.VALUE_NULL) {
                field(in, name);
            }
        }
        if (type == null) {
            throw new WireException("message without event_type");
        }
        return true;
    }

    private void field(JsonParser in, String name) throws IOException {
        switch (name) {
            case "event_type" -> type = text(in, name);
            case "xid" -> request = text(in, name);
            case "node" -> node = text(in, name);
            case "resource" -> key = text(in, name);
            case "code" -> code = text(in, name);
            case "proxy_id" -> instance = integer(in, name);
            case "frame" -> frame = integer(in, name);
            case "page" -> page = integer(in, name);
            case "nonce" -> token = integer(in, name);
            case "random_seed" -> seed = integer(in, name);
            case "kind" -> requestClass = integer(in, name);
            case "org" -> tenant = integer(in, name);
            case "leg" -> attempt = integer(in, name);
            case "info" -> note = integer(in, name);
            case "scope" -> scope = integer(in, name);
            case "clock_ms" -> clock = micros(in, name);
            case "give_up_at_ms" -> giveUp = micros(in, name);
            case "duration_ms" -> elapsed = micros(in, name);
            case "last" -> last = flag(in, name);
            case "is_write" -> write = flag(in, name);
            case "usage" -> usage = row(in);
            case "nodes_list" -> entries = serverList(in);
            case "env" -> {
                Map<String, Object> env = object(in);
                settings = WireSettings.settings(env);
                columns = WireSettings.columns(env);
            }
            default -> Adapter.skip(in);
        }
    }

    long require(long value, String name) throws WireException {
        if (value == NONE) {
            throw new WireException(type + " without " + name);
        }
        return value;
    }

    <T> T require(T value, String name) throws WireException {
        if (value == null) {
            throw new WireException(type + " without " + name);
        }
        return value;
    }

    List<Balancer.Server> requireEntries() throws WireException {
        return require(entries, "nodes_list");
    }

    List<String> requireColumns() throws WireException {
        return require(columns, "env");
    }

    Balancer.ListKind listKind() throws WireException {
        long value = require(scope, "scope");
        if (value < 0 || value > 3) {
            throw new WireException("view with unknown scope " + value);
        }
        return switch ((int) value) {
            case 0 -> Balancer.ListKind.CHANGES;
            case 1 -> Balancer.ListKind.FULL;
            case 2 -> Balancer.ListKind.CACHED;
            default -> Balancer.ListKind.FAILED;
        };
    }

    Balancer.Request request() throws WireException {
        return new Balancer.Request(
                require(request, "xid"),
                (int) require(requestClass, "kind"),
                tenant == NONE ? 0 : (int) tenant,
                key,
                require(giveUp, "give_up_at_ms"),
                write);
    }

    Balancer.Outcome outcome(List<String> names) throws WireException {
        Balancer.CacheStatus status = note == 1
                ? Balancer.CacheStatus.HIT
                : note == 2
                        ? Balancer.CacheStatus.MISS
                        : note == 3 ? Balancer.CacheStatus.MISS_FETCHING : Balancer.CacheStatus.NONE;
        return new Balancer.Outcome(
                require(request, "xid"),
                (int) require(attempt, "leg"),
                outcomeCode(),
                elapsed == NONE ? 0 : elapsed,
                last,
                status,
                report(names));
    }

    Balancer.Code outcomeCode() throws WireException {
        return switch (require(code, "code")) {
            case "Ok" -> Balancer.Code.OK;
            case "Failed" -> Balancer.Code.ERROR;
            case "QueueFull" -> Balancer.Code.FULL;
            case "TimedOut" -> Balancer.Code.TIMEOUT;
            case "ConnectError" -> Balancer.Code.CONNECT_FAILED;
            case "ResetByPeer" -> Balancer.Code.RESET;
            case "Canceled" -> Balancer.Code.CANCELLED;
            case "Ignored" -> Balancer.Code.NOT_SENT;
            case "Miss" -> Balancer.Code.MISS;
            default -> throw new WireException(type + " with unknown code " + code);
        };
    }

    Balancer.Report report(List<String> names) {
        if (usage == null) {
            return null;
        }
        return new Balancer.Report(
                value(names, "outstanding"), value(names, "utilization"), value(names, "recent_ms") * 1000);
    }

    private double value(List<String> names, String name) {
        int column = names.indexOf(name);
        return column < 0 || column >= usage.length ? Double.NaN : usage[column];
    }

    private static String text(JsonParser in, String name) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new WireException(name + " must be a string");
        }
        return in.getText();
    }

    private static long integer(JsonParser in, String name) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new WireException(name + " must be an integer");
        }
        return in.getLongValue();
    }

    private static long micros(JsonParser in, String name) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new WireException(name + " must be a number");
        }
        return Math.round(in.getDoubleValue() * 1000);
    }

    private static boolean flag(JsonParser in, String name) throws IOException {
        if (!in.currentToken().isBoolean()) {
            throw new WireException(name + " must be true or false");
        }
        return in.getBooleanValue();
    }

    private static double[] row(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new WireException("usage must be an array");
        }
        double[] row = new double[8];
        int count = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (count < row.length) {
                row[count++] = in.currentToken().isNumeric() ? in.getDoubleValue() : Double.NaN;
            }
            Adapter.skip(in);
        }
        return Arrays.copyOf(row, count);
    }

    private static List<Balancer.Server> serverList(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new WireException("nodes_list must be an array");
        }
        List<Balancer.Server> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw new WireException("an entry of nodes_list must be an object");
            }
            String id = null;
            long zone = 0;
            long kind = 0;
            long cell = 0;
            long state = 1;
            double weight = 1;
            long started = 0;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "node" -> id = text(in, name);
                    case "zone" -> zone = integer(in, name);
                    case "machine" -> kind = integer(in, name);
                    case "cohort" -> cell = integer(in, name);
                    case "state" -> state = integer(in, name);
                    case "nominal" -> weight = in.getDoubleValue();
                    case "up_since_ms" -> started = micros(in, name);
                    default -> Adapter.skip(in);
                }
            }
            if (id == null || state < 0 || state > 2) {
                throw new WireException("an entry of nodes_list needs a node and a known state");
            }
            Balancer.State listed =
                    state == 1 ? Balancer.State.READY : state == 2 ? Balancer.State.DRAINING : Balancer.State.GONE;
            list.add(new Balancer.Server(id, (int) zone, (int) kind, (int) cell, listed, weight, started));
        }
        return List.copyOf(list);
    }

    /** Reads the object at which the parser stands, with numbers as Double and nested lists and maps. */
    public static Map<String, Object> object(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new WireException("env must be an object");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, any(in));
        }
        return map;
    }

    private static Object any(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> object(in);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(any(in));
                }
                yield list;
            }
            case VALUE_STRING -> in.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
