/**
 * Loopback stand-ins for the environment of the delivery network (servers with heartbeats, an operator, clients), and a
 * complete network of real programs.
 */
package gorsemast.standin;
