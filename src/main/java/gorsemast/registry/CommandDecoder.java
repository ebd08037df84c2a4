package gorsemast.registry;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.ObjectConverter;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.ConfigurationException;
import gorsemast.gossip.ServerInfo;
import gorsemast.node.Settings;
import gorsemast.node.SettingsException;
import gorsemast.registry.CommandException.Code;
import gorsemast.transport.Address;
import java.io.IOException;
import java.util.Map;

/** Decodes the HTTP calls of servers and operators into commands. Stateless and thread-safe. */
public final class CommandDecoder {
    private static final DslJson<Object> JSON = new DslJson<>();
    private static final String NODES_PREFIX = "/v1/nodes/";
    private static final int MAX_ID_LENGTH = 256;

    private CommandDecoder() {}

    /** Decodes a call into a command; throws {@link CommandException} for an unknown or invalid one. */
    public static Command decode(String method, String path, byte[] body) {
        if (path.startsWith(NODES_PREFIX)) {
            String rest = path.substring(NODES_PREFIX.length());
            int slash = rest.indexOf('/');
            String id = slash < 0 ? "" : rest.substring(0, slash);
            if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
                throw new CommandException(Code.UNKNOWN, "no such call");
            }
            switch (rest.substring(slash)) {
                case "/heartbeat" -> {
                    requirePost(method);
                    return new Command.Heartbeat(parseServer(id, parseObject(body)));
                }
                case "/deregister" -> {
                    requirePost(method);
                    return new Command.Deregister(id);
                }
                default -> throw new CommandException(Code.UNKNOWN, "no such call");
            }
        }
        switch (path) {
            case "/v1/configuration/replace" -> {
                requirePost(method);
                try {
                    return new Command.Replace(Configuration.parse(body));
                } catch (ConfigurationException e) {
                    throw new CommandException(Code.INVALID, e.code() + ": " + e.getMessage());
                }
            }
            case "/v1/configuration/read" -> {
                if (!method.equals("GET")) {
                    throw new CommandException(Code.METHOD, "read with GET");
                }
                return new Command.Read();
            }
            case "/v1/purge" -> {
                requirePost(method);
                return parsePurge(parseObject(body));
            }
            default -> throw new CommandException(Code.UNKNOWN, "no such call");
        }
    }

    private static void requirePost(String method) {
        if (!method.equals("POST")) {
            throw new CommandException(Code.METHOD, "call with POST");
        }
    }

    private static ServerInfo parseServer(String id, Map<?, ?> fields) {
        String address = requiredText(fields, "address");
        if (Address.parse(address) == null) {
            throw new CommandException(Code.INVALID, "address: wants ip:port");
        }
        ServerInfo.State state =
                switch (requiredText(fields, "state")) {
                    case "ready" -> ServerInfo.State.READY;
                    case "draining" -> ServerInfo.State.DRAINING;
                    default -> throw new CommandException(Code.INVALID, "state: is neither ready nor draining");
                };
        Object warmupLeft = fields.get("warmupLeft");
        double seq = requiredNumber(fields, "callSeq");
        double capacity = fields.get("capacity") == null ? 1 : requiredNumber(fields, "capacity");
        if (seq < 0 || !(capacity > 0)) {
            throw new CommandException(Code.INVALID, "callSeq, capacity: out of range");
        }
        try {
            return new ServerInfo(
                    id,
                    requiredText(fields, "backend"),
                    address,
                    fields.get("zone") == null ? "" : requiredText(fields, "zone"),
                    capacity,
                    state,
                    (long) seq,
                    warmupLeft == null ? 0 : Settings.micros("warmupLeft", warmupLeft.toString()));
        } catch (SettingsException e) {
            throw new CommandException(Code.INVALID, e.getMessage());
        }
    }

    private static Command parsePurge(Map<?, ?> fields) {
        if (fields.get("tag") != null) {
            if (fields.get("path") != null || fields.get("hostname") != null) {
                throw new CommandException(Code.INVALID, "tag: stands beside a path");
            }
            return new Command.Purge("", "", requiredText(fields, "tag"));
        }
        return new Command.Purge(
                Configuration.normalizeHost(requiredText(fields, "hostname")), requiredText(fields, "path"), "");
    }

    private static Map<?, ?> parseObject(byte[] body) {
        try {
            JsonReader<Object> reader = JSON.newReader(body, body.length);
            reader.getNextToken();
            if (ObjectConverter.deserializeObject(reader) instanceof Map<?, ?> map) {
                return map;
            }
        } catch (IOException | RuntimeException e) {
            throw new CommandException(Code.INVALID, "body: " + e.getMessage());
        }
        throw new CommandException(Code.INVALID, "body: wants an object");
    }

    private static String requiredText(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new CommandException(Code.INVALID, key + ": wants a text");
    }

    private static double requiredNumber(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw new CommandException(Code.INVALID, key + ": wants a number");
    }
}
