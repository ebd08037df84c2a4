/**
 * The settings that the platform gives to each process of the delivery network, validated as they are read from the YAML
 * file, and the interface of the programs.
 */
package gorsemast.node;
