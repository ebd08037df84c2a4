package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The roles of the members from one term on. A view is joint while it still has {@code previousMembers}.
 *
 * @param term unique to one view, except that a joint view and its completed form share it
 * @param primary the id of the member that acknowledges; empty before the first election
 * @param backups ids of the members that store every version before it is acknowledged
 * @param members who may vote; those that are neither primary nor backup are witnesses
 * @param previousMembers who could vote before, until the new members have taken over; else empty
 */
public record View(
        long term, String primary, List<String> backups, List<Member> members, List<Member> previousMembers) {
    private static final int MAX_MEMBERS = 64;

    /** Returns whether these ids are a majority of the members and, in a joint view, of the previous members. */
    boolean isMajority(java.util.Collection<String> ids) {
        return isMajorityOf(members, ids) && (previousMembers.isEmpty() || isMajorityOf(previousMembers, ids));
    }

    private static boolean isMajorityOf(List<Member> of, java.util.Collection<String> ids) {
        return 2 * of.stream().filter(member -> ids.contains(member.id())).count() > of.size();
    }

    /** Returns whether this member may vote. */
    public boolean isVoter(String id) {
        return members.stream().anyMatch(m -> m.id().equals(id))
                || previousMembers.stream().anyMatch(m -> m.id().equals(id));
    }

    /** Returns all members that may vote. */
    List<Member> voters() {
        List<Member> all = new ArrayList<>(members);
        previousMembers.stream().filter(member -> !all.contains(member)).forEach(all::add);
        return all;
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(term);
        out.writeUTF(primary);
        out.writeByte(backups.size());
        for (String backup : backups) {
            out.writeUTF(backup);
        }
        for (List<Member> list : List.of(members, previousMembers)) {
            out.writeByte(list.size());
            for (Member member : list) {
                member.write(out);
            }
        }
    }

    static View read(DataInputStream in) throws IOException {
        long term = in.readLong();
        String primary = in.readUTF();
        List<String> backups = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            backups.add(in.readUTF());
        }
        List<List<Member>> lists = new ArrayList<>();
        for (int l = 0; l < 2; l++) {
            List<Member> list = new ArrayList<>();
            for (int i = readCount(in); i > 0; i--) {
                list.add(Member.read(in));
            }
            lists.add(list);
        }
        return new View(term, primary, List.copyOf(backups), List.copyOf(lists.get(0)), List.copyOf(lists.get(1)));
    }

    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readUnsignedByte();
        if (count > MAX_MEMBERS) {
            throw new IOException(count + " members, above the limit");
        }
        return count;
    }
}
