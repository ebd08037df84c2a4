/** Carries the datagrams of {@code gorsemast.fleet} over UDP, on the one event loop; decides nothing. */
package gorsemast.peers;
