/**
 * Deterministic simulation of the whole system: the production decision code of all three programs in virtual time, with
 * simulated machines, disks, links, servers, operators and clients. Faults are injected by a scenario, and checkers verify
 * the operators' rules. The same seed gives the same run.
 */
package gorsemast.simulation;
