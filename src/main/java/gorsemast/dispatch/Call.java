package gorsemast.dispatch;

import gorsemast.configuration.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request to a service.
 *
 * @param headers as the client sent them
 * @param attemptId id of this attempt
 * @param body one reference, owned by the receiver
 * @param key the requested object, for the module's table; null for none
 * @param arrivedAt in microseconds of the event loop's clock, like {@code deadline}
 * @param bufferLimit an answer of up to this many bytes is buffered; a longer one is streamed
 * @param permitTaken whether a permit for its first attempt has been taken already
 */
public record Call(
        Route route,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        String attemptId,
        ByteBuf body,
        String key,
        long arrivedAt,
        long deadline,
        int bufferLimit,
        boolean permitTaken) {}
