/**
 * HTTP/1.1 as both deployments speak it: strict codecs, attempts at peers that are written once and end once, and the
 * bodies on their way. Used by the program in service and by the delivery network's proxy, which differ in their
 * {@link gorsemast.http.Upstream.Dialect}. Decides nothing about traffic; all of it belongs to one event loop.
 */
package gorsemast.http;
