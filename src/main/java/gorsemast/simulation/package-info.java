/**
 * The proving ground: the decisions of all three programs, as they run in service, in virtual time. Machines, disks, links,
 * servers, operators and clients are modelled round them; troubles strike by a plan; a referee judges what was seen by the
 * operators' rules. From one seed comes one course.
 */
package gorsemast.simulation;
