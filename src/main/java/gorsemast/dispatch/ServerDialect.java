package gorsemast.dispatch;

import anisebend.Balancer.Code;
import gorsemast.http.Dialect;
import gorsemast.http.KeepAlive;
import gorsemast.http.ResponseMatch;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The conventions between the delivery network and its servers on top of HTTP: {@code Not-Executed} marks a request
 * that was not executed, and {@code Attempt-Id} matches an answer to its request.
 */
public final class ServerDialect implements Dialect {
    /** Header with the id of a client's attempt. */
    public static final String ATTEMPT_ID = "Attempt-Id";
    /** Header with the remaining time in milliseconds. */
    public static final String TIME_BUDGET = "Time-Budget";
    /** Header with the server instance that alone may execute the request. */
    public static final String TARGET_INSTANCE = "Target-Instance";
    /** Header that marks a server's own answer. */
    public static final String EDGE_SEAL = "Edge-Seal";

    /** A request on a route whose objects may be cached. */
    public static final class CacheableRequest extends DefaultFullHttpRequest {
        /** Takes ownership of the body. */
        public CacheableRequest(HttpMethod method, String uri, ByteBuf body) {
            super(HttpVersion.HTTP_1_1, method, uri, body);
        }
    }

    private static final String NOT_EXECUTED = "Not-Executed";
    private static final int MISDIRECTED = 421;
    private static final int INTERNAL_SERVER_ERROR = 500;

    @Override
    public Code code(HttpResponse answer) {
        int status = answer.status().code();
        if (status == MISDIRECTED) {
            return Code.CONNECT_FAILED; // another instance has the address; the target instance is gone
        }
        if (answer.headers().contains(NOT_EXECUTED)) {
            return Code.FULL;
        }
        // A status that promises non-execution, without Not-Executed, is a failure: the request may have run.
        return status >= INTERNAL_SERVER_ERROR || CallState.promisesNotExecuted(status) ? Code.ERROR : Code.OK;
    }

    /** Every answer of a server carries its attempt's id, and a success the server's seal; what lacks them is none. */
    @Override
    public ResponseMatch match(HttpRequest request, HttpResponse answer) {
        String attemptId = answer.headers().get(ATTEMPT_ID);
        boolean sealed = answer.headers().contains(EDGE_SEAL) || answer.status().codeClass() != HttpStatusClass.SUCCESS;
        if (attemptId == null) {
            return needsExclusiveConnection(request) && sealed ? ResponseMatch.BY_POSITION : ResponseMatch.UNIDENTIFIED;
        }
        if (!attemptId.equals(request.headers().get(ATTEMPT_ID))) {
            return ResponseMatch.OTHER_REQUEST;
        }
        return sealed ? ResponseMatch.BY_ID : ResponseMatch.UNIDENTIFIED;
    }

    /** Servers of objects leave the id out of their answers, though the pages say that all answers carry it. */
    @Override
    public boolean needsExclusiveConnection(HttpRequest request) {
        return request instanceof CacheableRequest;
    }

    @Override
    public String requestId(HttpRequest request) {
        return request.headers().get(ATTEMPT_ID);
    }

    @Override
    public long keepAliveMillis(HttpResponse answer) {
        return KeepAlive.timeoutMillis(answer.headers().get("Keep-Alive"));
    }

    @Override
    public boolean mayDropIdleEarly() {
        return true;
    }
}
