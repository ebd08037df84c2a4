/**
 * The proxy of the delivery network, which runs on every edge machine: listeners, wiring and signals. Decisions are
 * made in other packages.
 */
package gorsemast.proxy;
