/**
 * The registry: takes every call from servers and operators, keeps who there is, and passes the rest on.
 * {@link gorsemast.debilt.Office} and {@link gorsemast.debilt.Registry} decide without I/O; {@code Debilt} is the program round
 * them.
 * (De Bilt: a weather station; the registry.)
 */
package gorsemast.debilt;
