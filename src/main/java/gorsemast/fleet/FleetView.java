package gorsemast.fleet;

import java.util.List;
import java.util.SortedMap;

/**
 * What one process believes of the fleet.
 *
 * @param self the process itself
 * @param digest equal at two processes that hold the same to be live
 * @param settledMicros for how long that has stood
 * @param sure whether it has stood long enough, with no suspect and no doubt of oneself
 * @param localHealth 0 for well, up to 8 for a process that should doubt itself
 * @param members all that are known, the dead among them, by name and generation
 */
public record FleetView(
        ProcessId self, long digest, long settledMicros, boolean sure, int localHealth, List<MemberView> members) {
    /**
     * @param sinceMicros for how long it has been in that state
     * @param why it is, in words
     */
    public record MemberView(
            ProcessId id,
            String address,
            Claim.State state,
            long incarnation,
            long sinceMicros,
            String why,
            SortedMap<String, String> facts) {}

    /** How many live, this one included. */
    public int live() {
        return (int) members.stream().filter(member -> member.state().live()).count();
    }

    /** How many are held dead with no proof of it: cut off, stopped or dead. */
    public int silent() {
        return (int) members.stream()
                .filter(member -> member.state() == Claim.State.SILENT)
                .count();
    }

    /** The digest as it is written: 16 hexadecimal digits. */
    public String digestText() {
        return String.format("%016x", digest);
    }
}
