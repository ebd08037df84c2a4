package gorsemast.http;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * One way to write a response, well-formed or not.
 *
 * @param statusLine without its line terminator
 * @param framing turns a body into the end of the head, the empty line and the body as it is sent
 */
public record ResponseForm(String statusLine, UnaryOperator<String> framing) {
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** The whole response with these headers, each ended by CRLF. */
    public String text(String headers, String body) {
        return statusLine + "\r\n" + headers + framing.apply(body);
    }

    /** Shows control bytes, so that a report names the form. */
    @Override
    public String toString() {
        StringBuilder name = new StringBuilder();
        text("", "b")
                .chars()
                .forEach(c -> name.append(c < ' ' || c > '~' ? String.format("<%02x>", c) : (char) c + ""));
        return name.toString();
    }

    private static ResponseForm line(String statusLine) {
        return new ResponseForm(statusLine, body -> "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static ResponseForm field(String line) {
        return new ResponseForm(OK, body -> line + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Headers that state the framing themselves, before a body that is sent as it is. */
    private static ResponseForm plain(String headers) {
        return new ResponseForm(OK, body -> headers.replace("$", "" + body.length()) + "\r\n\r\n" + body);
    }

    private static ResponseForm chunked(String headers) {
        return new ResponseForm(OK, body -> headers + "\r\n" + chunk(body) + "0\r\n\r\n");
    }

    private static ResponseForm chunks(String before, String after) {
        return new ResponseForm(OK, body -> CHUNKED + "\r\n" + before + chunk(body) + after);
    }

    private static String chunk(String body) {
        return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    }

    /** A status line that is none, by RFC 9112, section 4, and RFC 9110, section 15. */
    public static List<ResponseForm> brokenStatusLines() {
        Stream<String> statuses = Stream.of(
                        "000", "001", "099", "0", "99", "600", "999", "1000", "2000", "+200", "-200", "0200", "00200")
                .map(status -> "HTTP/1.1 " + status + " OK");
        Stream<String> versions = Stream.of(
                        "HTTP/2.0", "HTTP/0.9", "HTTP/3.0", "http/1.1", "Http/1.1", "HTTP/1.10", "HTTP/01.1", "HTTP/1")
                .map(version -> version + " 200 OK");
        Stream<String> reasons = Stream.of("O\u0001K", "O\0K", "O\rK", "O\u001bK", "O\u007fK", "OK\0")
                .map(reason -> "HTTP/1.1 200 " + reason);
        Stream<String> others = Stream.of(
                "\0HTTP/1.1 200 OK",
                "\u0001\u0002HTTP/1.1 200 OK",
                "HTTP/1.1\0 200 OK",
                "HTTP/1.1 2\u000000 OK",
                "HTTP/1.1 OK",
                "HTTP/1.1",
                "ICY 200 OK");
        return Stream.of(statuses, versions, reasons, others)
                .flatMap(lines -> lines)
                .map(ResponseForm::line)
                .toList();
    }

    /** Bodies whose end or coding can't be relied on, by RFC 9112, sections 6 and 7. */
    public static List<ResponseForm> brokenFraming() {
        return List.of(
                chunked("Transfer-Encoding: gzip, chunked\r\n"),
                chunked("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
                chunked("Transfer-Encoding: chunked, chunked\r\n"),
                chunked(CHUNKED + CHUNKED),
                chunked("Transfer-Encoding: identity, chunked\r\n"),
                chunked("Transfer-Encoding: chunked, gzip\r\n"),
                chunked("Transfer-Encoding: chunked;q=1\r\n"),
                chunked("Transfer-Encoding: xchunked\r\n"),
                chunked(CHUNKED + "Content-Length: 1\r\n"),
                plain("Transfer-Encoding: gzip\r\nContent-Length: $"),
                plain("Content-Length: +$"),
                plain("Content-Length: -$"),
                plain("Content-Length: 0x$"),
                plain("Content-Length: $, $"),
                plain("Content-Length: $\r\nContent-Length: 0"),
                plain("Content-Length: "),
                new ResponseForm("HTTP/1.0 200 OK", body -> "Content-Length: 0\r\nContent-Length: 1\r\n\r\n" + body),
                new ResponseForm("HTTP/1.0 200 OK", body -> "Content-Length: 4, 0\r\n\r\n" + body),
                new ResponseForm("HTTP/1.0 200 OK", body -> CHUNKED + "\r\n" + chunk(body) + "0\r\n\r\n"),
                chunks("+1\r\nx\r\n", "0\r\n\r\n"),
                chunks("0x1\r\nx\r\n", "0\r\n\r\n"),
                chunks("fffffffffffffffff\r\nx\r\n", "0\r\n\r\n"),
                chunks("2\r\nx\r\n", "0\r\n\r\n"),
                chunks("\r\n", "0\r\n\r\n"));
    }

    /** Field lines that are none, by RFC 9112, section 5. */
    public static List<ResponseForm> brokenFields() {
        Stream<String> names = Stream.of(" ", "\t", "\u0001", "\0", "\u007f", "\u00e9", "(", "\"", "/")
                .map(bad -> "X" + bad + "Y: 1");
        Stream<String> lines = Stream.of("X-Blank : 1", "X-Tab\t: 1", "no colon", ": no name");
        Stream<String> values = Stream.of("\0", "\u0001", "\u007f", "a\rb").map(bad -> "X-Value: a" + bad + "b");
        return Stream.of(names, lines, values)
                .flatMap(forms -> forms)
                .map(ResponseForm::field)
                .toList();
    }

    /** Trailers that are none behind a whole body: a failure, or the answer without them. */
    public static List<ResponseForm> brokenTrailers() {
        return Stream.of(
                        "X-Trailer\0: 1",
                        "X-Trailer : 1",
                        "X-Trailer",
                        ": X-Trailer",
                        "X-Trailer: a\0b",
                        "X-Trailer: a\rb")
                .map(trailer -> chunks("", "0\r\n" + trailer + "\r\n\r\n"))
                .toList();
    }

    /** All forms that are a failure: status lines, framing and fields. */
    public static List<ResponseForm> broken() {
        return Stream.of(brokenStatusLines(), brokenFraming(), brokenFields())
                .flatMap(List::stream)
                .toList();
    }

    /** Unusual forms that are responses with status 200 nevertheless. */
    public static List<ResponseForm> wellFormed() {
        return List.of(
                line(OK),
                line("HTTP/1.0 200 OK"),
                line("HTTP/1.1 200"),
                line("HTTP/1.1 200 "),
                line(" HTTP/1.1 \t 200\u000b\u000cOK "),
                line("HTTP/1.1 200 tr\u00e8s bien\tindeed"),
                field("X-Folded: a\r\n b"),
                chunked(CHUNKED),
                chunked("Transfer-Encoding: Chunked\r\n"),
                chunked("Transfer-Encoding: , chunked\t,\r\n"));
    }
}
