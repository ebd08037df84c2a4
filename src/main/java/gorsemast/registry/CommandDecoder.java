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

/** Decodes calls from outside into commands. No state; any thread. */
public final class CommandDecoder {
    private static final DslJson<Object> JSON = new DslJson<>();
    private static final String NODES = "/v1/nodes/";
    private static final int LONGEST_ID = 256;

    private CommandDecoder() {}

    /** The command of a call; throws {@link CommandException} where it is none. */
    public static Command decode(String method, String path, byte[] body) {
        if (path.startsWith(NODES)) {
            String rest = path.substring(NODES.length());
            int slash = rest.indexOf('/');
            String id = slash < 0 ? "" : rest.substring(0, slash);
            if (id.isEmpty() || id.length() > LONGEST_ID) {
                throw new CommandException(Code.UNKNOWN, "no such call");
            }
            switch (rest.substring(slash)) {
                case "/heartbeat" -> {
                    post(method);
                    return new Command.Heartbeat(server(id, object(body)));
                }
                case "/deregister" -> {
                    post(method);
                    return new Command.Deregister(id);
                }
                default -> throw new CommandException(Code.UNKNOWN, "no such call");
            }
        }
        switch (path) {
            case "/v1/configuration/replace" -> {
                post(method);
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
                post(method);
                return purge(object(body));
            }
            default -> throw new CommandException(Code.UNKNOWN, "no such call");
        }
    }

    private static void post(String method) {
        if (!method.equals("POST")) {
            throw new CommandException(Code.METHOD, "call with POST");
        }
    }

    private static ServerInfo server(String id, Map<?, ?> told) {
        String address = text(told, "address");
        if (Address.parse(address) == null) {
            throw new CommandException(Code.INVALID, "address: wants ip:port");
        }
        ServerInfo.State state =
                switch (text(told, "state")) {
                    case "ready" -> ServerInfo.State.READY;
                    case "draining" -> ServerInfo.State.DRAINING;
                    default -> throw new CommandException(Code.INVALID, "state: is neither ready nor draining");
                };
        Object cold = told.get("warmupLeft");
        double seq = number(told, "callSeq");
        double capacity = told.get("capacity") == null ? 1 : number(told, "capacity");
        if (seq < 0 || !(capacity > 0)) {
            throw new CommandException(Code.INVALID, "callSeq, capacity: out of range");
        }
        try {
            return new ServerInfo(
                    id,
                    text(told, "backend"),
                    address,
                    told.get("zone") == null ? "" : text(told, "zone"),
                    capacity,
                    state,
                    (long) seq,
                    cold == null ? 0 : Settings.micros("warmupLeft", cold.toString()));
        } catch (SettingsException e) {
            throw new CommandException(Code.INVALID, e.getMessage());
        }
    }

    private static Command purge(Map<?, ?> told) {
        if (told.get("tag") != null) {
            if (told.get("path") != null || told.get("hostname") != null) {
                throw new CommandException(Code.INVALID, "tag: stands beside a path");
            }
            return new Command.Purge("", "", text(told, "tag"));
        }
        return new Command.Purge(Configuration.normalizeHost(text(told, "hostname")), text(told, "path"), "");
    }

    private static Map<?, ?> object(byte[] body) {
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

    private static String text(Map<?, ?> told, String key) {
        if (told.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new CommandException(Code.INVALID, key + ": wants a text");
    }

    private static double number(Map<?, ?> told, String key) {
        if (told.get(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw new CommandException(Code.INVALID, key + ": wants a number");
    }
}
