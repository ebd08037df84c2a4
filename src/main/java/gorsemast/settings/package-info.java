/** The product's own settings: JSON5, read strictly, with all faults at once and their places. */
package gorsemast.settings;
