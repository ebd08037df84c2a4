/**
 * The view that the proxies keep of one another: who of them lives, since when and how surely, and what part of the
 * whole each may take. State machines without I/O, clock or threads; {@code gorsemast.peers} carries their datagrams.
 */
package gorsemast.fleet;
