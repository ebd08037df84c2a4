/**
 * Stand-ins on loopback for what the delivery network meets outside: servers that beat, an operator, clients; and a whole
 * network of real programs among them.
 */
package gorsemast.standin;
