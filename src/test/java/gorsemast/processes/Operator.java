package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;

/**
 * Sends orders to registries as the platform's operator does: an order without a clear answer is sent again unchanged, to
 * the next one. Of the orders' contents each has a route that no other has, by which an edge shows what it goes by.
 */
final class Operator {
    /** How long one call may take before it counts as unanswered: more than the registry's own bound. */
    static final long CALL_MILLIS = 4_000;
    /** {@code contact} and {@code ack}: an order that was sent into a trouble is acknowledged by then. */
    static final long ACKNOWLEDGED_MILLIS = 7_000;
    /** {@code contact}: who was away has caught up by then. */
    static final long CAUGHT_UP_MILLIS = 3_000;

    private final ProcessNetwork network;

    Operator(ProcessNetwork network) {
        this.network = network;
    }

    /** The configuration of a number; {@code word} is its content. */
    static byte[] content(int version, String word) {
        String whole = new String(LoopbackNetwork.configuration(version, "120s"), StandardCharsets.UTF_8);
        String route = "{\"name\":\"" + word + "\",\"pathPrefix\":\"" + route(word)
                + "\",\"routeType\":\"idempotent\",\"timeout\":\"1500ms\",\"targetLatency\":\"200ms\",\"priority\":2,"
                + "\"backend\":\"orders\",\"maxAttempts\":2},";
        return whole.replace("\"pathRules\":[", "\"pathRules\":[" + route).getBytes(StandardCharsets.UTF_8);
    }

    /** The route that only this content has. */
    static String route(String word) {
        return "/only-" + word + '/';
    }

    /** A 2xx. */
    static boolean confirms(Answer answer) {
        return answer.status() / 100 == 2;
    }

    /** A 4xx that is an answer to the order itself: 408, 421 and 429 have it sent again. */
    static boolean refuses(Answer answer) {
        int status = answer.status();
        return status / 100 == 4 && status != 408 && status != 421 && status != 429;
    }

    /** One call with an order. */
    CompletableFuture<Answer> replace(int core, int version, String word) {
        return network.control(core, "POST", "/v1/configuration/replace", content(version, word), CALL_MILLIS);
    }

    /** One call for the newest configuration. */
    CompletableFuture<Answer> read(int core) {
        return network.control(core, "GET", "/v1/configuration/read", null, CALL_MILLIS);
    }

    /** One call with a purge of an object. */
    CompletableFuture<Answer> purge(int core, String path) {
        String body = "{\"hostname\":\"" + LoopbackNetwork.HOST + "\",\"path\":\"" + path + "\"}";
        return network.control(core, "POST", "/v1/purge", body.getBytes(StandardCharsets.UTF_8), CALL_MILLIS);
    }

    /** One call with a purge of all objects with a tag. */
    CompletableFuture<Answer> purgeTag(int core, String tag) {
        byte[] body = ("{\"tag\":\"" + tag + "\"}").getBytes(StandardCharsets.UTF_8);
        return network.control(core, "POST", "/v1/purge", body, CALL_MILLIS);
    }

    /** One beat of a server at {@code address}. */
    CompletableFuture<Answer> beat(int core, String id, String address, String state, int callSeq) {
        String body = "{\"backend\":\"orders\",\"address\":\"" + address
                + "\",\"zone\":\"zone-1\",\"configVersion\":\"v1\"," + "\"capacity\":8,\"state\":\"" + state
                + "\",\"warmupLeft\":\"0ms\",\"callSeq\":" + callSeq + '}';
        return network.control(
                core, "POST", "/v1/nodes/" + id + "/heartbeat", body.getBytes(StandardCharsets.UTF_8), CALL_MILLIS);
    }

    /** A server's last call. */
    CompletableFuture<Answer> deregister(int core, String id) {
        return network.control(core, "POST", "/v1/nodes/" + id + "/deregister", new byte[] {'{', '}'}, CALL_MILLIS);
    }

    /** A call to one registry. */
    interface Call {
        CompletableFuture<Answer> to(int core);
    }

    /** Sends a call to one of these after another until an answer is clear; returns that. */
    Answer clear(String what, Call call, int... cores) {
        Answer[] last = {new Answer(0, new byte[0])};
        int[] turn = {0};
        ProcessNetwork.until("a clear answer to " + what, ACKNOWLEDGED_MILLIS, () -> {
            last[0] = call.to(cores[turn[0]++ % cores.length]).join();
            return confirms(last[0]) || refuses(last[0]);
        });
        return last[0];
    }

    /** Sends an order until it is acknowledged; throws where it is refused. */
    void order(int version, String word, int... cores) {
        Answer answer = clear("order " + version + ' ' + word, core -> replace(core, version, word), cores);
        if (!confirms(answer)) {
            throw new AssertionError(
                    "order " + version + ' ' + word + " is refused: " + answer.status() + ' ' + answer.text());
        }
    }

    /** Whether a registry reads back just this. */
    boolean reads(int core, int version, String word) {
        Answer answer = read(core).join();
        return answer.status() == 200 && Arrays.equals(answer.body(), content(version, word));
    }

    /** Whether an edge goes by this content: it has its route. */
    boolean goesBy(int edge, String word) {
        return network.ask(edge, route(word) + 'x').status() == 200;
    }
}
