package gorsemast.store;

import gorsemast.store.Message.Append;
import gorsemast.store.Message.AppendAck;
import gorsemast.store.Message.Confirm;
import gorsemast.store.Message.ConfirmAck;
import gorsemast.store.Message.Heartbeat;
import gorsemast.store.Message.Install;
import gorsemast.store.Message.InstallAck;
import gorsemast.store.Message.Leave;
import gorsemast.store.Message.RequestVote;
import gorsemast.store.Message.ViewChange;
import gorsemast.store.Message.Vote;
import gorsemast.store.Message.VoteRefused;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes a {@link Message} on a link: a byte for the type, the sender, and the fields in order. Thread-safe. */
public final class MessageCodec {
    private static final int HEARTBEAT = 0;
    private static final int REQUEST_VOTE = 1;
    private static final int VOTE = 2;
    private static final int VOTE_REFUSED = 3;
    private static final int INSTALL = 4;
    private static final int INSTALL_ACK = 5;
    private static final int VIEW_CHANGE = 6;
    private static final int APPEND = 7;
    private static final int APPEND_ACK = 8;
    private static final int CONFIRM = 9;
    private static final int CONFIRM_ACK = 10;
    private static final int LEAVE = 15;

    private MessageCodec() {}

    /** Writes a message. */
    public static void write(DataOutputStream out, Message message) throws IOException {
        if (message instanceof Heartbeat heartbeat) {
            writeHeader(out, HEARTBEAT, message);
            out.writeLong(heartbeat.promised());
            out.writeLong(heartbeat.viewTerm());
            out.writeLong(heartbeat.settledTerm());
            out.writeBoolean(heartbeat.primary());
            out.writeBoolean(heartbeat.leaving());
            heartbeat.location().write(out);
        } else if (message instanceof Leave) {
            writeHeader(out, LEAVE, message);
        } else if (message instanceof RequestVote request) {
            writeHeader(out, REQUEST_VOTE, message);
            out.writeLong(request.term());
            out.writeLong(request.viewTerm());
            request.stored().write(out);
        } else if (message instanceof Vote vote) {
            writeHeader(out, VOTE, message);
            out.writeLong(vote.term());
            out.writeBoolean(vote.newer() != null);
            if (vote.newer() != null) {
                vote.newer().write(out);
            }
        } else if (message instanceof VoteRefused refused) {
            writeHeader(out, VOTE_REFUSED, message);
            out.writeLong(refused.promised());
            refused.view().write(out);
        } else if (message instanceof Install install) {
            writeHeader(out, INSTALL, message);
            out.writeLong(install.term());
            install.view().write(out);
            install.stored().write(out);
        } else if (message instanceof InstallAck ack) {
            writeHeader(out, INSTALL_ACK, message);
            out.writeLong(ack.term());
        } else if (message instanceof ViewChange change) {
            writeHeader(out, VIEW_CHANGE, message);
            change.view().write(out);
        } else if (message instanceof Append append) {
            writeHeader(out, APPEND, message);
            writeRound(out, append.term(), append.round());
            append.stored().write(out);
        } else if (message instanceof AppendAck ack) {
            writeHeader(out, APPEND_ACK, message);
            writeRound(out, ack.term(), ack.round());
        } else if (message instanceof Confirm confirm) {
            writeHeader(out, CONFIRM, message);
            writeRound(out, confirm.term(), confirm.round());
        } else if (message instanceof ConfirmAck ack) {
            writeHeader(out, CONFIRM_ACK, message);
            writeRound(out, ack.term(), ack.round());
        }
    }

    private static void writeHeader(DataOutputStream out, int type, Message message) throws IOException {
        out.writeByte(type);
        message.from().write(out);
    }

    private static void writeRound(DataOutputStream out, long term, long round) throws IOException {
        out.writeLong(term);
        out.writeLong(round);
    }

    /** Reads a message; throws {@link IOException} on invalid input. */
    public static Message read(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        Member from = Member.read(in);
        return switch (type) {
            case HEARTBEAT ->
                new Heartbeat(
                        from,
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readBoolean(),
                        in.readBoolean(),
                        Location.read(in));
            case LEAVE -> new Leave(from);
            case REQUEST_VOTE -> new RequestVote(from, in.readLong(), in.readLong(), StoredVersion.read(in));
            case VOTE -> new Vote(from, in.readLong(), in.readBoolean() ? StoredVersion.read(in) : null);
            case VOTE_REFUSED -> new VoteRefused(from, in.readLong(), View.read(in));
            case INSTALL -> new Install(from, in.readLong(), View.read(in), StoredVersion.read(in));
            case INSTALL_ACK -> new InstallAck(from, in.readLong());
            case VIEW_CHANGE -> new ViewChange(from, View.read(in));
            case APPEND -> new Append(from, in.readLong(), in.readLong(), StoredVersion.read(in));
            case APPEND_ACK -> new AppendAck(from, in.readLong(), in.readLong());
            case CONFIRM -> new Confirm(from, in.readLong(), in.readLong());
            case CONFIRM_ACK -> new ConfirmAck(from, in.readLong(), in.readLong());
            default -> throw new IOException("unknown message type " + type);
        };
    }
}
