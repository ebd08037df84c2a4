/**
 * Settings: what the platform tells each process of the delivery network, read strictly from its YAML file, and the
 * log that all three programs write.
 */
package gorsemast.node;
