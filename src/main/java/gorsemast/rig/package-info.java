/**
 * Test rig with real processes: several instances of the packaged program on loopback, with faults between them, stand-ins
 * for cache nodes, origin and discovery service, clients, and a checker that works from their records.
 */
package gorsemast.rig;
