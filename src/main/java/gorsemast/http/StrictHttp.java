package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Netty's HTTP decoders with strict parsing. A message with both a length and chunked encoding may hide another one
 * in its body, and the two sides of a connection must never disagree on where a message ends.
 */
public final class StrictHttp {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8192;
    /** Maximum size of a body part; each part costs a pass through the pipeline. */
    private static final int MAX_PART_BYTES = 32 << 10;

    private StrictHttp() {}

    /**
     * Adds the codecs of a client that reads whole final responses to requests with this method. What is none reaches the
     * handlers behind as an exception.
     */
    public static void addClientCodecs(ChannelPipeline pipeline, HttpMethod method, int maxBodyBytes) {
        Responses decoder = new Responses();
        decoder.setHeadResponse(method.equals(HttpMethod.HEAD));
        pipeline.addLast(
                new HttpRequestEncoder(), decoder, new FinalResponses(), new HttpObjectAggregator(maxBodyBytes));
    }

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxChunkSize(MAX_PART_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
    }

    private static void rejectTwoLengths() {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Decodes the requests of one connection. */
    public static final class Requests extends HttpRequestDecoder {
        /** Whether the first line of a message has been decoded, and not yet all of its head. */
        private boolean isInHead;

        private final int maxHeadBytes;

        /** Accepts heads of up to {@link #MAX_HEAD_BYTES}. */
        public Requests() {
            super(config());
            this.maxHeadBytes = MAX_HEAD_BYTES;
        }

        /** @param maxHeadBytes maximum size of a head; its first line may use all of it */
        public Requests(int maxHeadBytes) {
            super(config().setMaxHeaderSize(maxHeadBytes)
                    .setMaxInitialLineLength(Math.max(MAX_LINE_BYTES, maxHeadBytes)));
            this.maxHeadBytes = maxHeadBytes;
        }

        /** Returns the maximum size of a head in bytes. */
        public int maxHeadBytes() {
            return maxHeadBytes;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectTwoLengths();
        }

        @Override
        protected HttpMessage createMessage(String[] requestLine) throws Exception {
            isInHead = true;
            return super.createMessage(requestLine);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
            super.decode(ctx, buffer, out);
            isInHead &= out.stream().noneMatch(HttpMessage.class::isInstance);
        }

        /** Whether all that has come belongs to the messages passed on so far. */
        public boolean isEmpty() {
            return actualReadableBytes() == 0 && !isInHead;
        }
    }

    /** Decodes the responses of one connection, and fails those that violate {@link ResponseRules}. */
    public static final class Responses extends HttpResponseDecoder {
        private boolean isHeadResponse;
        private boolean hasContentLength;

        /** Creates a decoder for one connection. */
        public Responses() {
            super(config());
        }

        /**
         * Sets whether the next response answers a HEAD request, so that no body follows whatever its length header
         * says.
         */
        void setHeadResponse(boolean isHead) {
            isHeadResponse = isHead;
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            hasContentLength = false;
            ResponseRules.checkStatusLine(statusLine[0], statusLine[1], statusLine[2]);
            return super.createMessage(statusLine);
        }

        /** Called at the end of each head, before the framing of the body is chosen. */
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            ResponseRules.checkTransferCoding(message.headers());
            return isHeadResponse || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectTwoLengths();
        }

        /**
         * For responses Netty accepts a space as the end of a name, and so takes a line without a colon for a header.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (start + length >= line.length || line[start + length] != ':') {
                throw new IllegalArgumentException("header name without a colon");
            }
            AsciiString name = super.splitHeaderName(line, start, length);
            if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
                rejectSecondLength();
            }
            return name;
        }

        /** In HTTP/1.0 Netty takes the first of several lengths, whatever the others are. */
        private void rejectSecondLength() {
            if (hasContentLength) {
                throw new BrokenResponseException("two Content-Length headers");
            }
            hasContentLength = true;
        }

        /** Whether all that has come belongs to the messages passed on so far. */
        public boolean isEmpty() {
            return actualReadableBytes() == 0;
        }
    }
}
