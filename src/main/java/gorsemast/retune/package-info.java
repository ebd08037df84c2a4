/** What a new configuration changes while requests of the old one are under way; decided without I/O. */
package gorsemast.retune;
