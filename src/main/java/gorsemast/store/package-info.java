/**
 * The replicated store of the operator's configuration. The consensus logic ({@link gorsemast.store.Replica}) has no
 * I/O, no clock and no threads; {@link gorsemast.store.StoreProgram} is the process around it.
 */
package gorsemast.store;
