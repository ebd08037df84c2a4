/** The command line: one verb a class; exit codes 0 done, 1 failed, 2 usage or settings. */
package gorsemast.command;
