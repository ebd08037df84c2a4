package gorsemast.dispatch;

import gorsemast.configuration.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request for a service, read whole.
 *
 * @param headers as the client sent them
 * @param attemptId of this try
 * @param body one reference, the taker's
 * @param key the object it is about, which the module's table is of; null for none
 * @param arrivedAt and {@code deadline} in the loop's microseconds
 * @param bufferLimit so many bytes of its answer are kept whole; a longer one is passed on as it comes
 * @param permitTaken whether its first attempt has room at the service's ceiling already
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
