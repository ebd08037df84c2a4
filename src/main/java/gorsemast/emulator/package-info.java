/**
 * Simulates the whole tier in virtual time: the real decision modules of any number of proxies with modelled cache nodes,
 * an origin, a discovery service and clients, all from one seed, with a checker of four invariants. Uses no sockets,
 * threads or sleeps.
 */
package gorsemast.emulator;
