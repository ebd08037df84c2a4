/** Which of the system's ways to wait for sockets the event loop goes by. */
package gorsemast.transport;
