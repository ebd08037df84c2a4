/**
 * HTTP/1.1 for both programs: strict codecs, attempts at servers that are written at most once and end exactly once,
 * and streaming of bodies. Used by the older proxy and by the delivery network's proxy, which differ in their {@link
 * gorsemast.http.Dialect}. Makes no decisions about traffic; everything belongs to one event loop.
 */
package gorsemast.http;
