/**
 * The store of the operator's configuration: who of its members may acknowledge, and what outlives them. The decisions
 * ({@link gorsemast.store.Replica}) have no I/O, no clock and no threads; {@code Store} is the program round them.
 */
package gorsemast.store;
