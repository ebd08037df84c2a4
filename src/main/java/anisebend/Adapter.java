package anisebend;

import anisebend.Balancer.Actions;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Connects balancers to the simulator's wire protocol: reads batches of events and writes actions. */
final class Adapter {
    private final JsonParser in;
    private final JsonGenerator out;
    private final PrintStream err;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Balancer.Server>> pages = new HashMap<>();
    private final WireEvent event = new WireEvent();
    private long now;
    private long frame;
    private boolean inBatch;

    Adapter(InputStream in, OutputStream out, PrintStream err) throws IOException {
        JsonFactory factory = new JsonFactory().setRootValueSeparator("");
        this.in = factory.createParser(in);
        this.out = factory.createGenerator(out);
        this.err = err;
    }

    /** Handles messages until the input ends; returns the exit code. */
    int run() throws IOException {
        try {
            while (event.read(in)) {
                if (!handle()) {
                    return 1;
                }
            }
            if (inBatch) {
                throw new WireException("input ends inside a batch");
            }
            return 0;
        } catch (WireException | JsonProcessingException e) {
            String fault = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            err.println("line " + in.currentLocation().getLineNr() + ": " + fault);
            return 1;
        }
    }

    private boolean handle() throws IOException {
        switch (event.type) {
            case "sync" -> {
                if (inBatch) {
                    throw new WireException("sync inside a batch");
                }
                now = event.require(event.clock, "clock_ms");
                frame = event.require(event.frame, "frame");
                inBatch = true;
            }
            case "go" -> {
                requireBatch();
                out.writeStartObject();
                out.writeStringField("event_type", "finished");
                out.writeNumberField("frame", frame);
                end();
                out.flush();
                inBatch = false;
            }
            case "directory" -> {
                requireBatch();
                pages.put((int) event.require(event.page, "page"), event.requireEntries());
            }
            default -> {
                requireBatch();
                return handleInstance((int) event.require(event.instance, "proxy_id"));
            }
        }
        return true;
    }

    private void requireBatch() throws WireException {
        if (!inBatch) {
            throw new WireException(event.type + " outside a batch");
        }
    }

    private boolean handleInstance(int id) throws IOException {
        if (event.type.equals("begin")) {
            instances.put(id, new Instance(id, event.requireColumns()));
        }
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new WireException(event.type + " for an instance that has not begun");
        }
        if (event.type.equals("exit")) {
            instances.remove(id);
            return true;
        }
        Runnable call = bind(instance);
        try {
            call.run();
            return true;
        } catch (WriteFailed e) {
            throw e.cause;
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            instance.text("fatal", e.toString());
            out.writeStartObject();
            out.writeStringField("event_type", "finished");
            out.writeNumberField("frame", frame);
            end();
            out.flush();
            return false;
        }
    }

    /** Reads the fields of the event first, so that a malformed event is not reported as a fault of the module. */
    private Runnable bind(Instance instance) throws WireException {
        Balancer b = instance.balancer;
        switch (event.type) {
            case "begin" -> {
                long seed = event.require(event.seed, "random_seed");
                Balancer.Settings settings = event.settings;
                return () -> b.start(now, seed, settings);
            }
            case "view" -> {
                Balancer.ListKind kind = event.listKind();
                List<Balancer.Server> entries = kind == Balancer.ListKind.FAILED
                        ? List.of()
                        : pages.get((int) event.require(event.page, "page"));
                if (entries == null) {
                    throw new WireException("view of a directory that was not sent");
                }
                return () -> b.servers(now, kind, entries);
            }
            case "ask" -> {
                Balancer.Request request = event.request();
                return () -> b.request(now, request);
            }
            case "result" -> {
                Balancer.Outcome outcome = event.outcome(instance.columns);
                return () -> b.outcome(now, outcome);
            }
            case "bell" -> {
                long token = event.require(event.token, "nonce");
                return () -> b.timer(now, token);
            }
            case "lapsed" -> {
                String request = event.require(event.request, "xid");
                return () -> b.abandoned(now, request);
            }
            case "head_received" -> {
                String request = event.require(event.request, "xid");
                return () -> b.responseStarted(now, request);
            }
            case "checked" -> {
                String node = event.require(event.node, "node");
                boolean alive = event.outcomeCode() == Balancer.Code.OK;
                Balancer.Report report = event.report(instance.columns);
                return () -> b.probed(now, node, alive, report);
            }
            case "mail" -> {
                return () -> {};
            }
            default -> throw new WireException("unknown event " + event.type);
        }
    }

    private void end() throws IOException {
        out.writeEndObject();
        out.writeRaw('\n');
    }

    /** A balancer; writes its actions to the output. */
    private final class Instance implements Actions {
        final int id;
        final List<String> columns;
        final Balancer balancer = new BalancingPolicy(this);

        Instance(int id, List<String> columns) {
            this.id = id;
            this.columns = columns;
        }

        private void open(String type) throws IOException {
            out.writeStartObject();
            out.writeStringField("event_type", type);
            out.writeNumberField("proxy_id", id);
        }

        private void millis(String field, long micros) throws IOException {
            out.writeFieldName(field);
            out.writeNumber(BigDecimal.valueOf(micros, 3));
        }

        private void text(String type, String text) {
            write(type, "text", text);
        }

        private void write(String type, String field, String value) {
            try {
                open(type);
                out.writeStringField(field, value);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void send(String request, String server, long until) {
            try {
                open("dispatch");
                out.writeStringField("xid", request);
                out.writeStringField("node", server);
                millis("until_ms", until);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void refuse(String request, long retryAfter) {
            try {
                open("turn_away");
                out.writeStringField("xid", request);
                millis("not_before_for_ms", retryAfter);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void fail(String request) {
            write("drop_request", "xid", request);
        }

        @Override
        public void cancel(String request, int attempt) {
            try {
                open("revoke");
                out.writeStringField("xid", request);
                out.writeNumberField("leg", attempt);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void probe(String server) {
            write("poll", "node", server);
        }

        @Override
        public void closeIdle(String server) {
            write("drop_conns", "node", server);
        }

        @Override
        public void subscribe() {
            try {
                open("observe");
                out.writeBooleanField("want", true);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void timer(long at, long token) {
            try {
                open("remind");
                millis("when_ms", at);
                out.writeNumberField("nonce", token);
                end();
            } catch (IOException e) {
                throw new WriteFailed(e);
            }
        }

        @Override
        public void log(String text) {
            text("log", text);
        }
    }

    /** Carries a failure to write the output through the module to the reading loop. */
    private static final class WriteFailed extends RuntimeException {
        private static final long serialVersionUID = 1L;
        final transient IOException cause;

        WriteFailed(IOException cause) {
            super(cause);
            this.cause = cause;
        }
    }

    /** A message that violates the wire protocol. */
    static final class WireException extends IOException {
        private static final long serialVersionUID = 1L;

        WireException(String message) {
            super(message);
        }
    }

    /** Skips a value of any shape. */
    static void skip(JsonParser in) throws IOException {
        if (in.currentToken() == JsonToken.START_OBJECT || in.currentToken() == JsonToken.START_ARRAY) {
            in.skipChildren();
        }
    }
}
