/**
 * The proxy of the delivery network, on every edge machine: listeners, wiring, signals. What it decides stands in other
 * rooms.
 */
package gorsemast.proxy;
