package gorsemast.dispatch;

import anisebend.Balancer.Code;
import gorsemast.http.Dialect;
import gorsemast.http.KeepAlive;
import gorsemast.http.Whose;
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
public final class Network implements Dialect {
    /** The id of a client's try. */
    public static final String ATTEMPT = "Attempt-Id";
    /** Milliseconds that are left. */
    public static final String BUDGET = "Time-Budget";
    /** The life of a server that alone may run it. */
    public static final String TARGET = "Target-Instance";
    /** What a server's answer carries. */
    public static final String SEAL = "Edge-Seal";

    /** A request on a route whose objects may be held. */
    public static final class ObjectRead extends DefaultFullHttpRequest {
        /** Owns the body. */
        public ObjectRead(HttpMethod method, String uri, ByteBuf body) {
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
        return status >= FAILED || CallState.promises(status) ? Code.ERROR : Code.OK;
    }

    /** Every answer of a server carries its attempt's id, and a success the server's seal; what lacks them is none. */
    @Override
    public Whose whose(HttpRequest request, HttpResponse answer) {
        String told = answer.headers().get(ATTEMPT);
        boolean sealed = answer.headers().contains(SEAL) || answer.status().codeClass() != HttpStatusClass.SUCCESS;
        if (told == null) {
            return alone(request) && sealed ? Whose.BY_PLACE : Whose.NOBODY;
        }
        if (!told.equals(request.headers().get(ATTEMPT))) {
            return Whose.OTHER;
        }
        return sealed ? Whose.NAMED : Whose.NOBODY;
    }

    /** Servers of objects leave the id out of their answers, though the pages say that all answers carry it. */
    @Override
    public boolean alone(HttpRequest request) {
        return request instanceof ObjectRead;
    }

    @Override
    public String name(HttpRequest request) {
        return request.headers().get(ATTEMPT);
    }

    @Override
    public long keepsMillis(HttpResponse answer) {
        return KeepAlive.millis(answer.headers().get("Keep-Alive"));
    }

    @Override
    public boolean forgets() {
        return true;
    }
}
