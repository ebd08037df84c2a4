/**
 * Sends requests to servers. One decision module per configured service, fed with the servers that gossip reports,
 * decides which server gets a request, when, whether it is retried and what is refused; this package carries that out
 * and ensures that each request gets exactly one final answer.
 */
package gorsemast.dispatch;
