/**
 * Settings: what the platform tells each process of the delivery network, read strictly from its YAML file, and the
 * log that all three programs write. (Marknesse: a weather station; settings and log.)
 */
package gorsemast.node;
