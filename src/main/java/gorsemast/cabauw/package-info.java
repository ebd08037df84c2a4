/**
 * The proxy of the delivery network, on every edge machine: listeners, wiring, signals. What it decides stands in other
 * rooms. (Cabauw: a weather station; the proxy.)
 */
package gorsemast.cabauw;
