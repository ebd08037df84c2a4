package gorsemast.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes on the responses of one connection, and throws a {@link BrokenResponseException} where one can't be decoded.
 */
final class FinalResponses extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            throw new BrokenResponseException("response that can't be decoded");
        }
        ctx.fireChannelRead(ReferenceCountUtil.retain(message));
    }
}
