package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** HTTP/1.1 over one blocking connection, as clients, operators and servers speak it. */
public final class Http implements AutoCloseable {
    /** A message: its first line, its headers in order and its body. */
    public record Message(String start, List<String[]> headers, byte[] body) {
        /** The status of an answer. */
        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        /** The first header of this name; null for none. */
        public String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        /** The body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    /** Uses an accepted connection. */
    public Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Connects within a second; reads wait for the given time at most. */
    public static Http connect(InetSocketAddress to, int readMillis) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(to, 1_000);
            socket.setSoTimeout(readMillis);
            return new Http(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sets how long reads wait. */
    public void readTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Writes bytes as they are. */
    public void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes bytes as they are. */
    public void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    /** Sends a request with a body, which may be empty. */
    public void request(String method, String path, String host, byte[] body, String... headerLines) throws IOException {
        StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        for (String line : headerLines) {
            head.append(line).append("\r\n");
        }
        if (body.length > 0) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
        bytes.write(body);
        write(bytes.toByteArray());
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8).replace("\r", "");
    }

    private byte[] exactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    /** Reads a whole message; null where the connection ends before one begins. */
    public Message read() throws IOException {
        String start;
        try {
            start = line();
        } catch (EOFException e) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        int length = 0;
        boolean chunked = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            String[] header = {line.substring(0, colon), line.substring(colon + 1).trim()};
            headers.add(header);
            String name = header[0].toLowerCase(Locale.ROOT);
            length = name.equals("content-length") ? Integer.parseInt(header[1]) : length;
            chunked |= name.equals("transfer-encoding") && header[1].equalsIgnoreCase("chunked");
        }
        if (!chunked) {
            return new Message(start, headers, exactly(length));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
            body.write(exactly(size));
            line();
        }
        line();
        return new Message(start, headers, body.toByteArray());
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed anyway
        }
    }
}
