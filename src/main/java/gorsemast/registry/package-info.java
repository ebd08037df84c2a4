/**
 * The registry: takes every call from servers and operators, keeps who there is, and passes the rest on.
 * {@link gorsemast.registry.RegistryNode} and {@link gorsemast.registry.HeartbeatTable} decide without I/O; {@code RegistryProgram} is the program round
 * them.
 */
package gorsemast.registry;
