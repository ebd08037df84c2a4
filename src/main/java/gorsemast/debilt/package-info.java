/**
 * The registry: takes every call from servers and operators, keeps who there is, and passes the rest on.
 * {@link gorsemast.debilt.Registry} decides without I/O; {@code Debilt} is the program round it.
 * (De Bilt: a weather station; the registry.)
 */
package gorsemast.debilt;
