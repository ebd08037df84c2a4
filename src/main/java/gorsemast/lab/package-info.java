/** The laboratory: decision modules in virtual time, with whatever goes wrong between them, and what that measures. */
package gorsemast.lab;
