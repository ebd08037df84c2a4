/**
 * The proving ground of the store's decisions: members, links and disks in virtual time, faults drawn or in all orders,
 * and a referee who knows what was acknowledged.
 */
package gorsemast.modelcheck;
