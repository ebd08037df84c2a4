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
 * What the delivery network and its servers say to each other above HTTP: whether a request has run is told by
 * {@code Not-Executed}, and whose an answer is by {@code Attempt-Id}.
 */
public final class ServerDialect implements Dialect {
    /** The id of a client's try. */
    public static final String ATTEMPT_ID = "Attempt-Id";
    /** Milliseconds that are left. */
    public static final String TIME_BUDGET = "Time-Budget";
    /** The life of a server that alone may run it. */
    public static final String TARGET_INSTANCE = "Target-Instance";
    /** What a server's answer carries. */
    public static final String EDGE_SEAL = "Edge-Seal";

    /** A request on a route whose objects may be held. */
    public static final class CacheableRequest extends DefaultFullHttpRequest {
        /** Owns the body. */
        public CacheableRequest(HttpMethod method, String uri, ByteBuf body) {
            super(HttpVersion.HTTP_1_1, method, uri, body);
        }
    }

    private static final String NOT_RUN = "Not-Executed";
    private static final int MISDIRECTED = 421;
    private static final int FAILED = 500;

    @Override
    public Code code(HttpResponse answer) {
        int status = answer.status().code();
        if (status == MISDIRECTED) {
            return Code.CONNECT_FAILED; // another life has the address; this one is not there
        }
        if (answer.headers().contains(NOT_RUN)) {
            return Code.FULL;
        }
        // A status that promises, without the word that it has not run, is a failure: it may have run.
        return status >= FAILED || CallState.promisesNotExecuted(status) ? Code.ERROR : Code.OK;
    }

    /** Every answer of a server carries its attempt's id, and a success the server's seal; what lacks them is none. */
    @Override
    public ResponseMatch match(HttpRequest request, HttpResponse answer) {
        String told = answer.headers().get(ATTEMPT_ID);
        boolean sealed = answer.headers().contains(EDGE_SEAL) || answer.status().codeClass() != HttpStatusClass.SUCCESS;
        if (told == null) {
            return needsExclusiveConnection(request) && sealed ? ResponseMatch.BY_POSITION : ResponseMatch.UNIDENTIFIED;
        }
        if (!told.equals(request.headers().get(ATTEMPT_ID))) {
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
