package gorsemast.store;

/**
 * A member of the store: one life of one disk. A machine whose disk comes back empty is another member at the same
 * address, so what the lost one had promised binds nobody by mistake.
 *
 * @param id the address and a word drawn when the disk was first used
 */
public record Member(String id, String ip) {}
