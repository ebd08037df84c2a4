package gorsemast.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which bytes {@link StrictHttp.Responses} takes for a response. */
class StrictResponsesTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictHttp.Responses());

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    static List<ResponseForm> wellFormed() {
        return ResponseForm.wellFormed();
    }

    /** Whether all that came was decoded without a failure, to the end of a response. */
    private boolean decodes(String text, int bytesAtOnce) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        boolean ended = false;
        boolean failed = false;
        try {
            for (int at = 0; at < bytes.length; at += bytesAtOnce) {
                channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(bytesAtOnce, bytes.length - at)));
            }
        } catch (DecoderException e) {
            failed = true;
        }
        for (HttpObject read = channel.readInbound(); read != null; read = channel.readInbound()) {
            failed |= read.decoderResult().isFailure();
            ended |= read instanceof LastHttpContent;
            if (read instanceof HttpContent content) {
                content.release();
            }
        }
        return ended && !failed;
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenResponseIsAFailure(ResponseForm form) {
        assertThat(decodes(form.text("A: 1\r\n", "body"), 1 << 20)).isFalse();
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenResponseInSmallPartsIsAFailure(ResponseForm form) {
        assertThat(decodes(form.text("A: 1\r\n", "body"), 1)).isFalse();
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void unusualResponseIsAccepted(ResponseForm form) {
        assertThat(decodes(form.text("A: 1\r\n", "body"), 3)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 404, 421, 499, 500, 599})
    void eachStatusOfTheProtocolIsAccepted(int status) {
        assertThat(decodes("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n", 1 << 20))
                .isTrue();
    }

    /** A broken response behind a complete one fails by itself. */
    @Test
    void controlByteBetweenResponsesIsAFailure() {
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assertThat(decodes(whole + whole, 1 << 20)).isTrue();
        assertThat(decodes(whole + '\0' + whole, 1 << 20)).isFalse();
    }

    @Test
    void interimResponseComesBeforeTheFinalOne() {
        channel.writeInbound(Unpooled.copiedBuffer(
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                StandardCharsets.US_ASCII));
        assertThat(((HttpResponse) channel.readInbound()).status().code()).isEqualTo(103);
    }
}
