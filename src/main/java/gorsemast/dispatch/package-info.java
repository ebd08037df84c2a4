/**
 * Sending: drives one decision module for each service of the operator's configuration, with the servers that news tells
 * of. The module decides which server, when, whether again, and what is refused; what stands here carries that out and
 * keeps each request's one final answer.
 */
package gorsemast.dispatch;
