package gorsemast.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes on the final responses of one connection: drops interim (1xx) ones, and throws a {@link
 * BrokenResponseException} where a message can't be decoded or switches to another protocol.
 */
final class FinalResponses extends SimpleChannelInboundHandler<HttpObject> {
    private boolean isInterim;
    private int interimCount;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            throw new BrokenResponseException("response that can't be decoded");
        }
        if (message instanceof HttpResponse head) {
            responseStarted(head);
        }
        if (!isInterim) {
            ctx.fireChannelRead(ReferenceCountUtil.retain(message));
        }
    }

    private void responseStarted(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new BrokenResponseException("switch of protocols that nobody requested");
        }
        isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        interimCount = isInterim ? interimCount + 1 : 0;
        if (interimCount > ConnectionState.MAX_INTERIM) {
            throw new BrokenResponseException("too many interim responses");
        }
    }
}
