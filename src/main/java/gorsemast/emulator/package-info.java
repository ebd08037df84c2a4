/**
 * The whole tier in virtual time: the real decision modules of any number of proxies against modelled cache nodes, one
 * ledger, one register and clients, from one seed; with a referee of the four rules. No sockets, no threads, no sleeping.
 */
package gorsemast.emulator;
