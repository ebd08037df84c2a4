/**
 * Model checks of the store's and the registries' decision code: members, links and disks in virtual time, with random or
 * exhaustively enumerated faults, and checkers that know what was acknowledged.
 */
package gorsemast.modelcheck;
