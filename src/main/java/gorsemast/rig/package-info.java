/**
 * The proving ground: several processes of the packaged program on loopback, with faults between them, stand-ins for
 * cache nodes, ledger and register, clients, and a referee that judges from what those wrote down.
 */
package gorsemast.rig;
