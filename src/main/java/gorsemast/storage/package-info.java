/**
 * Durable storage: records that are replaced as a whole and are durable once a save has returned, in a fixed number of
 * files.
 */
package gorsemast.storage;
