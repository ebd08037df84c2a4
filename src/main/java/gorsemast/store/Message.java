package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * What members say to each other.
 *
 * @param from who says it
 * @param epoch the epoch it is about
 * @param number which version or call it is about, or the epoch of the sender's view in a {@link Kind#PING}
 * @param flag of a {@link Kind#PING}: the sender acknowledges now
 * @param view null where the kind has none
 * @param kept null where the kind has none
 */
public record Message(Kind kind, Member from, long epoch, long number, boolean flag, View view, StoredVersion kept) {
    /** Its sort. */
    public enum Kind {
        /** A sign of life, with the epoch promised and the view's. */
        PING,
        /** A candidate asks for this epoch; says its view and what it holds, without the body. */
        ASK,
        /** The vote, with what the voter holds where that is newer. */
        VOTE,
        /** No vote; with the voter's promise and view. */
        NO,
        /** The elected to a backup: hold this from here on. */
        INSTALL,
        /** It is on disk there. */
        INSTALLED,
        /** The view as it holds, for those that keep nothing but epochs. */
        VIEW,
        /** Primary to backup: a new version. */
        COPY,
        /** It is on disk there. */
        COPIED,
        /** Primary to backup: is this epoch still the last you know? */
        CONFIRM,
        /** It is. */
        CONFIRMED;

        private static final Kind[] ALL = values();
    }

    /** Writes it. */
    public void write(DataOutputStream out) throws IOException {
        out.writeByte(kind.ordinal());
        out.writeUTF(from.id());
        out.writeUTF(from.ip());
        out.writeLong(epoch);
        out.writeLong(number);
        out.writeBoolean(flag);
        out.writeBoolean(view != null);
        if (view != null) {
            view.write(out);
        }
        out.writeBoolean(kept != null);
        if (kept != null) {
            kept.write(out);
        }
    }

    /** Reads one. */
    public static Message read(DataInputStream in) throws IOException {
        int kind = in.readUnsignedByte();
        if (kind >= Kind.ALL.length) {
            throw new IOException("no message " + kind);
        }
        return new Message(
                Kind.ALL[kind],
                new Member(in.readUTF(), in.readUTF()),
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean() ? View.read(in) : null,
                in.readBoolean() ? StoredVersion.read(in) : null);
    }
}
