package gorsemast.peers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import gorsemast.fleet.Claim;
import gorsemast.fleet.Fleet;
import gorsemast.fleet.Message;
import gorsemast.fleet.Message.Kind;
import gorsemast.fleet.Message.Rumor;
import gorsemast.fleet.ProcessId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The encoding of a fleet's datagrams.
 *
 * <p><b>Form.</b> Two bytes {@code GF}, a version byte, one CBOR array (RFC 8949), and a seal of 16 bytes: the first
 * half of an HMAC-SHA-256 (RFC 2104) over all before it, under the fleet's name and secret. So a datagram of another
 * fleet, one that was cut or forged, and one of another version are told apart from ours before anything is read. A
 * repeated old datagram is not told apart: whatever it claims is ordered by incarnations, and so does nothing.
 *
 * <p><b>Bounds.</b> {@value gorsemast.fleet.Fleet#MOST_BYTES} bytes a datagram, {@value #MOST_RUMORS} claims, the
 * lengths of {@link Claim} and {@link ProcessId}. One thread an instance.
 */
public final class FleetCodec {
    private static final byte[] MARK = {'G', 'F'};
    private static final byte VERSION = 1;
    private static final int HEAD = MARK.length + 1;
    private static final int SEAL = 16;
    private static final int MOST_RUMORS = 64;
    private static final int MOST_BUCKETS = 64;
    private static final String MAC = "HmacSHA256";

    private final CBORFactory factory = new CBORFactory();
    private final Mac mac;

    /** For the fleet of that name; all that know {@code secret} belong to it. Either may be empty. */
    public FleetCodec(String cluster, String secret) {
        try {
            mac = Mac.getInstance(MAC);
            mac.init(new SecretKeySpec((cluster + "\n" + secret).getBytes(StandardCharsets.UTF_8), MAC));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    /** A message's datagram. */
    public byte[] encode(Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        out.writeBytes(MARK);
        out.write(VERSION);
        try (CBORGenerator to = factory.createGenerator(out)) {
            to.writeStartArray();
            to.writeNumber(message.kind().ordinal());
            id(to, message.from());
            id(to, message.to());
            to.writeNumber(message.sequence());
            to.writeString(message.address());
            id(to, message.about());
            to.writeNumber(message.view());
            to.writeStartArray();
            for (long bucket : message.buckets()) {
                to.writeNumber(bucket);
            }
            to.writeEndArray();
            to.writeStartArray();
            for (Rumor rumor : message.rumors()) {
                rumor(to, rumor);
            }
            to.writeEndArray();
            to.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e); // into memory
        }
        byte[] text = out.toByteArray();
        out.write(mac.doFinal(text), 0, SEAL);
        return out.toByteArray();
    }

    private static void id(CBORGenerator to, ProcessId id) throws IOException {
        if (id == null) {
            to.writeNull();
        } else {
            to.writeString(id.name());
            to.writeNumber(id.generation());
        }
    }

    private static void rumor(CBORGenerator to, Rumor rumor) throws IOException {
        Claim claim = rumor.claim();
        id(to, claim.id());
        to.writeString(claim.address());
        to.writeNumber(claim.incarnation());
        to.writeNumber(claim.state().ordinal());
        to.writeNumber(claim.version());
        to.writeNumber(claim.facts().size());
        for (Map.Entry<String, String> fact : claim.facts().entrySet()) {
            to.writeString(fact.getKey());
            to.writeString(fact.getValue());
        }
        to.writeString(rumor.witness());
    }

    /**
     * The message in a datagram.
     *
     * @throws IOException that says in a word what is wrong with it: {@code size}, {@code mark}, {@code version},
     *     {@code seal} or {@code form}
     */
    public Message decode(byte[] datagram) throws IOException {
        if (datagram.length < HEAD + SEAL || datagram.length > Fleet.MOST_BYTES) {
            throw new IOException("size");
        }
        if (datagram[0] != MARK[0] || datagram[1] != MARK[1]) {
            throw new IOException("mark");
        }
        if (datagram[2] != VERSION) {
            throw new IOException("version");
        }
        int length = datagram.length - SEAL;
        mac.update(datagram, 0, length);
        byte[] seal = Arrays.copyOf(mac.doFinal(), SEAL);
        if (!MessageDigest.isEqual(seal, Arrays.copyOfRange(datagram, length, datagram.length))) {
            throw new IOException("seal");
        }
        try (JsonParser from = factory.createParser(datagram, HEAD, length - HEAD)) {
            return message(from);
        } catch (RuntimeException | IOException e) {
            throw new IOException("form", e);
        }
    }

    private static Message message(JsonParser from) throws IOException {
        expect(from, JsonToken.START_ARRAY);
        Kind kind = Kind.values()[integer(from)];
        ProcessId sender = id(from);
        if (sender == null) {
            throw new IOException("no sender");
        }
        ProcessId to = id(from);
        long sequence = number(from);
        String address = text(from);
        if (address.length() > Claim.MAX_ADDRESS) {
            throw new IOException("address too long");
        }
        ProcessId about = id(from);
        long view = number(from);
        List<Long> buckets = new ArrayList<>();
        expect(from, JsonToken.START_ARRAY);
        for (JsonToken next = from.nextToken(); next != JsonToken.END_ARRAY; next = from.nextToken()) {
            if (next != JsonToken.VALUE_NUMBER_INT || buckets.size() >= MOST_BUCKETS) {
                throw new IOException("buckets");
            }
            buckets.add(from.getLongValue());
        }
        List<Rumor> rumors = new ArrayList<>();
        expect(from, JsonToken.START_ARRAY);
        for (JsonToken next = from.nextToken(); next != JsonToken.END_ARRAY; next = from.nextToken()) {
            if (next != JsonToken.VALUE_STRING || rumors.size() >= MOST_RUMORS) {
                throw new IOException("rumors");
            }
            rumors.add(rumor(from, new ProcessId(from.getText(), number(from))));
        }
        expect(from, JsonToken.END_ARRAY);
        return new Message(kind, sender, to, sequence, address, about, view, List.copyOf(buckets), List.copyOf(rumors));
    }

    private static Rumor rumor(JsonParser from, ProcessId id) throws IOException {
        String address = text(from);
        long incarnation = number(from);
        Claim.State state = Claim.State.values()[integer(from)];
        long version = number(from);
        int size = integer(from);
        SortedMap<String, String> facts = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            facts.put(text(from), text(from));
        }
        String witness = text(from);
        if (witness.length() > ProcessId.MAX_NAME) {
            throw new IOException("witness too long");
        }
        return new Rumor(new Claim(id, address, incarnation, state, version, facts), witness);
    }

    private static ProcessId id(JsonParser from) throws IOException {
        JsonToken next = from.nextToken();
        if (next == JsonToken.VALUE_NULL) {
            return null;
        }
        if (next != JsonToken.VALUE_STRING) {
            throw new IOException("id");
        }
        return new ProcessId(from.getText(), number(from));
    }

    private static void expect(JsonParser from, JsonToken token) throws IOException {
        if (from.nextToken() != token) {
            throw new IOException("no " + token);
        }
    }

    private static String text(JsonParser from) throws IOException {
        expect(from, JsonToken.VALUE_STRING);
        return from.getText();
    }

    private static long number(JsonParser from) throws IOException {
        expect(from, JsonToken.VALUE_NUMBER_INT);
        return from.getLongValue();
    }

    private static int integer(JsonParser from) throws IOException {
        expect(from, JsonToken.VALUE_NUMBER_INT);
        return from.getIntValue();
    }
}
