package gorsemast.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Netty's decoders without their leniency: a message that gives both a length and chunks may hide another one
 * in its body, and the two sides of a connection must never disagree on where a message ends.
 */
public final class StrictHttp {
    private static final int MAX_LINE = 4096;
    private static final int MAX_HEAD = 8192;
    /** Bodies come in parts of this size at most; each costs a pass through the pipeline. */
    private static final int MAX_PART = 32 << 10;

    private StrictHttp() {}

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE)
                .setMaxHeaderSize(MAX_HEAD)
                .setMaxChunkSize(MAX_PART)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
    }

    private static void rejectTwoLengths() {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    public static final class Requests extends HttpRequestDecoder {
        /** Heads of {@code MAX_HEAD} bytes at most. */
        public Requests() {
            super(config());
        }

        /** @param maxHead bytes that a head may have, and its first line of them as many as it needs */
        public Requests(int maxHead) {
            super(config().setMaxHeaderSize(maxHead).setMaxInitialLineLength(Math.max(MAX_LINE, maxHead)));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectTwoLengths();
        }

        /** Whether all that has come belongs to the messages passed on so far. */
        public boolean empty() {
            return actualReadableBytes() == 0;
        }
    }

    public static final class Responses extends HttpResponseDecoder {
        private boolean answersHead;

        /** For one connection. */
        public Responses() {
            super(config());
        }

        /** Whether what comes next answers a HEAD, so that no body follows whatever length it tells. */
        void answersHead(boolean does) {
            answersHead = does;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return answersHead || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectTwoLengths();
        }

        /** In answers Netty lets a blank end a name, and so takes a line without a colon for a header. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (start + length >= line.length || line[start + length] != ':') {
                throw new IllegalArgumentException("header without a colon behind its name");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Whether all that has come belongs to the messages passed on so far. */
        public boolean empty() {
            return actualReadableBytes() == 0;
        }
    }
}
