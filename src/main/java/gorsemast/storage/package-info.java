/**
 * The disk: records that are replaced whole and are safe once a save has returned, in files of a fixed number.
 */
package gorsemast.storage;
