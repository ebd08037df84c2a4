package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Who does what from one term on.
 *
 * @param term never two with the same
 * @param primary the id of the one that acknowledges; empty before the first
 * @param backups ids of those that hold all that is acknowledged, before it is
 * @param members who may vote; those that are neither primary nor backup are witnesses
 * @param previousMembers who could vote until this one's members have taken over; empty where they have
 */
public record View(
        long term, String primary, List<String> backups, List<Member> members, List<Member> previousMembers) {
    private static final int MOST = 64;

    /** Whether these ids are more than half of the members, and of those before them. */
    boolean isMajority(java.util.Collection<String> ids) {
        return most(members, ids) && (previousMembers.isEmpty() || most(previousMembers, ids));
    }

    private static boolean most(List<Member> of, java.util.Collection<String> ids) {
        return 2 * of.stream().filter(member -> ids.contains(member.id())).count() > of.size();
    }

    /** Whether it may vote. */
    public boolean isVoter(String id) {
        return members.stream().anyMatch(m -> m.id().equals(id))
                || previousMembers.stream().anyMatch(m -> m.id().equals(id));
    }

    /** All that may vote. */
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
        for (int i = count(in); i > 0; i--) {
            backups.add(in.readUTF());
        }
        List<List<Member>> lists = new ArrayList<>();
        for (int l = 0; l < 2; l++) {
            List<Member> list = new ArrayList<>();
            for (int i = count(in); i > 0; i--) {
                list.add(Member.read(in));
            }
            lists.add(list);
        }
        return new View(term, primary, List.copyOf(backups), List.copyOf(lists.get(0)), List.copyOf(lists.get(1)));
    }

    private static int count(DataInputStream in) throws IOException {
        int count = in.readUnsignedByte();
        if (count > MOST) {
            throw new IOException(count + " members");
        }
        return count;
    }
}
