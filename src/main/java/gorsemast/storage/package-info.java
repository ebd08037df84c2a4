/**
 * The disk: a few named records that are replaced whole and are safe once a save has returned, over Xodus.
 */
package gorsemast.storage;
