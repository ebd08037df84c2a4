/**
 * The registry: serves all calls of servers and operators, tracks servers and machines, and passes configurations to the
 * store. {@link gorsemast.registry.RegistryNode} and {@link gorsemast.registry.HeartbeatTable} decide without I/O;
 * {@code RegistryProgram} runs them.
 */
package gorsemast.registry;
