/** The second address, on which operators and the platform ask a proxy and tell it what to do. */
package gorsemast.admin;
